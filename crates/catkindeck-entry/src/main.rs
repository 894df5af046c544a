//! The daemon on entry hosts.

use {
    argh::FromArgs,
    catkindeck::{
        Clock, ErrorKind, ServiceError, ServiceKernel,
        log::build_logger,
        log_event,
        settings::{SettingsError, SettingsText},
        time::SystemClock,
    },
    catkindeck_control::source::{CONFIG_SOURCE, ConfigSource},
    catkindeck_entry::{
        control::{ControlParts, ControlWorker},
        daemon::{EntryDaemon, MeteredForwarder, open_peer_endpoint},
        events::{CONFIG_FILE_REJECTED, ENTRY_FAILED},
        platform::{register_platform, start_platform},
        settings::{ConfigOrigin, EntrySettings},
        source::FileSource,
    },
    catkindeck_health::ShutdownCause,
    slog::Logger,
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
    },
};

/// Serves callers, trainers and operators and forwards their requests to agents.
///
/// Exit codes: 0 after a graceful shutdown, 1 if it cannot start, 2 for invalid settings, 6 if a
/// second signal interrupted requests in flight.
#[derive(FromArgs)]
struct EntryArguments {
    /// the settings file, TOML
    #[argh(option)]
    settings: PathBuf,

    /// check the settings and the configuration file, and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: EntryArguments = argh::from_env();
    let settings =
        SettingsText::read(&arguments.settings).and_then(|text| EntrySettings::load(&text));
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => return report_settings_error(&error),
    };
    if arguments.check {
        return check_settings(&settings);
    }
    let logger = build_logger(settings.process.log_format, settings.process.log_level);
    match serve(&settings, &logger) {
        Ok(ShutdownCause::Drained) => ExitCode::SUCCESS,
        Ok(ShutdownCause::Forced) => ExitCode::from(ErrorKind::ShuttingDown.response().exit_code),
        Err(error) => {
            log_event!(logger, ENTRY_FAILED; "error" => &error.detail);
            ExitCode::from(ErrorKind::Internal.response().exit_code)
        }
    }
}

fn serve(settings: &EntrySettings, logger: &Logger) -> Result<ShutdownCause, ServiceError> {
    let kernel = ServiceKernel::new();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    match &settings.origin {
        ConfigOrigin::File(path) => register_file_source(&kernel, path, logger)?,
        ConfigOrigin::Platform(platform) => {
            register_platform(&kernel, settings, platform, &clock, logger)?;
        }
    }
    let source = kernel.find::<dyn ConfigSource>(CONFIG_SOURCE)?;
    let endpoint = open_peer_endpoint(settings, source, logger.clone())?;
    let link = endpoint.link();
    if let ConfigOrigin::Platform(_) = &settings.origin {
        start_platform(&kernel, settings, &link, &clock, logger)?;
    }
    let metered_forwarder = MeteredForwarder::build(
        settings,
        &kernel,
        Arc::clone(&link),
        Arc::clone(&clock),
        logger,
    )?;
    if let ConfigOrigin::Platform(platform) = &settings.origin {
        let parts = ControlParts {
            forwarder: Arc::clone(&metered_forwarder.forwarder),
            metrics: Arc::clone(&metered_forwarder.metrics),
            link,
            clock,
            logger: logger.clone(),
        };
        ControlWorker::start(&kernel, settings, platform, parts)?;
    }
    Ok(EntryDaemon::start(settings, &kernel, endpoint, metered_forwarder, logger)?.run())
}

fn register_file_source(
    kernel: &ServiceKernel,
    path: &Path,
    logger: &Logger,
) -> Result<(), ServiceError> {
    let source = FileSource::open(path, logger.clone()).map_err(|error| {
        log_event!(logger, CONFIG_FILE_REJECTED; "error" => %error);
        ServiceError::not_run(ErrorKind::BadRequest, error.to_string())
    })?;
    source.watch(path);
    kernel.register::<dyn ConfigSource>(CONFIG_SOURCE, source)
}

fn check_settings(settings: &EntrySettings) -> ExitCode {
    if let ConfigOrigin::File(path) = &settings.origin {
        let logger = catkindeck::log::discard_logger();
        if let Err(error) = FileSource::open(path, logger) {
            return report_settings_error(&error);
        }
    }
    println!("the settings are valid");
    ExitCode::SUCCESS
}

fn report_settings_error(error: &SettingsError) -> ExitCode {
    eprintln!("catkindeck-entry: {error}");
    ExitCode::from(ErrorKind::BadRequest.response().exit_code)
}
