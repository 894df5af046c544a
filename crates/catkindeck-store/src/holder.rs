//! A lease holder that runs on its own thread.

use {
    crate::events,
    catkindeck::{
        Clock, ErrorKind, ServiceError, log_event,
        platform::{LeaseOutcome, StoreClient},
    },
    catkindeck_policy::lease::{LeaseCall, LeaseProof, LeaseSettings, LeaseState},
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded},
    slog::Logger,
    std::{
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// The maximum sleep of the thread, which bounds the delay until it notices a changed rank or a
/// drain.
const MAX_SLEEP_MS: u64 = 1000;

/// Acquires and renews one lease for as long as the process runs, and proves immediately before an
/// order that the lease is held.
pub struct LeaseHolder {
    shared: Arc<HolderShared>,
    stop: Sender<()>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

struct HolderShared {
    settings: LeaseSettings,
    state: Mutex<LeaseState>,
    store: Arc<dyn StoreClient>,
    clock: Arc<dyn Clock>,
    logger: Logger,
}

impl LeaseHolder {
    /// Starts the thread that acquires the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        settings: LeaseSettings,
        store: Arc<dyn StoreClient>,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> io::Result<Self> {
        let state = LeaseState::new(settings.ttl_ms, settings.margin_ms, settings.order_ms);
        let shared = Arc::new(HolderShared {
            settings,
            state: Mutex::new(state),
            store,
            clock,
            logger,
        });
        let (stop, stop_signal) = bounded(1);
        let runner = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("lease".to_owned())
            .spawn(move || runner.run(&stop_signal))?;
        Ok(Self {
            shared,
            stop,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns a proof that the lease is held now. Must be called immediately before each order.
    ///
    /// # Errors
    ///
    /// Returns `fenced` with `not_run` if the lease is not held or is about to expire.
    pub fn check(&self) -> Result<LeaseProof, ServiceError> {
        let now = self.shared.clock.now();
        let proof = self.shared.state().check(now);
        proof.ok_or_else(|| {
            let name = &self.shared.settings.name;
            let detail = format!("lease {name} is not held by this process");
            ServiceError::not_run(ErrorKind::Fenced, detail)
        })
    }

    /// Sets this host's rank among the hosts that may hold the lease, counted from zero.
    pub fn set_rank(&self, rank: u32) {
        self.shared.state().set_rank(rank);
    }

    /// Stops using the lease, releases it once no order can be in flight any more, and joins the
    /// thread.
    pub fn drain(&self) {
        self.shared.state().drain();
        // A full channel means that the stop signal was already sent.
        let _ = self.stop.try_send(());
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(thread) = thread {
            // A panic of the thread was reported when it occurred.
            let _ = thread.join();
        }
    }
}

impl Drop for LeaseHolder {
    fn drop(&mut self) {
        self.drain();
    }
}

impl HolderShared {
    fn state(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, stop_signal: &Receiver<()>) {
        loop {
            let now = self.clock.now();
            let call = self.state().poll(now);
            if let Some(call) = call {
                self.execute(call);
                continue;
            }
            let (drained, next_at) = {
                let state = self.state();
                (state.is_drained(), state.next_at())
            };
            if drained {
                return;
            }
            let sleep_ms = next_at.since(now).clamp(1, MAX_SLEEP_MS);
            match stop_signal.recv_timeout(Duration::from_millis(sleep_ms)) {
                Ok(()) | Err(RecvTimeoutError::Disconnected) => self.state().drain(),
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn execute(&self, call: LeaseCall) {
        let name = &self.settings.name;
        match call {
            LeaseCall::Acquire => {
                let outcome = self
                    .store
                    .acquire(name, &self.settings.holder, self.settings.ttl_ms);
                match outcome {
                    Ok(LeaseOutcome::Granted(grant)) => {
                        log_event!(self.logger, events::LEASE_GRANTED;
                            "lease" => name, "number" => grant.number);
                        self.state().on_granted(&grant);
                    }
                    Ok(LeaseOutcome::Held { remaining_ms }) => {
                        let now = self.clock.now();
                        self.state().on_held(remaining_ms, now);
                    }
                    Err(error) => self.on_call_failed(&error),
                }
            }
            LeaseCall::Renew(number) => {
                match self.store.renew(name, number, self.settings.ttl_ms) {
                    Ok(grant) => self.state().on_granted(&grant),
                    Err(error) if error.kind == ErrorKind::Fenced => {
                        log_event!(self.logger, events::LEASE_LOST;
                            "lease" => name, "number" => number);
                        let now = self.clock.now();
                        self.state().on_fenced(now);
                    }
                    Err(error) => self.on_call_failed(&error),
                }
            }
            LeaseCall::Release(number) => {
                if self.store.release(name, number).is_ok() {
                    log_event!(self.logger, events::LEASE_RELEASED;
                        "lease" => name, "number" => number);
                }
                self.state().on_released();
            }
        }
    }

    fn on_call_failed(&self, error: &ServiceError) {
        log_event!(self.logger, events::LEASE_UNRENEWED;
            "lease" => &self.settings.name, "detail" => &error.detail);
        let now = self.clock.now();
        self.state().on_unavailable(now);
    }
}
