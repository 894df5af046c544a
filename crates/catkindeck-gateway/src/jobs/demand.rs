//! Reports of the demand for each model to the leader, which places the weights.

use {
    super::service::JobService,
    crate::{
        core::GatewayCore,
        keys::JobState,
        peer::{PeerCall, PeerResponse},
    },
    catkindeck::{
        Moment, SortedMap,
        id::{IncarnationId, ObjectName},
        message,
    },
    catkindeck_policy::direct::{DemandSummary, ModelDemand, REPORT_TTL_MS, choose_service},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often the owner looks at its jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

/// The time after which an unchanged report is repeated, in milliseconds. The leader misses a single report without
/// an effect.
const REPEAT_INTERVAL_MS: u64 = REPORT_TTL_MS / 2 - REPORT_INTERVAL_MS;

/// How long a step counts as an example of the next one, in milliseconds.
const STEP_MEMORY_MS: u64 = 30_000;

/// The demand of the jobs of one owner.
#[message]
pub struct DemandReport {
    /// The owner's incarnation.
    pub owner: IncarnationId,
    pub demands: Vec<ModelDemand>,
}

/// The last report of this process.
struct SentReport {
    at: Moment,
    /// The leader that got it.
    leader: IncarnationId,
    demands: Vec<ModelDemand>,
}

impl SentReport {
    /// Returns whether another report is due.
    fn is_outdated(&self, now: Moment, leader: IncarnationId, demands: &[ModelDemand]) -> bool {
        let age_ms = now.since(self.at);
        let differs = self.demands.len() != demands.len()
            || demands
                .iter()
                .zip(&self.demands)
                .any(|(new, old)| new.differs_from(old));
        self.leader != leader
            || age_ms >= REPEAT_INTERVAL_MS && !demands.is_empty()
            || age_ms >= REPORT_INTERVAL_MS && differs
    }
}

impl JobService {
    /// Reports the demand of this process's jobs for the life of the process.
    pub async fn report_demand(self: Rc<Self>) {
        let mut sent: Option<SentReport> = None;
        let mut speeds: SortedMap<ObjectName, u64> = SortedMap::new();
        loop {
            sleep(CHECK_INTERVAL).await;
            if !self.core.settings().scheduling.weight_demand.is_on() {
                continue;
            }
            let leader = self.core.leader.borrow().clone();
            let Some(leader) = leader else { continue };
            let mut demands = self.model_demands();
            for demand in &mut demands {
                keep_speed(&mut speeds, demand);
            }
            let now = self.core.now();
            let is_due = sent.as_ref().map_or(!demands.is_empty(), |sent| {
                sent.is_outdated(now, leader.incarnation, &demands)
            });
            if !is_due {
                continue;
            }
            let report = DemandReport {
                owner: self.core.incarnation,
                demands: demands.clone(),
            };
            sent = Some(SentReport {
                at: now,
                leader: leader.incarnation,
                demands,
            });
            if leader.incarnation == self.core.incarnation {
                self.core.record_demand(report);
                continue;
            }
            // The next report replaces a lost one; meanwhile the leader uses the last.
            let core = Rc::clone(&self.core);
            tokio::task::spawn_local(async move {
                let call = PeerCall::Demand(report);
                let _ = core.call_peer(leader.peer, &call, Duration::ZERO).await;
            });
        }
    }

    fn model_demands(&self) -> Vec<ModelDemand> {
        let unix_ms = self.core.unix_ms();
        let intent = self.core.intent.borrow();
        let roster = self.core.roster.borrow();
        let mut summary = DemandSummary::default();
        for job in self.all() {
            let is_open = job.record.borrow().state == JobState::Running;
            let is_recent = unix_ms.saturating_sub(job.spec.submitted_ms) < STEP_MEMORY_MS;
            if job.spec.model.is_none() || !is_open && !is_recent {
                continue;
            }
            let route = intent.routes().find_by_name(&job.spec.route);
            let event_gap_us = route.map_or(0, |route| {
                roster.typical_event_gap(&choose_service(route, &job.spec.id))
            });
            summary.add(&job.job.borrow(), is_open, event_gap_us);
        }
        summary.finish()
    }
}

/// Fills in the last known speed if no complete text tells it now. The texts of listed results are not kept.
fn keep_speed(speeds: &mut SortedMap<ObjectName, u64>, demand: &mut ModelDemand) {
    let speed = speeds.get_or_insert_with(demand.model.clone(), || 0);
    match demand.token_gap_us {
        0 => demand.token_gap_us = *speed,
        measured => *speed = measured,
    }
}

impl GatewayCore {
    /// Records the report of an owner, for the case that this process is the leader.
    pub fn record_demand(&self, report: DemandReport) {
        let mut board = self.demand.borrow_mut();
        board.record(self.now(), report.owner, report.demands);
    }

    /// Answers the report of another process.
    pub(crate) fn answer_demand(&self, report: DemandReport) -> PeerResponse {
        self.record_demand(report);
        PeerResponse::Done
    }
}
