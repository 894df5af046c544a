//! Fakes of the agents, the weight publisher and the observer of a run.

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::RunRecord,
        id::{ObjectName, RequestId},
        message::{SampleId, SampleRecord, StepPlan},
        token::{VersionLabels, WeightVersion},
    },
    catkindeck_control::run::ports::{RunObserver, SampleRequest, SampleRunner, WeightPublisher},
    std::sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// Generates a text for each request and retains it until it is released.
#[derive(Default)]
pub struct TestAgents {
    pub retained: Mutex<Vec<SampleRecord>>,
    pub version: AtomicU64,
    pub generated: AtomicU64,
    pub cancelled: AtomicU64,
    /// If this is not zero, every n-th request fails.
    pub fail_every: AtomicU64,
}

impl SampleRunner for TestAgents {
    fn generate(&self, request: &SampleRequest) -> Result<SampleRecord, ServiceError> {
        let serial = self.generated.fetch_add(1, Ordering::SeqCst) + 1;
        let fail_every = self.fail_every.load(Ordering::SeqCst);
        if fail_every > 0 && serial.is_multiple_of(fail_every) {
            return Err(ServiceError::unknown(
                ErrorKind::UpstreamFailed,
                "injected by the test",
            ));
        }
        let mut labels = VersionLabels::default();
        labels.push(3, Some(WeightVersion(self.version.load(Ordering::SeqCst))));
        let text = format!("{} {serial}", request.prompt);
        let record = SampleRecord {
            id: request.id.clone(),
            text,
            labels,
        };
        self.retained.lock().unwrap().push(record.clone());
        Ok(record)
    }

    fn cancel(&self, _request: RequestId) {
        self.cancelled.fetch_add(1, Ordering::SeqCst);
    }

    fn collect(&self, _run: &RunRecord, step: u64) -> Vec<SampleRecord> {
        let retained = self.retained.lock().unwrap();
        retained
            .iter()
            .filter(|record| record.id.step == step)
            .cloned()
            .collect()
    }

    fn release(&self, _run: &RunRecord, samples: &[SampleId]) {
        self.retained
            .lock()
            .unwrap()
            .retain(|record| !samples.contains(&record.id));
    }
}

#[derive(Default)]
pub struct TestPublisher {
    pub published: Mutex<Vec<(WeightVersion, u64)>>,
}

impl WeightPublisher for TestPublisher {
    fn publish(&self, _run: &RunRecord, version: WeightVersion, fence: u64) {
        self.published.lock().unwrap().push((version, fence));
    }
}

pub fn run() -> RunRecord {
    RunRecord {
        name: name("tagging"),
        customer: name("listkovnica"),
        service: name("serving"),
        staleness_bound: 1,
        step_deadline_ms: 600_000,
    }
}

pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

pub fn plan(step: u64, groups: usize) -> StepPlan {
    let prompts = (0..groups).map(|group| format!("prompt {group}")).collect();
    StepPlan {
        step,
        prompts,
        group_size: 8,
        max_tokens: 16,
    }
}

/// Counts the events that an owner reports to its observer.
#[derive(Default)]
pub struct TestObserver {
    pub delivered: AtomicU64,
    pub stale: AtomicU64,
    pub on_time_count: AtomicU64,
    pub late_count: AtomicU64,
}

impl RunObserver for TestObserver {
    fn on_delivered(&self, _run: &ObjectName, samples: usize) {
        self.delivered.fetch_add(samples as u64, Ordering::SeqCst);
    }

    fn on_stale_discarded(&self, _run: &ObjectName) {
        self.stale.fetch_add(1, Ordering::SeqCst);
    }

    fn on_step_completed(&self, _run: &ObjectName, on_time: bool) {
        let count = if on_time {
            &self.on_time_count
        } else {
            &self.late_count
        };
        count.fetch_add(1, Ordering::SeqCst);
    }
}
