//! The shutdown of a process: which requests it still takes, and when those in progress end (`docs/platform.md`,
//! "Leaving").

use {
    crate::{caller_handler::AdmittedRequest, core::GatewayCore},
    catkindeck::{ErrorKind, Moment, ServiceError, id::ObjectName},
    catkindeck_policy::direct::{DrainSchedule, RequestLengths},
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// The schedule of a shutdown once it has begun, and what is needed to keep it.
#[derive(Default)]
pub struct DrainProgress {
    schedule: Cell<Option<DrainSchedule>>,
    begun: Notify,
    lengths: RefCell<RequestLengths>,
}

impl DrainProgress {
    /// Drops what is known of services without recent requests.
    pub fn drop_idle(&self, now: Moment) {
        self.lengths.borrow_mut().drop_idle(now);
    }
}

impl GatewayCore {
    pub fn is_shutting_down(&self) -> bool {
        self.drain.schedule.get().is_some()
    }

    /// Begins the shutdown of the process, which ends with its grace period.
    pub fn begin_drain(&self) -> DrainSchedule {
        let schedule = DrainSchedule::new(self.now(), self.settings().bounds.grace_ms);
        self.drain.schedule.set(Some(schedule));
        self.drain.begun.notify_waiters();
        schedule
    }

    /// Waits until requests in progress must be answered because the process ends.
    pub async fn await_drain_end(&self) {
        let schedule = loop {
            let begun = self.drain.begun.notified();
            match self.drain.schedule.get() {
                Some(schedule) => break schedule,
                None => begun.await,
            }
        };
        self.sleep_until(schedule.answers_until).await;
    }

    /// Returns the time for which a request may wait; [`Duration::MAX`] while the process does not shut down.
    pub fn drain_left(&self) -> Duration {
        let schedule = self.drain.schedule.get();
        schedule.map_or(Duration::MAX, |schedule| {
            Duration::from_millis(schedule.left_ms(self.now()))
        })
    }

    /// Checks that a request is over before the process ends, if it shuts down.
    ///
    /// # Errors
    ///
    /// Returns `shutting_down` with `not_run` for a request that may be cut.
    pub fn check_drain(&self, request: &AdmittedRequest) -> Result<(), ServiceError> {
        let Some(schedule) = self.drain.schedule.get() else {
            return Ok(());
        };
        let now = self.now();
        let left = request.expires.saturating_duration_since(Instant::now());
        let deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let lengths = self.drain.lengths.borrow();
        let longest_ms = lengths.longest_ms(now, &request.matched.service);
        if schedule.can_finish(now, deadline_ms, longest_ms) {
            return Ok(());
        }
        let left_ms = schedule.left_ms(now);
        let detail = format!("this process ends in {left_ms} ms, before the request may be over");
        Err(ServiceError::not_run(ErrorKind::ShuttingDown, detail))
    }

    /// Records how long a request of a service took, or until when it was not over.
    pub fn record_length(&self, service: &ObjectName, length: Duration) {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let mut lengths = self.drain.lengths.borrow_mut();
        lengths.record(self.now(), service, length_ms);
    }

    /// Sleeps until a moment. The host may be suspended meanwhile, so the clock is read again.
    pub async fn sleep_until(&self, moment: Moment) {
        loop {
            match moment.since(self.now()) {
                0 => return,
                left_ms => sleep(Duration::from_millis(left_ms)).await,
            }
        }
    }
}
