//! The use of plain services by this process, see `docs/design/room.md`.

use {
    crate::{core::GatewayCore, events::SCORE_DELAYED},
    catkindeck::{
        ErrorKind, Moment, ServiceError, SortedMap, error::ExecutionOutcome, id::ObjectName,
        log_event,
    },
    catkindeck_policy::direct::{
        DuplicateBudget, MAX_SCORE_WAIT_MS, PlainRoom, RefusalCause, RefusedRequest,
        ReturnSchedule, ScoreEnd, ScoreTicket,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::oneshot, time::Instant},
};

/// The age up to which a list of upstreams shows that none exists, in milliseconds. A process that
/// has an older one, or has just started, does not know what others can serve.
const LIST_CURRENT_MS: u64 = 3_000;

/// Returns how many members of a scorer call's group are unfinished.
pub type RemainingMembers = Box<dyn Fn() -> u32>;

/// What this process knows of the plain services that it uses.
#[derive(Default)]
pub struct RoomRegistry {
    rooms: RefCell<SortedMap<ObjectName, ServiceRoom>>,
    duplicates: RefCell<SortedMap<ObjectName, DuplicateBudget>>,
    returns: RefCell<SortedMap<ObjectName, ReturnSchedule>>,
}

#[derive(Default)]
struct ServiceRoom {
    room: PlainRoom,
    waiters: SortedMap<ScoreTicket, RoomWaiter>,
}

struct RoomWaiter {
    remaining: RemainingMembers,
    admitted: oneshot::Sender<()>,
}

/// A scorer call that waits for a place or has one, until it is dropped.
pub struct RoomPass {
    core: Rc<GatewayCore>,
    service: ObjectName,
    ticket: ScoreTicket,
    is_sent: Cell<bool>,
    end: Cell<ScoreEnd>,
}

impl RoomPass {
    /// Records how the call ended.
    pub fn record_end(&self, end: ScoreEnd) {
        self.end.set(end);
    }

    /// Applies a change to the room, and then admits the calls for which there are places.
    fn update(&self, change: impl FnOnce(&mut ServiceRoom)) {
        let registry = &self.core.rooms;
        if let Some(room) = registry.rooms.borrow_mut().get_mut(&self.service) {
            change(room);
        }
        self.core.admit_scores();
    }
}

impl Drop for RoomPass {
    fn drop(&mut self) {
        let (now, ticket) = (self.core.now(), self.ticket);
        let (is_sent, end) = (self.is_sent.get(), self.end.get());
        self.update(|room| {
            if room.waiters.remove(&ticket).is_some() {
                room.room.withdraw(ticket);
                return;
            }
            if !is_sent {
                room.room.record_sent();
            }
            room.room.finish(now, end);
        });
    }
}

impl GatewayCore {
    /// Returns whether callers and scorer calls may share plain services, so that their use is
    /// paced: an operator allows it, and the configuration has routes for jobs.
    pub fn shares_plain_room(&self) -> bool {
        self.settings().scheduling.plain_room.is_on() && self.intent.borrow().has_job_routes()
    }

    /// Waits for a place for a scorer call at a plain service.
    pub async fn enter_room(
        self: &Rc<Self>,
        service: &ObjectName,
        remaining: RemainingMembers,
    ) -> RoomPass {
        let started = self.now();
        let (admitted, admission) = oneshot::channel();
        let pass = {
            let mut rooms = self.rooms.rooms.borrow_mut();
            let room = rooms.get_or_insert_with(service.clone(), ServiceRoom::default);
            let ticket = room.room.enqueue(started);
            let waiter = RoomWaiter {
                remaining,
                admitted,
            };
            room.waiters.insert(ticket, waiter);
            RoomPass {
                core: Rc::clone(self),
                service: service.clone(),
                ticket,
                is_sent: Cell::new(false),
                end: Cell::new(ScoreEnd::Cancelled),
            }
        };
        self.admit_scores();
        // The sender is dropped only with this pass, so the outcome is always an admission.
        let _admitted = admission.await;
        pass.is_sent.set(true);
        pass.update(|room| room.room.record_sent());
        let waited_ms = self.now().since(started);
        if waited_ms > MAX_SCORE_WAIT_MS {
            log_event!(self.logger, SCORE_DELAYED;
                "service" => %service, "waited_ms" => waited_ms);
        }
        pass
    }

