//! Shutdown on SIGTERM or SIGINT.

use {
    crate::{
        DrainGate, ReadinessFlag,
        events::{DRAIN_COMPLETE, DRAIN_FORCED, DRAIN_WAITING, SHUTDOWN_REQUESTED},
    },
    catkindeck::{ErrorKind, ServiceError, log_event},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    slog::Logger,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// How often the drain looks for a second signal.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How many polls pass between two log lines about work in flight.
const POLLS_PER_REPORT: u32 = 25;

/// Why [`ShutdownWatch::wait`] returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownCause {
    /// Nothing is in flight.
    Drained,
    /// A second signal asked to exit with work in flight.
    Forced,
}

/// Holds the main thread until a signal arrives and the work in flight has ended.
#[derive(Debug)]
pub struct ShutdownWatch {
    readiness: Arc<ReadinessFlag>,
    gate: Arc<DrainGate>,
    signals: Arc<AtomicUsize>,
    logger: Logger,
}

impl ShutdownWatch {
    /// Starts to catch SIGTERM and SIGINT.
    ///
    /// On the first signal readiness goes off and the gate closes at once.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the signals cannot be caught.
    pub fn install(
        readiness: Arc<ReadinessFlag>,
        gate: Arc<DrainGate>,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let mut caught = Signals::new([SIGTERM, SIGINT]).map_err(fault)?;
        let watch = Self {
            readiness,
            gate,
            signals: Arc::new(AtomicUsize::new(0)),
            logger,
        };
        let signals = Arc::clone(&watch.signals);
        let main = thread::current();
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                for _ in caught.forever() {
                    signals.fetch_add(1, Ordering::SeqCst);
                    main.unpark();
                }
            })
            .map_err(fault)?;
        Ok(watch)
    }

    /// Asks for a shutdown without a signal.
    pub fn request(&self) {
        self.signals.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits for a signal, closes the gate and waits until nothing is in flight.
    ///
    /// `on_drain` runs once between the two, for example to hand over records. It is called after
    /// the gate is closed, so it sees no new work.
    pub fn wait(&self, on_drain: impl FnOnce()) -> ShutdownCause {
        while self.signals.load(Ordering::SeqCst) == 0 {
            thread::park_timeout(POLL_INTERVAL);
        }
        log_event!(self.logger, SHUTDOWN_REQUESTED; "in_flight" => self.gate.in_flight());
        self.readiness
            .hold("shutting_down", "the process is draining");
        self.gate.close();
        on_drain();
        self.wait_for_drain()
    }

    fn wait_for_drain(&self) -> ShutdownCause {
        let mut polls = 0;
        while !self.gate.wait_idle(POLL_INTERVAL) {
            if self.signals.load(Ordering::SeqCst) > 1 {
                log_event!(self.logger, DRAIN_FORCED; "in_flight" => self.gate.in_flight());
                return ShutdownCause::Forced;
            }
            if polls % POLLS_PER_REPORT == 0 {
                log_event!(self.logger, DRAIN_WAITING; "in_flight" => self.gate.in_flight());
            }
            polls += 1;
        }
        log_event!(self.logger, DRAIN_COMPLETE);
        ShutdownCause::Drained
    }
}

fn fault(error: std::io::Error) -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Internal,
        format!("signals cannot be caught: {error}"),
    )
}
