//! The open steps of trainers, as shown to operators.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{capacity::HostReport, keys::JobState},
    catkindeck::{id::ObjectName, message},
    catkindeck_policy::direct::{PlaceCounts, StepCounts, TrainerId},
    std::rc::Rc,
};

/// The open jobs of one process by customer and trainer.
#[message]
pub struct QueueReport {
    pub host: ObjectName,
    /// The places of the process where owners share the engines.
    pub places: Option<PlaceQueue>,
    /// What the host can carry and carries now; `None` while `entry_capacity` is off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity: Option<HostReport>,
    pub trainers: Vec<TrainerQueue>,
}

/// The places of one process at all engines.
#[message]
pub struct PlaceQueue {
    /// The hosts that share the engines.
    pub owners: Vec<ObjectName>,
    #[serde(flatten)]
    pub counts: PlaceCounts,
}

/// The open steps of one trainer, or a job without a trainer.
#[message]
pub struct TrainerQueue {
    pub customer: Option<ObjectName>,
    pub route: ObjectName,
    /// The model that is trained; `None` for a job without a trainer.
    pub model: Option<ObjectName>,
    /// The host that would own the trainer's next step.
    pub next_owner: ObjectName,
    /// The scheduling priority, 0 (first) to 9 (last).
    pub priority: u8,
    /// How late the trainer is against the interval at which it asks for steps.
    pub lateness_ms: u64,
    /// The interval between steps that it asks for on schedule; zero if unknown.
    pub interval_ms: u64,
    pub steps: Vec<StepQueue>,
}

/// One open step.
#[message]
pub struct StepQueue {
    pub job: String,
    pub age_ms: u64,
    /// The time until its results are due; negative if it has passed, `None` without a limit.
    pub due_in_ms: Option<i64>,
    /// The time until the texts for which the trainer waits would be complete if all of them ran now; `None` if
    /// nothing was measured.
    pub expected_ms: Option<u64>,
    #[serde(flatten)]
    pub counts: StepCounts,
}

impl JobService {
    /// Returns the open jobs of this process, ordered by customer and trainer and then by submission.
    pub fn queue(&self) -> QueueReport {
        let mut jobs = self.all();
        jobs.retain(|job| job.record.borrow().state == JobState::Running);
        jobs.sort_by_key(|job| job.spec.submitted_ms);
        let mut trainers: Vec<TrainerQueue> = Vec::new();
        for job in jobs {
            let step = self.step_queue(&job);
            let is_same = |queue: &TrainerQueue| {
                TrainerId::of(&job.spec).is_some_and(|trainer| {
                    queue.customer == trainer.customer
                        && queue.route == trainer.route
                        && queue.model.as_ref() == Some(&trainer.model)
                })
            };
            match trainers.iter_mut().find(|queue| is_same(queue)) {
                Some(queue) => queue.steps.push(step),
                None => trainers.push(self.trainer_queue(&job, step)),
            }
        }
        trainers.sort_by(|one, other| {
            let name = |queue: &TrainerQueue| {
                (
                    queue.customer.clone(),
                    queue.route.clone(),
                    queue.model.clone(),
                )
            };
            name(one).cmp(&name(other))
        });
        QueueReport {
            host: self.core.settings().host.clone(),
            places: self
                .place_counts()
                .map(|(counts, owners)| PlaceQueue { owners, counts }),
            capacity: self.core.host_report(),
            trainers,
        }
    }

    fn trainer_queue(&self, job: &OwnedJob, step: StepQueue) -> TrainerQueue {
        let trainer = TrainerId::of(&job.spec);
        let pace = trainer.as_ref().map_or_else(Default::default, |trainer| {
            self.schedule.borrow().pace(trainer)
        });
        TrainerQueue {
            customer: job.spec.customer.clone(),
            route: job.spec.route.clone(),
            model: trainer.map(|trainer| trainer.model),
            next_owner: self.next_owner(&job.spec),
            priority: self.job_urgency(job),
            lateness_ms: pace.lateness(self.core.unix_ms(), true),
            interval_ms: pace.interval_ms,
            steps: vec![step],
        }
    }

    fn step_queue(&self, job: &Rc<OwnedJob>) -> StepQueue {
        let clock = self.step_clock(job);
        let age_ms = clock.unix_ms.saturating_sub(job.spec.submitted_ms);
        let signed = |time_ms: u64| i64::try_from(time_ms).unwrap_or(i64::MAX);
        let due_in_ms = signed(clock.deadline_ms).saturating_sub(signed(age_ms));
        let state = job.job.borrow();
        StepQueue {
            job: job.spec.id.clone(),
            age_ms,
            due_in_ms: (clock.deadline_ms > 0).then_some(due_in_ms),
            expected_ms: state.expected_ms(&clock),
            counts: state.step_counts(&clock),
        }
    }
}
