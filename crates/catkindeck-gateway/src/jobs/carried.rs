//! Texts of groups that come again in a later step: which start late, which go on after their step ended, and
//! what becomes of them (`docs/design/carried-texts.md`).

use {
    super::{
        owned::{OwnedJob, route_of},
        service::JobService,
    },
    crate::events::{GROUP_HELD, GROUPS_RETURNED, TEXTS_KEPT, TEXTS_RELEASED},
    catkindeck::log_event,
    catkindeck_policy::direct::{
        ItemKey, ItemProgress, LaterStep, ResultState, StepClock, TrainerId,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// How often it is checked that texts of an ended step may go on.
const KEEP_CHECK: Duration = Duration::from_millis(100);

/// What became of the texts of groups that came again.
#[derive(Default)]
struct ReturnedTexts {
    items: u64,
    /// The texts that were still growing.
    running: u64,
    adopted: u64,
    adopted_events: u64,
    /// The texts that the later step does not allow.
    dropped: u64,
    dropped_events: u64,
}

impl JobService {
    /// Records that a trainer asked for the step that a job is.
    pub(super) fn record_carry_step(&self, job: &OwnedJob) {
        if let Some(trainer) = self.carrying_trainer(job) {
            let now = self.core.now();
            let mut carry = self.carry.borrow_mut();
            let trend = carry.get_mut(&trainer);
            trend.record_step(now, job.spec.submitted_ms);
        }
    }

    /// Records the length of a complete text.
    pub(super) fn record_carry_text(&self, job: &OwnedJob, key: ItemKey) {
        if let Some(trainer) = self.carrying_trainer(job) {
            let state = job.job.borrow();
            let events = state.progress(key).last_event.unwrap_or(0);
            let expected_tokens = state.item(key).expected_tokens;
            let mut carry = self.carry.borrow_mut();
            carry.get_mut(&trainer).record_text(expected_tokens, events);
        }
    }

    /// Holds the groups of a job whose texts should start at a version that a later step allows.
    pub(super) fn hold_groups(&self, job: &OwnedJob) {
        let Some(trainer) = self.carrying_trainer(job) else {
            // The switch may have been turned off while groups were held.
            job.job
                .borrow_mut()
                .hold_groups(&StepClock::default(), None);
            return;
        };
        let later = self.later_step(job, &trainer);
        let clock = match later {
            Some(_) => self.step_clock(job),
            None => StepClock::default(),
        };
        let held = job.job.borrow_mut().hold_groups(&clock, later);
        for key in held {
            self.core.metrics.carried.groups_held.inc();
            let state = job.job.borrow();
            log_event!(self.core.logger, GROUP_HELD;
                "job" => &job.spec.id, "group" => &state.item(key).group,
                "version" => state.start_version(key).0,
                "hint_error_percent" => later.map(|later| later.hint_error_percent));
        }
    }

    /// Stops the runs of a job that its trainer ended, except those whose texts its next step will probably ask
    /// for again and can use.
    pub(super) fn stop_ended(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        let Some(trainer) = self.carrying_trainer(job) else {
            job.stop();
            return;
        };
        let now = self.core.now();
        let mut carry = self.carry.borrow_mut();
        let trend = carry.get_mut(&trainer);
        trend.record_end(now);
        let keep_ms = trend.keep_ms();
        let later = trend.later_version(job.spec.least_version);
        drop(carry);
        let later = later.filter(|_| self.may_keep(job));
        let kept = later.map_or_else(Vec::new, |later| job.job.borrow().usable_runs(later));
        job.stop_except(&kept);
        if kept.is_empty() {
            return;
        }
        self.core
            .metrics
            .carried
            .texts_kept
            .inc_by(kept.len() as u64);
        log_event!(self.core.logger, TEXTS_KEPT;
            "job" => &job.spec.id, "texts" => kept.len(), "for_ms" => keep_ms,
            "version" => later.map(|version| version.0));
        let keep = Duration::from_millis(keep_ms);
        tokio::task::spawn_local(Rc::clone(self).release_texts(Rc::clone(job), keep));
    }

    /// Reuses the texts that earlier jobs of the same customer and route have for the same items.
    ///
    /// Trainers submit the items of incomplete groups again with the same identifiers. A run of such an item that
    /// still goes on is stopped first, so that the item goes on after its last event and does not run twice.
    pub(super) fn reuse_texts(&self, job: &Rc<OwnedJob>) {
        let now = self.core.now();
        let mut earlier: Vec<Rc<OwnedJob>> = self
            .all()
            .into_iter()
            .filter(|other| other.spec.customer == job.spec.customer)
            .filter(|other| other.spec.id != job.spec.id && other.spec.route == job.spec.route)
            .collect();
        earlier.sort_by_key(|other| other.spec.submitted_ms);
        let mut returned = ReturnedTexts::default();
        for (index, item) in job.spec.items.iter().enumerate() {
            let key = ItemKey(u32::try_from(index).unwrap_or(u32::MAX));
            let holders = earlier.iter().rev();
            let mut holders = holders.filter(|other| other.position_of(&item.id).is_some());
            let Some(latest) = holders.next() else {
                continue;
            };
            job.job.borrow_mut().prioritize_group(key);
            returned.items += 1;
            self.record_return(latest, job);
            let holders = std::iter::once(latest).chain(holders);
            let mut found = None;
            for other in holders {
                returned.running += u64::from(stop_ended_run(other, &item.id));
                found = found.or_else(|| reusable_progress(other, &item.id));
            }
            let Some(progress) = found else { continue };
            let events = progress.last_event.unwrap_or(0);
            match job.job.borrow_mut().adopt(now, key, progress) {
                true => {
                    returned.adopted += 1;
                    returned.adopted_events += events;
                }
                false => {
                    returned.dropped += 1;
                    returned.dropped_events += events;
                }
            }
        }
        self.report_returned(job, &returned);
    }

    /// Returns the trainer of a job if the settings allow the use of texts across its steps.
    pub(super) fn carrying_trainer(&self, job: &OwnedJob) -> Option<TrainerId> {
        let is_on = self.core.settings().scheduling.carried_texts.is_on();
        TrainerId::of(&job.spec).filter(|_| is_on)
    }

    fn later_step(&self, job: &OwnedJob, trainer: &TrainerId) -> Option<LaterStep> {
        let carry = self.carry.borrow();
        let trend = carry.get(trainer)?;
        Some(LaterStep {
            version: trend.later_version(job.spec.least_version)?,
            hint_error_percent: trend.hint_error_percent()?,
            next_step_ms: trend.next_step_ms(job.spec.submitted_ms)?,
        })
    }

    /// Returns whether texts of an ended job may go on here.
    fn may_keep(&self, job: &OwnedJob) -> bool {
        !job.is_lost.get()
            && !self.core.is_shutting_down()
            && route_of(&self.core, &job.spec).is_some()
    }

    /// Stops the kept texts of a job once nobody has asked for them in time.
    async fn release_texts(self: Rc<Self>, job: Rc<OwnedJob>, keep: Duration) {
        let until = Instant::now() + keep;
        while job.has_runs() && Instant::now() < until && self.may_keep(&job) {
            sleep(KEEP_CHECK.min(until.duration_since(Instant::now()))).await;
        }
        let stopped = job.stop();
        if stopped > 0 {
            log_event!(self.core.logger, TEXTS_RELEASED;
                "job" => &job.spec.id, "texts" => stopped);
        }
    }

    fn record_return(&self, earlier: &OwnedJob, later: &OwnedJob) {
        if let Some(trainer) = self.carrying_trainer(later) {
            let (from, to) = (earlier.spec.least_version, later.spec.least_version);
            let mut carry = self.carry.borrow_mut();
            carry.get_mut(&trainer).record_return(from, to);
        }
    }

    fn report_returned(&self, job: &OwnedJob, returned: &ReturnedTexts) {
        if returned.items == 0 {
            return;
        }
        let counter = &self.core.metrics.carried.texts_returned;
        for (outcome, count) in [
            ("adopted", returned.adopted),
            ("dropped", returned.dropped),
            (
                "absent",
                returned.items - returned.adopted - returned.dropped,
            ),
        ] {
            counter.with_label_values(&[outcome]).inc_by(count);
        }
        log_event!(self.core.logger, GROUPS_RETURNED;
            "job" => &job.spec.id, "items" => returned.items, "running" => returned.running,
            "adopted" => returned.adopted, "adopted_events" => returned.adopted_events,
            "dropped" => returned.dropped, "dropped_events" => returned.dropped_events,
            "least_version" => job.spec.least_version.0);
    }
}

/// Stops the run of an item that went on after its job ended, and returns whether there was one.
fn stop_ended_run(job: &OwnedJob, id: &str) -> bool {
    let Some(index) = job.position_of(id).filter(|_| job.job.borrow().is_ended()) else {
        return false;
    };
    job.stop_run(ItemKey(u32::try_from(index).unwrap_or(u32::MAX)))
}

/// Returns the progress of an item that another job can reuse.
fn reusable_progress(job: &OwnedJob, id: &str) -> Option<ItemProgress> {
    let index = job.position_of(id)?;
    let listed = job.results.borrow();
    if let Some(result) = listed.iter().find(|result| result.id == id) {
        return (result.state == ResultState::Completed).then(|| ItemProgress {
            text: result.text.clone(),
            last_event: Some(0),
            versions: result.versions.clone(),
            complete: true,
            score: result.score.clone(),
            ..ItemProgress::default()
        });
    }
    let state = job.job.borrow();
    let progress = state.progress(ItemKey(u32::try_from(index).unwrap_or(u32::MAX)));
    let has_text = progress.last_event.is_some();
    has_text.then(|| ItemProgress {
        // Failures count only against the attempts of the job in which they occurred.
        failures: 0,
        rejections: 0,
        ..progress.clone()
    })
}
