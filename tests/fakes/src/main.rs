//! Runs one stand-in: `catkindeck-fakes <mode> --listen <address> --control <address>`.

use {
    argh::FromArgs,
    catkindeck_fakes::{
        control,
        engine::FakeEngine,
        fault::{FakeMode, FakeServer},
        hosts::HostsMode,
        service::FakeService,
        store::StoreMode,
        usage::UsageMode,
        weights::WeightsMode,
        zones::ZonesMode,
    },
    std::{io, net::SocketAddr, process::ExitCode, sync::Arc, thread},
};

/// Stand-in for one of the systems around catkindeck.
#[derive(FromArgs)]
struct FakeCommand {
    /// the mode: engine, service, store, hosts, zones, usage or weights
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
    let started = match command.mode.as_str() {
        "engine" => start_engine(&command),
        "service" => start_service(&command),
        "store" => start_platform(&command, Box::new(StoreMode::default())),
        "hosts" => start_platform(&command, Box::new(HostsMode::default())),
        "zones" => start_platform(&command, Box::new(ZonesMode::default())),
        "usage" => start_platform(&command, Box::new(UsageMode::default())),
        "weights" => start_platform(&command, Box::new(WeightsMode::default())),
        other => {
            eprintln!(
                "unknown mode {other}; known: engine, service, store, hosts, zones, usage, weights"
            );
            return ExitCode::from(2);
        }
    };
    match started {
        Ok(()) => loop {
            thread::park();
        },
        Err(error) => {
            eprintln!("serving {} failed: {error}", command.listen);
            ExitCode::FAILURE
        }
    }
}

fn start_engine(command: &FakeCommand) -> io::Result<()> {
    let engine = FakeEngine::new();
    engine.spawn(command.listen)?;
    if let Some(address) = command.control {
        control::spawn(address, Arc::new(engine))?;
    }
    Ok(())
}

fn start_service(command: &FakeCommand) -> io::Result<()> {
    let service = FakeService::default();
    service.spawn(command.listen)?;
    if let Some(address) = command.control {
        control::spawn(address, Arc::new(service))?;
    }
    Ok(())
}

fn start_platform(command: &FakeCommand, mode: Box<dyn FakeMode>) -> io::Result<()> {
    FakeServer::new(mode)
        .spawn(command.listen, command.control)
        .map(drop)
}
