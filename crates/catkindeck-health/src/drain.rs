//! A gate that counts work in flight and is closed before a shutdown.

use {
    catkindeck::{ErrorKind, ServiceError},
    std::{
        sync::{Arc, Condvar, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Admits work until a shutdown begins, and reports when no work is left in flight.
///
/// Admission and counting happen under one lock. Otherwise a request that is admitted while the
/// drain begins could be missing from the count and cut off by the exit (`docs/design.md`, G15).
#[derive(Debug, Default)]
pub struct DrainGate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct GateState {
    in_flight: usize,
    draining: bool,
}

impl DrainGate {
    /// Creates an open gate.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Admits one unit of work, which is in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns `shutting_down` with `not_run` after [`DrainGate::close`].
    pub fn enter(self: &Arc<Self>) -> Result<InFlightGuard, ServiceError> {
        let mut state = self.lock();
        if state.draining {
            return Err(ServiceError::not_run(
                ErrorKind::ShuttingDown,
                "this process is shutting down; send the request again on a new connection",
            ));
        }
        state.in_flight += 1;
        Ok(InFlightGuard {
            gate: Arc::clone(self),
        })
    }

    /// Closes the gate for new work. Closing it again has no effect.
    pub fn close(&self) {
        self.lock().draining = true;
        self.changed.notify_all();
    }

    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Returns the number of units of work in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Waits until no work is in flight, and returns whether that happened before `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        while state.in_flight > 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            (state, _) = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(|poison| poison.into_inner());
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// One unit of work in flight. Dropping it ends the work, even if its thread panics.
#[derive(Debug)]
pub struct InFlightGuard {
    gate: Arc<DrainGate>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gate.lock().in_flight -= 1;
        self.gate.changed.notify_all();
    }
}
