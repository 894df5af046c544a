//! Admission of requests to one upstream.

use {
    crate::{
        classes::{CLASSES, ClassQueues},
        credit::CreditLedger,
        fair::AccountKey,
        limit::ConcurrencyLimit,
        request::{
            AdmissionAction, AdmissionCounts, AdmissionRequest, AdmissionSettings, FinishCause,
            WithdrawOutcome,
        },
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError, SortedMap,
        id::{BootId, ObjectName, RequestId},
        message::WorkClass,
    },
    std::collections::BTreeMap,
};

/// The weight of a new sample in the moving averages of duration and service.
const SAMPLE_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone)]
struct RunningRequest {
    class: WorkClass,
    account: AccountKey,
    urgent: bool,
    started: Moment,
    predicted: u64,
    served: u64,
}

/// A bounded, fair and deadline-aware queue in front of one upstream (`docs/design.md`, decisions
/// 1, 2, 13 and 14).
///
/// Classes are served in strict order, except that rollouts near their deadline are guaranteed a
/// share of the limit. Within a class, customers share by service received.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    weights: SortedMap<ObjectName, u32>,
    limit: ConcurrencyLimit,
    credits: CreditLedger,
    closed: bool,
    classes: ClassQueues,
    running: BTreeMap<RequestId, RunningRequest>,
    urgent_running: usize,
    evicted: Vec<RequestId>,
    averages: [ClassAverages; CLASSES.len()],
}

impl AdmissionQueue {
    /// Creates an empty queue for an upstream that is assumed to be cold.
    pub fn new(settings: AdmissionSettings, now: Moment) -> Self {
        Self {
            weights: SortedMap::new(),
            limit: ConcurrencyLimit::new(settings.limit, now),
            credits: CreditLedger::new(),
            closed: false,
            classes: ClassQueues::new(settings.idle_credit),
            running: BTreeMap::new(),
            urgent_running: 0,
            evicted: Vec::new(),
            averages: [ClassAverages::default(); CLASSES.len()],
            settings,
        }
    }

    /// Replaces the settings and the customers' weights; customers without a weight have weight 1.
    pub fn configure(
        &mut self,
        settings: AdmissionSettings,
        weights: impl IntoIterator<Item = (ObjectName, u32)>,
    ) {
        self.weights = weights.into_iter().collect();
        self.limit.configure(settings.limit);
        let weights = &self.weights;
        self.classes
            .configure(settings.idle_credit, |name| match name {
                Some(name) => weights.get(name).copied(),
                None => Some(1),
            });
        self.settings = settings;
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns `upstream_leaving`, `deadline_exceeded` or `overloaded` with `not_run`, and
    /// `conflict` with `unknown` if the same request is queued or running.
    pub fn offer(&mut self, now: Moment, request: AdmissionRequest) -> Result<(), ServiceError> {
        if let Some(entry) = &request.entry {
            self.credits.spend(entry);
        }
        if self.closed {
            return Err(upstream_leaving_error());
        }
        let known = self.classes.contains(&request.request);
        if known || self.running.contains_key(&request.request) {
            return Err(ServiceError::unknown(
                ErrorKind::Conflict,
                "the same request is in progress",
            ));
        }
        let class = request.class;
        let weight = self.weight(&request.customer);
        let account = self
            .classes
            .queue_mut(class)
            .account(&request.customer, weight);
        let wait_ms = self.wait_estimate(class, account) + self.p5_duration_ms(class);
        if now + wait_ms >= request.deadline {
            return Err(deadline_exceeded_error());
        }
        if self.classes.len() >= self.settings.queue_limit {
            let eviction_candidate = self
                .classes
                .eviction_candidate(class, account)
                .ok_or_else(overloaded_error)?;
            self.classes.take(&eviction_candidate);
            self.evicted.push(eviction_candidate);
        }
        self.classes.push(account, &request);
        Ok(())
    }

    /// Returns the requests to start and to shed; must be called after every change and at least
    /// every 100 ms.
    pub fn poll(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for request in std::mem::take(&mut self.evicted) {
            actions.push(AdmissionAction::Shed(request, overloaded_error()));
        }
        if self.closed {
            for request in self.classes.requests().copied().collect::<Vec<_>>() {
                self.classes.take(&request);
                actions.push(AdmissionAction::Shed(request, upstream_leaving_error()));
            }
            return actions;
        }
        self.shed_expired(now, &mut actions);
        while self.running.len() < self.limit.current() as usize {
            let Some(request) = self.start_next(now) else {
                break;
            };
            actions.push(AdmissionAction::Start(request));
        }
        actions
    }

    /// Records service that a running request received, in tokens.
    pub fn record_service(&mut self, _now: Moment, request: &RequestId, tokens: u64) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let before = running.served.max(running.predicted);
        running.served += tokens;
        let excess = running.served.saturating_sub(before);
        if excess > 0 {
            self.classes
                .queue_mut(running.class)
                .charge(running.account, excess);
        }
    }

