//! The order of items by the schedules of trainers and by the groups of their steps (`docs/design/steps.md`).

use {
    super::{
        owned::{OwnedJob, route_of},
        scheduler::StartOutcome,
        service::JobService,
    },
    crate::{
        events::{GROUP_YIELDED, PACE_UNREAD},
        keys::{self, JobState, PaceRecord},
        port::StoreWrite,
    },
    catkindeck::{ServiceError, log_event},
    catkindeck_policy::direct::{ItemKey, ItemRank, StepClock, TrainerId, choose_service},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often the stored pace of a trainer is read until the store answers.
const READ_ATTEMPTS: u32 = 5;

/// The pause between two of these attempts.
const READ_PAUSE: Duration = Duration::from_millis(1_000);

impl JobService {
    /// Returns whether items start in the order of steps: the settings allow it and a trainer waits.
    pub(super) fn has_step_order(&self, jobs: &[(u8, Rc<OwnedJob>)]) -> bool {
        let is_open = |job: &OwnedJob| job.record.borrow().state == JobState::Running;
        self.core.settings().scheduling.step_order.is_on()
            && jobs
                .iter()
                .any(|(_, job)| is_open(job) && TrainerId::of(&job.spec).is_some())
    }

    /// Starts items of urgent jobs first, then in the order of [`ItemRank`]. Returns whether items are waiting.
    pub(super) fn start_by_steps(self: &Rc<Self>, jobs: &[(u8, Rc<OwnedJob>)]) -> bool {
        self.measure_lateness(jobs);
        if self.core.is_shutting_down() {
            return false;
        }
        let mut waiting: Vec<(u8, ItemRank, usize, ItemKey)> = Vec::new();
        for (index, (urgency, job)) in jobs.iter().enumerate() {
            if job.is_lost.get() || !job.job.borrow().has_waiting() {
                continue;
            }
            let ranked = job.job.borrow().ranked(&self.step_clock(job));
            let ranked = ranked.into_iter();
            waiting.extend(ranked.map(|(rank, key)| (*urgency, rank, index, key)));
        }
        waiting.sort_unstable();
        let mut has_waiting = false;
        let mut is_blocked = vec![false; jobs.len()];
        for (urgency, rank, index, key) in waiting {
            let job = &jobs[index].1;
            if is_blocked[index] {
                self.record_yield(job, key, rank);
                continue;
            }
            let outcome = match route_of(&self.core, &job.spec) {
                Some(route) => self.try_start(job, key, &route, urgency),
                None => StartOutcome::NoPlace,
            };
            has_waiting |= outcome != StartOutcome::Started;
            is_blocked[index] = outcome == StartOutcome::NoPlace;
            if is_blocked[index] {
                self.record_yield(job, key, rank);
            }
        }
        has_waiting
    }

    /// Returns the times of a job that determine the order of its items.
    pub(super) fn step_clock(&self, job: &OwnedJob) -> StepClock {
        let trainer = TrainerId::of(&job.spec);
        let lateness_ms = trainer.as_ref().map_or(0, |trainer| {
            self.schedule.borrow().pace(trainer).lateness_ms
        });
        let mut clock = StepClock {
            unix_ms: self.core.unix_ms(),
            lateness_ms,
            ..StepClock::default()
        };
        let Some(route) = route_of(&self.core, &job.spec) else {
            return clock;
        };
        let options = route.terms.job.as_ref();
        clock.deadline_ms = options.map_or(0, |options| options.result_deadline_ms);
        let service = choose_service(&route, &job.spec.id);
        let gap_us = self.core.roster.borrow().typical_event_gap(&service);
        clock.event_gap_us = gap_us;
        for other in self.all() {
            let is_same = other.spec.route == job.spec.route
                && other.spec.customer == job.spec.customer
                && other.spec.model == job.spec.model;
            if is_same {
                let (tokens, events) = other.job.borrow().measured_text();
                clock.measured.0 += tokens;
                clock.measured.1 += events;
            }
        }
        clock
    }

    /// Records that a trainer asked for the step that a job is.
    pub(super) fn record_step(self: &Rc<Self>, job: &OwnedJob) {
        let Some(trainer) = TrainerId::of(&job.spec) else {
            return;
        };
        let mut schedule = self.schedule.borrow_mut();
        let is_new = schedule.record_step(&trainer, job.spec.submitted_ms);
        if is_new && self.core.settings().scheduling.step_order.is_on() {
            tokio::task::spawn_local(Rc::clone(self).adopt_pace(trainer));
        }
    }

    /// Records that a trainer ended a step, without storing it.
    pub(super) fn learn_step_end(&self, job: &OwnedJob) {
        if let Some(trainer) = TrainerId::of(&job.spec) {
            let unix_ms = self.core.unix_ms();
            self.schedule.borrow_mut().record_end(&trainer, unix_ms);
        }
    }

    /// Records that a trainer ended a step, and returns the write that stores its pace.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the pace cannot be encoded, which is a bug.
    pub(super) fn record_step_end(
        &self,
        job: &OwnedJob,
    ) -> Result<Option<StoreWrite>, ServiceError> {
        let Some(trainer) = TrainerId::of(&job.spec) else {
            return Ok(None);
        };
        let unix_ms = self.core.unix_ms();
        let pace = self.schedule.borrow_mut().record_end(&trainer, unix_ms);
        if !self.core.settings().scheduling.step_order.is_on() {
            return Ok(None);
        }
        Ok(Some(StoreWrite {
            key: keys::pace_key(&trainer),
            value: keys::encode(&PaceRecord { trainer, pace })?,
            lease: None,
        }))
    }

    /// Takes over the pace of a trainer that an earlier owner of its steps stored.
    async fn adopt_pace(self: Rc<Self>, trainer: TrainerId) {
        let key = keys::pace_key(&trainer);
        for _ in 0..READ_ATTEMPTS {
            let record = match self.core.ports.store.read(&key).await {
                Ok(response) => response.item.map(|item| keys::decode_item(&item)),
                Err(error) => Some(Err(error)),
            };
            let record: PaceRecord = match record {
                None => return,
                Some(Ok(record)) => record,
                Some(Err(error)) => {
                    log_event!(self.core.logger, PACE_UNREAD;
                        "route" => %trainer.route, "model" => %trainer.model, "detail" => error.detail);
                    sleep(READ_PAUSE).await;
                    continue;
                }
            };
            if record.trainer == trainer {
                let mut submitted: Vec<u64> = self
                    .all()
                    .iter()
                    .filter(|job| TrainerId::of(&job.spec).as_ref() == Some(&trainer))
                    .map(|job| job.spec.submitted_ms)
                    .collect();
                submitted.sort_unstable();
                let mut schedule = self.schedule.borrow_mut();
                schedule.adopt(&trainer, record.pace, &submitted);
            }
            return;
        }
    }

    /// Reports that a group waits because places go to groups that are needed more, once a group.
    fn record_yield(&self, job: &OwnedJob, key: ItemKey, rank: ItemRank) {
        if !rank.is_surplus || !job.job.borrow_mut().record_yield(key) {
            return;
        }
        self.core.metrics.load.groups_yielded.inc();
        log_event!(self.core.logger, GROUP_YIELDED;
            "job" => &job.spec.id, "group" => &job.job.borrow().item(key).group);
    }

    fn measure_lateness(&self, jobs: &[(u8, Rc<OwnedJob>)]) {
        let unix_ms = self.core.unix_ms();
        let schedule = self.schedule.borrow();
        let open = jobs
            .iter()
            .filter(|(_, job)| job.record.borrow().state == JobState::Running);
        let latenesses = open
            .filter_map(|(_, job)| TrainerId::of(&job.spec))
            .map(|trainer| schedule.pace(&trainer).lateness(unix_ms, true));
        let max_ms = latenesses.max().unwrap_or(0);
        let gauge = &self.core.metrics.load.trainer_lateness_ms;
        gauge.set(i64::try_from(max_ms).unwrap_or(i64::MAX));
    }
}
