//! Assigns the items of jobs to engines.

use {
    super::{
        item::{ItemRun, run_item},
        item_forecast::{RunForecast, text_demand},
        owned::{OwnedJob, route_of},
        service::JobService,
    },
    crate::{
        events::TEXT_DISCARDED,
        forward::stream::urgency,
        task::run_guarded,
        upstream_guard::{UpstreamGuard, rate_limits},
    },
    catkindeck::{config::RouteRecord, id::ObjectName, log_event, token::WeightVersion},
    catkindeck_policy::direct::{
        EngineQuery, ItemKey, ItemOutcome, RolloutJob, StartPriority, choose_service,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The longest time between two scheduling rounds while items are waiting. Nothing notifies the scheduler when
/// an engine becomes selectable again after a pause.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// The longest time between two scheduling rounds while no items are waiting. Results become due and items
/// expire with time.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// The difference between the clocks of two hosts for which a job's age allows, in milliseconds. An item that is
/// given up too early is lost; one that is given up late costs a few runs.
const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// Whether an item could be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartOutcome {
    Started,
    /// No engine of the version that the item needs is available. Other items may start.
    NoVersion,
    /// No engine is available for any item of the job.
    NoPlace,
}

impl JobService {
    /// Starts items whenever slots, upstreams or jobs become available, for the life of the process.
    pub async fn schedule_items(self: Rc<Self>) {
        loop {
            let has_waiting = self.dispatch();
            let delay = match has_waiting {
                true => DISPATCH_INTERVAL,
                false => IDLE_INTERVAL,
            };
            let delay = delay.min(self.time_to_commit());
            tokio::select! {
                () = self.core.capacity.notified() => {}
                () = sleep(delay) => {}
            }
        }
    }

    /// Returns the time until results are due to be stored.
    fn time_to_commit(&self) -> Duration {
        let now = self.core.now();
        let due = self
            .all()
            .iter()
            .filter_map(|job| job.job.borrow().commit_at())
            .min();
        due.map_or(IDLE_INTERVAL, |due| {
            Duration::from_millis(due.since(now).max(1))
        })
    }

    /// Runs one scheduling round, and tells whether items are still waiting.
    fn dispatch(self: &Rc<Self>) -> bool {
        let jobs: Vec<(u8, Rc<OwnedJob>)> = self
            .all()
            .into_iter()
            .map(|job| (self.job_urgency(&job), job))
            .collect();
        let unix_ms = self.core.unix_ms();
        for (_, job) in &jobs {
            let age_ms = unix_ms.saturating_sub(job.spec.submitted_ms + CLOCK_TOLERANCE_MS);
            job.job.borrow_mut().expire(self.core.now(), age_ms);
            self.hold_groups(job);
        }
        let has_waiting = match self.has_step_order(&jobs) {
            true => self.start_by_steps(&jobs),
            false => self.start_by_age(&jobs),
        };
        for (_, job) in &jobs {
            self.score_items(job);
            self.commit(job);
        }
        has_waiting
    }

    /// Starts items of urgent jobs first, then those that block a step, then those of older jobs.
    fn start_by_age(self: &Rc<Self>, jobs: &[(u8, Rc<OwnedJob>)]) -> bool {
        let mut starts: Vec<(u8, StartPriority, &Rc<OwnedJob>)> = Vec::new();
        for (urgency, job) in jobs {
            starts.extend(StartPriority::ALL.map(|rank| (*urgency, rank, job)));
        }
        starts.sort_by_key(|(urgency, rank, job)| (*urgency, *rank, job.spec.submitted_ms));
        let mut has_waiting = false;
        for (urgency, rank, job) in starts {
            has_waiting |= self.start_items(job, urgency, rank);
        }
        has_waiting
    }

    fn start_items(self: &Rc<Self>, job: &Rc<OwnedJob>, urgency: u8, rank: StartPriority) -> bool {
        if self.core.is_shutting_down() || job.is_lost.get() {
            return false;
        }
        let waiting = job.job.borrow().waiting(rank);
        if waiting.is_empty() {
            return false;
        }
        let Some(route) = route_of(&self.core, &job.spec) else {
            return true;
        };
        let mut has_waiting = false;
        for key in waiting {
            match self.try_start(job, key, &route, urgency) {
                StartOutcome::Started => {}
                StartOutcome::NoVersion => has_waiting = true,
                StartOutcome::NoPlace => return true,
            }
        }
        has_waiting
    }

    /// Starts an item if an engine is available for it.
    pub(super) fn try_start(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
        key: ItemKey,
        route: &RouteRecord,
        urgency: u8,
    ) -> StartOutcome {
        let mut run = self.assign_engine(job, key, route, urgency);
        if run.is_none() && self.restart_unservable(job, key, route) {
            run = self.assign_engine(job, key, route, urgency);
        }
        match run {
            Some(run) => {
                self.start(job, run);
                StartOutcome::Started
            }
            None if job.job.borrow().needs_version(key) => StartOutcome::NoVersion,
            None => StartOutcome::NoPlace,
        }
    }

    /// Discards the text of an item that no upstream of its software version can continue, so that it starts again
    /// at another one. Returns whether the text was discarded.
    fn restart_unservable(&self, job: &OwnedJob, key: ItemKey, route: &RouteRecord) -> bool {
        let state = job.job.borrow();
        let Some(software) = state.required_software(key).cloned() else {
            return false;
        };
        let item = state.item(key);
        let service = choose_service(route, &item.id);
        let settings = self.core.settings();
        let now = self.core.now();
        let limits = rate_limits(&self.core, &service);
        let (is_served, has_other) = {
            let query = engine_query(&state, key, &service, &settings.zone);
            let roster = self.core.roster.borrow();
            let other = roster.select_engine(now, &query, limits);
            (roster.has_version(&service, &software), other.is_some())
        };
        let should_restart = state.should_restart(now, key, is_served, has_other);
        drop(state);
        if should_restart {
            let mut state = job.job.borrow_mut();
            state.discard_text(key);
            log_event!(self.core.logger, TEXT_DISCARDED;
                "job" => &job.spec.id, "item" => &state.item(key).id, "software" => %software,
                "is_served" => is_served);
        }
        should_restart
    }

    /// Selects an engine for an item. Returns `None` if none is available.
    fn assign_engine(
        &self,
        job: &Rc<OwnedJob>,
        key: ItemKey,
        route: &RouteRecord,
        urgency: u8,
    ) -> Option<ItemRun> {
        let settings = self.core.settings();
        let state = job.job.borrow();
        let item = state.item(key);
        let service = choose_service(route, &item.id);
        let query = EngineQuery {
            connected: &|address| self.core.upstream_client.has_idle(address),
            software: state.required_software(key),
            ..engine_query(&state, key, &service, &settings.zone)
        };
        let text = text_demand(&self.core, &state, key);
        let guard = UpstreamGuard::acquire_engine(&self.core, &query, text)?;
        let mut roster = self.core.roster.borrow_mut();
        let forecast = RunForecast::new(&roster, &guard, &query, text);
        if let Some(part) = item.part {
            roster.get_mut(guard.key).record_prompt_part(part);
        }
        Some(ItemRun {
            key,
            guard,
            urgency,
            forecast,
        })
    }

    /// Returns the scheduling priority of a job's items, 0 (first) to 9 (last).
    pub(super) fn job_urgency(&self, job: &OwnedJob) -> u8 {
        let route = route_of(&self.core, &job.spec);
        let priority = route.map_or(u8::MAX, |route| route.terms.priority);
        urgency(&self.core, job.spec.customer.as_ref(), priority)
    }

    fn start(self: &Rc<Self>, job: &Rc<OwnedJob>, run: ItemRun) {
        let key = run.key;
        job.job.borrow_mut().record_start(key, run.guard.key);
        let (service, owned) = (Rc::clone(self), Rc::clone(job));
        let recover = move || {
            let now = service.core.now();
            let mut state = owned.job.borrow_mut();
            state.record_run_end(now, key, ItemOutcome::Interrupted);
        };
        let run = run_item(Rc::clone(self), Rc::clone(job), run);
        let logger = self.core.logger.clone();
        let task = tokio::task::spawn_local(run_guarded(logger, "item", run, recover));
        job.set_task(key, task.abort_handle());
    }
}

/// Returns the criteria for an item's engine, without exclusions or regard for open connections.
pub(super) fn engine_query<'a>(
    state: &'a RolloutJob,
    key: ItemKey,
    service: &'a ObjectName,
    zone: &'a ObjectName,
) -> EngineQuery<'a> {
    let item = state.item(key);
    EngineQuery {
        service,
        model: item.model.as_ref().unwrap_or(service),
        least_version: match item.model {
            Some(_) => state.start_version(key),
            None => WeightVersion(0),
        },
        software: None,
        part: item.part,
        excluded: &[],
        zone,
        last_resort: false,
        connected: &|_| false,
    }
}
