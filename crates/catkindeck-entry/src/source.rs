//! Configuration read from a file, for a deployment without the platform.

use {
    crate::events::{CONFIG_FILE_REJECTED, CONFIG_IN_USE},
    arc_swap::ArcSwap,
    catkindeck::{
        config::{ConfigRevision, ConfigSnapshot},
        log_event,
        settings::{SettingsError, SettingsText},
    },
    catkindeck_control::source::ConfigSource,
    slog::Logger,
    std::{path::Path, sync::Arc, thread, time::Duration},
};

/// The interval at which the file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the configuration from a TOML or JSON file and reloads it when it changes.
///
/// Intended for deployments with one entry and no store. A changed file takes effect within a
/// second if its revision is higher. If a changed file is invalid, an event is logged and the
/// previous configuration stays in use.
pub struct FileSource {
    current: ArcSwap<ConfigSnapshot>,
    logger: Logger,
}

impl FileSource {
    /// Reads the initial configuration from `path`.
    ///
    /// # Errors
    ///
    /// Returns the file, line and field at fault.
    pub fn open(path: &Path, logger: Logger) -> Result<Arc<Self>, SettingsError> {
        let snapshot = read_snapshot(path)?;
        let source = Self {
            current: ArcSwap::from_pointee(snapshot),
            logger,
        };
        Ok(Arc::new(source))
    }

    /// Reads the file again and applies it if its revision is higher.
    ///
    /// # Errors
    ///
    /// Returns the file, line and field at fault.
    pub fn reload(&self, path: &Path) -> Result<(), SettingsError> {
        let snapshot = read_snapshot(path)?;
        if snapshot.revision > self.current.load().revision {
            log_event!(self.logger, CONFIG_IN_USE; "revision" => snapshot.revision.0);
            self.current.store(Arc::new(snapshot));
        }
        Ok(())
    }

    /// Starts a thread that reloads the file once a second for the lifetime of the process.
    pub fn watch(self: &Arc<Self>, path: &Path) {
        let (source, path) = (Arc::clone(self), path.to_owned());
        let watcher = thread::Builder::new().name("config-file".to_owned());
        let spawned = watcher.spawn(move || {
            let mut failed = false;
            loop {
                thread::sleep(RELOAD_INTERVAL);
                match source.reload(&path) {
                    Ok(()) => failed = false,
                    // Consecutive failures are logged once, not every second.
                    Err(_) if failed => {}
                    Err(error) => {
                        failed = true;
                        log_event!(source.logger, CONFIG_FILE_REJECTED; "error" => %error);
                    }
                }
            }
        });
        if let Err(error) = spawned {
            log_event!(self.logger, CONFIG_FILE_REJECTED; "error" => %error);
        }
    }
}

impl ConfigSource for FileSource {
    fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Always returns `true`, because no newer configuration than the local file exists.
    fn is_fresh(&self) -> bool {
        true
    }

    fn observe_revision(&self, _revision: ConfigRevision) {}
}

fn read_snapshot(path: &Path) -> Result<ConfigSnapshot, SettingsError> {
    let is_json = path
        .extension()
        .is_some_and(|extension| extension == "json");
    let mut snapshot = if is_json {
        read_json(path)?
    } else {
        SettingsText::read(path)?.parse::<ConfigSnapshot>()?
    };
    snapshot.sort();
    Ok(snapshot)
}

fn read_json(path: &Path) -> Result<ConfigSnapshot, SettingsError> {
    let fault = |line: usize, expected: String| SettingsError {
        file: path.display().to_string(),
        line,
        field: "-".to_owned(),
        expected,
    };
    let bytes = std::fs::read(path)
        .map_err(|error| fault(0, format!("cannot read the JSON file: {error}")))?;
    serde_json::from_slice(&bytes).map_err(|error| fault(error.line(), error.to_string()))
}
