//! Reports of the demand for each model to the leader, which places the weights.

use {
    super::service::JobService,
    crate::{
        core::GatewayCore,
        keys::{JobState, MemberRecord},
        peer::{PeerCall, PeerResponse},
    },
    catkindeck::{
        Moment, SortedMap,
        id::{IncarnationId, ObjectName},
        message,
    },
    catkindeck_policy::direct::{
        DemandSummary, ModelDemand, REPORT_TTL_MS, StepDemand, StepSummary, choose_service,
    },
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

/// The demand of the jobs of one owner with the steps of their trainers.
#[message]
pub struct StepReport {
    pub report: DemandReport,
    pub steps: Vec<StepDemand>,
}

/// The last report of this process.
struct SentReport {
    at: Moment,
    /// The leader that got it.
    leader: IncarnationId,
    demands: Vec<ModelDemand>,
    steps: Vec<StepDemand>,
}

impl SentReport {
    /// Returns whether another report is due.
    fn is_outdated(&self, now: Moment, leader: IncarnationId, new: &StepReport) -> bool {
        let age_ms = now.since(self.at);
        let (demands, steps) = (&new.report.demands, &new.steps);
        let differs = self.demands.len() != demands.len()
            || self.steps.len() != steps.len()
            || demands
                .iter()
                .zip(&self.demands)
                .any(|(new, old)| new.differs_from(old))
            || steps
                .iter()
                .zip(&self.steps)
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
            let mut report = self.step_report();
            for demand in &mut report.report.demands {
                keep_speed(&mut speeds, demand);
            }
            let now = self.core.now();
            let is_due = sent
                .as_ref()
                .map_or(!report.report.demands.is_empty(), |sent| {
                    sent.is_outdated(now, leader.incarnation, &report)
                });
            if !is_due {
                continue;
            }
            sent = Some(SentReport {
                at: now,
                leader: leader.incarnation,
                demands: report.report.demands.clone(),
                steps: report.steps.clone(),
            });
            if leader.incarnation == self.core.incarnation {
                self.core.record_step_demand(report);
                continue;
            }
            let core = Rc::clone(&self.core);
            tokio::task::spawn_local(async move { core.send_demand(&leader, report).await });
        }
    }

    fn step_report(&self) -> StepReport {
        let (demands, steps) = self.model_demands();
        StepReport {
            report: DemandReport {
                owner: self.core.incarnation,
                demands,
            },
            steps,
        }
    }

    fn model_demands(&self) -> (Vec<ModelDemand>, Vec<StepDemand>) {
        let unix_ms = self.core.unix_ms();
        let intent = self.core.intent.borrow();
        let roster = self.core.roster.borrow();
        let mut summary = DemandSummary::default();
        let mut steps = StepSummary::default();
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
            steps.add(&job.job.borrow(), is_open);
        }
        let load_ms = self.core.load_time.get().expected_ms();
        (summary.finish(), steps.finish(load_ms))
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
    /// Sends a report to the leader. The next report replaces a lost one; meanwhile the leader uses the last.
    async fn send_demand(self: &Rc<Self>, leader: &MemberRecord, report: StepReport) {
        let former = PeerCall::Demand(report.report.clone());
        let call = PeerCall::StepDemand(report);
        let response = self.call_peer(leader.peer, &call, Duration::ZERO).await;
        // A leader of an earlier build knows no steps.
        if let Ok(PeerResponse::Refused(_)) = response {
            let _ = self.call_peer(leader.peer, &former, Duration::ZERO).await;
        }
    }

    /// Records the report of an owner, for the case that this process is the leader.
    fn record_step_demand(&self, report: StepReport) {
        let (now, owner) = (self.now(), report.report.owner);
        let mut board = self.demand.borrow_mut();
        board.record(now, owner, report.report.demands);
        board.record_steps(now, owner, report.steps);
    }

    /// Answers the report of an owner of an earlier build.
    pub(crate) fn answer_demand(&self, report: DemandReport) -> PeerResponse {
        let mut board = self.demand.borrow_mut();
        board.record(self.now(), report.owner, report.demands);
        PeerResponse::Done
    }

    /// Answers the report of another process.
    pub(crate) fn answer_step_demand(&self, report: StepReport) -> PeerResponse {
        self.record_step_demand(report);
        PeerResponse::Done
    }
}