    /// Ends a running request, whose whole service must have been recorded by
    /// [`Self::record_service`].
    pub fn finish(&mut self, now: Moment, request: &RequestId, cause: FinishCause) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        if running.urgent {
            self.urgent_running -= 1;
        }
        let unused = running.predicted.saturating_sub(running.served);
        self.classes
            .queue_mut(running.class)
            .refund(running.account, unused);
        let duration = now.since(running.started) as f64;
        match cause {
            FinishCause::Completed => {
                let service = running.served.max(1) as f64;
                self.averages[running.class as usize].count(duration, service);
                self.limit.complete(now, duration / service);
            }
            FinishCause::UpstreamFailed => self.limit.fail(now),
            FinishCause::Cancelled => {}
        }
    }

    /// Removes a queued request whose caller gave up or that was revoked.
    pub fn withdraw(&mut self, request: &RequestId) -> WithdrawOutcome {
        let evicted = self.evicted.len();
        self.evicted.retain(|other| other != request);
        if self.classes.take(request).is_some() || self.evicted.len() < evicted {
            return WithdrawOutcome::Removed;
        }
        match self.running.contains_key(request) {
            true => WithdrawOutcome::Running,
            false => WithdrawOutcome::Absent,
        }
    }

    /// Records the upstream's boot ID and returns whether it is new; if so, the upstream is cold.
    pub fn observe_boot(&mut self, now: Moment, boot: &BootId) -> bool {
        let new = self.limit.observe_boot(now, boot);
        if new {
            self.credits.clear();
        }
        new
    }

    /// Rejects new and queued work while `closed`; reopening restarts the ramp from the cold limit.
    pub fn set_closed(&mut self, now: Moment, closed: bool) {
        if self.closed && !closed {
            self.limit.reset_to_cold(now);
        }
        if closed {
            self.credits.clear();
        }
        self.closed = closed;
    }

    /// Grants credits to an entry, replacing its earlier ones.
    pub fn grant_credits(&mut self, now: Moment, entry: &ObjectName) -> u32 {
        let counts = self.counts();
        let busy = counts.in_flight.saturating_add(counts.queued);
        let free = match self.closed {
            true => 0,
            false => counts.limit.saturating_sub(busy),
        };
        self.credits.grant(now, entry, free)
    }

    /// Returns the sum of the outstanding credits.
    pub fn credits_outstanding(&self) -> u32 {
        self.credits.outstanding()
    }

    /// Returns the figures for the load report.
    pub fn counts(&self) -> AdmissionCounts {
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        AdmissionCounts {
            limit: self.limit.current(),
            in_flight: count(self.running.len()),
            queued: count(self.classes.len()),
            closed: self.closed,
        }
    }

    fn weight(&self, customer: &Option<ObjectName>) -> u32 {
        let known = customer.as_ref().and_then(|name| self.weights.get(name));
        known.copied().unwrap_or(1)
    }

    fn shed_expired(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        for class in CLASSES {
            let p5_duration_ms = self.p5_duration_ms(class);
            while let Some((deadline, request)) = self.classes.earliest(class)
                && deadline <= now + p5_duration_ms
            {
                self.classes.take(&request);
                actions.push(AdmissionAction::Shed(request, deadline_exceeded_error()));
            }
        }
    }

    fn start_next(&mut self, now: Moment) -> Option<RequestId> {
        let urgent = self.next_urgent_rollout(now);
        let queued = match urgent {
            Some(request) => self.classes.take(&request)?,
            None => self.classes.pop()?,
        };
        let mean_service = self.averages[queued.class as usize].service;
        // The mean service is charged in advance, so that the requests of a burst are charged
        // before their service is recorded.
        let predicted = (mean_service.ceil() as u64).clamp(1, queued.service_limit);
        self.classes
            .queue_mut(queued.class)
            .charge(queued.account, predicted);
        let running = RunningRequest {
            class: queued.class,
            account: queued.account,
            urgent: urgent.is_some(),
            started: now,
            predicted,
            served: 0,
        };
        self.urgent_running += usize::from(running.urgent);
        self.running.insert(queued.request, running);
        Some(queued.request)
    }

    /// Returns the urgent rollout with the earliest deadline, unless the guaranteed share is in
    /// use.
    fn next_urgent_rollout(&self, now: Moment) -> Option<RequestId> {
        let limit = u64::from(self.limit.current());
        let share = (limit * u64::from(self.settings.urgent_percent)).div_ceil(100);
        if self.urgent_running as u64 >= share {
            return None;
        }
        let (deadline, request) = self.classes.earliest(WorkClass::Rollout)?;
        (deadline <= now + self.settings.urgent_ms).then_some(request)
    }

    /// Estimates how long a new request of an account waits, in milliseconds.
    fn wait_estimate(&self, class: WorkClass, account: AccountKey) -> u64 {
        let limit = f64::from(self.limit.current());
        let mut wait = 0.0;
        for other in CLASSES {
            let queue = self.classes.queue(other);
            let duration = self.averages[other as usize].duration;
            if other < class {
                wait += queue.len() as f64 * duration / limit;
            } else if other == class {
                let (own, all) = queue.weights(account);
                let ahead = queue.backlog(account) as f64 * all as f64 / own as f64;
                wait += ahead * duration / limit;
            }
        }
        wait as u64
    }

    /// Returns the duration that about 95 % of the class's requests exceed, in milliseconds.
    fn p5_duration_ms(&self, class: WorkClass) -> u64 {
        self.averages[class as usize].p5_duration as u64
    }
}

/// Running statistics of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassAverages {
    duration: f64,
    service: f64,
    /// An estimate of the 5th percentile of the duration.
    ///
    /// Half the mean is too long for a mix of short and long requests: the short ones were
    /// rejected.
    p5_duration: f64,
}

impl ClassAverages {
    fn count(&mut self, duration: f64, service: f64) {
        if self.service == 0.0 {
            *self = Self {
                duration,
                service,
                p5_duration: duration / 2.0,
            };
            return;
        }
        self.duration += (duration - self.duration) * SAMPLE_WEIGHT;
        self.service += (service - self.service) * SAMPLE_WEIGHT;
        // The estimate falls 19 times as fast as it rises, so it settles at the 5th percentile.
        self.p5_duration *= match duration < self.p5_duration {
            true => 0.9,
            false => 1.005_5,
        };
    }
}

fn upstream_leaving_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::UpstreamLeaving,
        "the upstream is draining or its availability zone accepts no work",
    )
}

fn overloaded_error() -> ServiceError {
    ServiceError::not_run(ErrorKind::Overloaded, "the upstream's queue is full")
}

fn deadline_exceeded_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::DeadlineExceeded,
        "the request cannot finish before its deadline",
    )
}