    /// Admits the waiting scorer calls for which there are places now.
    pub fn admit_scores(&self) {
        let now = self.now();
        let mut waiting = 0;
        for (service, state) in self.rooms.rooms.borrow_mut().iter_mut() {
            if state.room.waiting() == 0 {
                continue;
            }
            let places = self.roster.borrow().plain_places(now, service, &[]);
            let ServiceRoom { room, waiters } = state;
            let remaining = |ticket: ScoreTicket| {
                let waiter = waiters.get(&ticket);
                waiter.map_or(u32::MAX, |waiter| (waiter.remaining)())
            };
            for ticket in room.admit(now, places, &remaining) {
                if let Some(waiter) = waiters.remove(&ticket) {
                    // If the call has just been cancelled, its pass gives the place back.
                    let _is_waiting = waiter.admitted.send(());
                }
            }
            waiting += room.waiting();
        }
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.metrics.room.scores_waiting.set(waiting);
    }

    /// Records a request to a plain service, which funds duplicates.
    pub fn fund_duplicates(&self, service: &ObjectName) {
        let mut duplicates = self.rooms.duplicates.borrow_mut();
        let budget = duplicates.get_or_insert_with(service.clone(), DuplicateBudget::default);
        budget.record_request();
    }

    /// Spends a duplicate of a request to a plain service, and returns whether one was saved.
    pub fn spend_duplicate(&self, service: &ObjectName) -> bool {
        let mut duplicates = self.rooms.duplicates.borrow_mut();
        duplicates
            .get_mut(service)
            .is_some_and(DuplicateBudget::spend)
    }

    /// Records that a caller's request to a plain service was served.
    pub fn record_served(&self, service: &ObjectName, customer: Option<&ObjectName>) {
        let mut returns = self.rooms.returns.borrow_mut();
        let schedule = returns.get_or_insert_with(service.clone(), ReturnSchedule::default);
        schedule.record_served(self.now(), customer);
    }

    /// Returns when the caller of a refused request should return, in milliseconds, and why it
    /// waits. Returns `None` if waiting would not help, because another process may serve the
    /// request now.
    pub fn return_time(
        &self,
        error: &ServiceError,
        service: &ObjectName,
        (customer, id): (Option<&ObjectName>, &str),
    ) -> Option<(u64, RefusalCause)> {
        let now = self.now();
        let cause = self.refusal_cause(now, error, service)?;
        let request = RefusedRequest {
            customer,
            id,
            cause,
        };
        let mut returns = self.rooms.returns.borrow_mut();
        let schedule = returns.get_or_insert_with(service.clone(), ReturnSchedule::default);
        Some((schedule.return_ms(now, &request), cause))
    }

    fn refusal_cause(
        &self,
        now: Moment,
        error: &ServiceError,
        service: &ObjectName,
    ) -> Option<RefusalCause> {
        if error.execution != ExecutionOutcome::NotRun {
            return None;
        }
        match error.kind {
            ErrorKind::StoreUnavailable => {
                let wait_ms = self.relay.trial_wait_ms(now)?;
                Some(RefusalCause::StoreAway(wait_ms))
            }
            ErrorKind::NoUpstream | ErrorKind::Overloaded | ErrorKind::RetryBudgetSpent => {
                let roster = self.roster.borrow();
                if !roster.has_upstream(service) {
                    let is_current = roster.age(now).is_some_and(|age| age < LIST_CURRENT_MS);
                    return Some(match is_current {
                        true => RefusalCause::NoneListed,
                        false => RefusalCause::NoList,
                    });
                }
                if let Some(next) = roster.next_permit(now, service) {
                    return Some(RefusalCause::Permit(next.since(now)));
                }
                Some(match roster.pause_ms(now, service) {
                    0 => RefusalCause::Busy,
                    pause_ms => RefusalCause::Pause(pause_ms),
                })
            }
            _ => None,
        }
    }

    /// Returns whether no upstream of a plain service would answer a new request before `expires`.
    pub fn is_hopeless(&self, service: &ObjectName, expires: Instant) -> bool {
        let left = expires.saturating_duration_since(Instant::now());
        let wait_us = self.roster.borrow().plain_wait_us(self.now(), service);
        wait_us.is_some_and(|wait_us| Duration::from_micros(wait_us) > left)
    }
}
