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
        time::{Duration, Instant},
    },
};

/// The interval at which a drain checks for a second signal.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of polls between two log lines about work in flight.
const POLLS_PER_REPORT: u32 = 25;

/// Why [`ShutdownWatch::wait`] returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownCause {
    /// No work is in flight.
    Drained,
    /// A second signal requested an exit despite work in flight.
    Forced,
}

/// Blocks the main thread until a signal arrives and the work in flight has ended.
#[derive(Debug)]
pub struct ShutdownWatch {
    readiness: Arc<ReadinessFlag>,
    gate: Arc<DrainGate>,
    signals: Arc<AtomicUsize>,
    notice: Duration,
    logger: Logger,
}

impl ShutdownWatch {
    /// Starts to handle SIGTERM and SIGINT.
    ///
    /// After the first signal the process is unready, and the gate closes once the notice period
    /// has passed.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the signals cannot be handled.
    pub fn install(
        readiness: Arc<ReadinessFlag>,
        gate: Arc<DrainGate>,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let mut caught = Signals::new([SIGTERM, SIGINT]).map_err(internal_error)?;
        let watch = Self {
            readiness,
            gate,
            signals: Arc::new(AtomicUsize::new(0)),
            notice: Duration::ZERO,
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
            .map_err(internal_error)?;
        Ok(watch)
    }

    /// Sets the notice period, for which the process keeps serving after it became unready. The
    /// platform's load balancer must stop sending within it, because a connection that arrives
    /// during the exit would be reset.
    #[must_use]
    pub fn with_notice(mut self, notice: Duration) -> Self {
        self.notice = notice;
        self
    }

    /// Requests a shutdown without a signal.
    pub fn request(&self) {
        self.signals.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns whether a second signal requested an immediate exit.
    pub fn is_forced(&self) -> bool {
        self.signals.load(Ordering::SeqCst) > 1
    }

    /// Waits for a signal and the notice period, closes the gate and waits until no work is in
    /// flight.
    ///
    /// `on_drain` runs once after the gate was closed, for example to transfer records to other
    /// processes, so no new work arrives while it runs.
    pub fn wait(&self, on_drain: impl FnOnce()) -> ShutdownCause {
        while self.signals.load(Ordering::SeqCst) == 0 {
            thread::park_timeout(POLL_INTERVAL);
        }
        log_event!(self.logger, SHUTDOWN_REQUESTED; "in_flight" => self.gate.in_flight());
        self.readiness
            .add_reason("shutting_down", "the process is draining");
        self.wait_notice_period();
        self.gate.close();
        on_drain();
        self.wait_for_drain()
    }

    /// Waits until the notice period has passed or a second signal arrives.
    fn wait_notice_period(&self) {
        let started = Instant::now();
        while started.elapsed() < self.notice && !self.is_forced() {
            let remaining = self.notice.saturating_sub(started.elapsed());
            thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }

    fn wait_for_drain(&self) -> ShutdownCause {
        let mut polls = 0;
        while !self.gate.wait_idle(POLL_INTERVAL) {
            if self.is_forced() {
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

fn internal_error(error: std::io::Error) -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Internal,
        format!("cannot handle signals: {error}"),
    )
}
