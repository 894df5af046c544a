//! Runs one stand-in: `catkindeck-fakes <mode> --listen <address> --control <address>`.

use {
    argh::FromArgs,
    catkindeck_fakes::{
        fault::{FakeMode, FakeServer},
        hosts::HostsMode,
        store::StoreMode,
        usage::UsageMode,
        weights::WeightsMode,
        zones::ZonesMode,
    },
    std::{net::SocketAddr, process::ExitCode, thread},
};

/// Stand-in for one of the systems around catkindeck.
#[derive(FromArgs)]
struct FakeCommand {
    /// the mode: store, hosts, zones, usage or weights
    #[argh(positional)]
    mode: String,
    /// the address that is served
    #[argh(option)]
    listen: SocketAddr,
    /// the address that takes orders for faults
    #[argh(option)]
    control: Option<SocketAddr>,
}

fn main() -> ExitCode {
    let command: FakeCommand = argh::from_env();
    let mode: Box<dyn FakeMode> = match command.mode.as_str() {
        "store" => Box::new(StoreMode::default()),
        "hosts" => Box::new(HostsMode::default()),
        "zones" => Box::new(ZonesMode::default()),
        "usage" => Box::new(UsageMode::default()),
        "weights" => Box::new(WeightsMode::default()),
        other => {
            eprintln!("unknown mode {other}; known: store, hosts, zones, usage, weights");
            return ExitCode::from(2);
        }
    };
    match FakeServer::new(mode).spawn(command.listen, command.control) {
        Ok(_) => loop {
            thread::park();
        },
        Err(error) => {
            eprintln!("serving {} failed: {error}", command.listen);
            ExitCode::FAILURE
        }
    }
}
