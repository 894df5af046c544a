//! Runs one fake: `catkindeck-fakes <mode> --listen <address> --control <address>`.

use {
    argh::FromArgs,
    catkindeck_fakes::{
        control,
        engine::FakeEngine,
        fault::{FakeHandler, FakeServer},
        hosts::FakeHostList,
        service::FakeService,
        store::FakeStore,
        trainer::{self, ClientSettings},
        usage::FakeUsage,
        weights::FakeWeights,
        zones::FakeZones,
    },
    std::{fs, io, net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc, thread},
};

/// Fake of one of the external systems that catkindeck talks to.
#[derive(FromArgs)]
struct FakeCommand {
    /// the mode: engine, service, store, hosts, zones, usage, weights, caller or trainer
    #[argh(positional)]
    mode: String,
    /// the address to serve
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// the address for fault injection and state
    #[argh(option)]
    control: Option<SocketAddr>,
    /// for a caller or trainer, the URL of an entry
    #[argh(option, default = "String::new()")]
    entry: String,
    /// for a caller or trainer, the file with the API key
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// the model for a caller, the run for a trainer
    #[argh(option, default = "String::new()")]
    target: String,
    /// for a trainer, the number of groups of eight samples
    #[argh(option, default = "8")]
    groups: usize,
}

fn main() -> ExitCode {
    let command: FakeCommand = argh::from_env();
    if matches!(command.mode.as_str(), "caller" | "trainer") {
        return match run_client(&command) {
            Ok(line) => {
                println!("{line}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{}: {error}", command.mode);
                ExitCode::FAILURE
            }
        };
    }
    let started = match command.mode.as_str() {
        "engine" => start_engine(&command),
        "service" => start_service(&command),
        "store" => start_platform_fake(&command, Box::new(FakeStore::default())),
        "hosts" => start_platform_fake(&command, Box::new(FakeHostList::default())),
        "zones" => start_platform_fake(&command, Box::new(FakeZones::default())),
        "usage" => start_platform_fake(&command, Box::new(FakeUsage::default())),
        "weights" => start_platform_fake(&command, Box::new(FakeWeights::default())),
        other => {
            eprintln!(
                "unknown mode {other}; known: engine, service, store, hosts, zones, usage, weights, \
                 caller, trainer"
            );
            return ExitCode::from(2);
        }
    };
    match started {
        Ok(()) => loop {
            thread::park();
        },
        Err(error) => {
            eprintln!("cannot serve {}: {error}", command.listen);
            ExitCode::FAILURE
        }
    }
}

fn run_client(command: &FakeCommand) -> Result<String, String> {
    let path = command.key_file.as_ref().ok_or("--key-file is required")?;
    let key = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let settings = ClientSettings {
        entry: command.entry.clone(),
        key: key.trim().to_owned(),
        target: command.target.clone(),
        groups: command.groups,
    };
    match command.mode.as_str() {
        "trainer" => trainer::run_step(&settings),
        _ => trainer::stream_completion(&settings),
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

fn start_platform_fake(command: &FakeCommand, handler: Box<dyn FakeHandler>) -> io::Result<()> {
    FakeServer::new(handler)
        .spawn(command.listen, command.control)
        .map(drop)
}
