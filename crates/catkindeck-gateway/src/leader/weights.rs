//! Rolls out the weight versions that trainers request to the upstreams.

use {
    super::election::LeaderElection,
    crate::{
        events::{SHARES_CHANGED, SPLIT_CHANGED, WEIGHT_LOAD_FAILED, WEIGHT_LOAD_ORDERED},
        peer::{PeerCall, WeightLoadNotice},
        port::{OrderOutcome, WeightLoadMode, WeightOrder},
    },
    catkindeck::{Moment, SortedMap, log_event},
    catkindeck_policy::direct::{
        MIN_LOAD_MS, ModelPlacement, ShareBalance, ShareChange, SplitBalance, StepPlacement,
        TargetVersion, UpstreamKey, UpstreamTable, WeightLoadPlanner, WeightLoadTask,
        count_versions, current_engines, model_pools, plan_pause_ms,
    },
    slog::Logger,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long an upstream gets no further order while the outcome of an order is unknown, in milliseconds.
const UNKNOWN_OUTCOME_PAUSE_MS: u64 = 1_500;

/// The timeout of an order or of a request for a report.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a notice of a load waits for others. A request that reaches the engine meanwhile is refused without
/// having run.
const NOTICE_DELAY: Duration = Duration::from_millis(10);

/// One in this many engines may load weights at a time, so that enough engines keep serving and the loading
/// engines do not slow each other down.
const CONCURRENT_LOAD_DIVISOR: usize = 6;

/// Orders upstreams to load weights while this process is the leader.
pub struct WeightRollout {
    election: Rc<LeaderElection>,
    /// The number of orders that each upstream has accepted, as far as known.
    accepted: RefCell<SortedMap<UpstreamKey, u64>>,
    /// The loads of which the other processes are not notified yet.
    notices: RefCell<Vec<WeightLoadNotice>>,
    /// The shares of the models, as far as this process has planned them.
    balance: RefCell<ShareBalance>,
    /// The split of each model's upstreams between versions, likewise.
    split: RefCell<SplitBalance>,
}

impl WeightRollout {
    pub fn new(election: Rc<LeaderElection>) -> Rc<Self> {
        Rc::new(Self {
            election,
            accepted: RefCell::new(SortedMap::new()),
            notices: RefCell::default(),
            balance: RefCell::default(),
            split: RefCell::default(),
        })
    }

    /// Orders upstreams to load weights until the task is aborted.
    pub async fn run(self: Rc<Self>) {
        loop {
            for task in self.plan() {
                tokio::task::spawn_local(Rc::clone(&self).order(task));
            }
            sleep(self.pause()).await;
        }
    }

    /// Returns the time until the next round.
    fn pause(&self) -> Duration {
        let core = &self.election.core;
        let engines = count_engines(&core.roster.borrow());
        let targets = core.intent.borrow().target_versions().len();
        Duration::from_millis(plan_pause_ms(engines * targets))
    }

    fn plan(&self) -> Vec<WeightLoadTask> {
        let core = &self.election.core;
        let now = core.now();
        let view = core.intent.borrow();
        let roster = core.roster.borrow();
        let engines = count_engines(&roster);
        let planner = WeightLoadPlanner {
            max_concurrent: engines.div_ceil(CONCURRENT_LOAD_DIVISOR).max(1),
        };
        let targets = view.target_versions();
        let mut tasks = match core.settings().scheduling.weight_demand.is_on() {
            true => {
                let (placements, splits) = self.place(now, &roster, targets);
                planner
                    .plan_splits(now, &roster, targets, &placements, &splits)
                    .tasks
            }
            false => planner.plan(now, &roster, targets),
        };
        drop(roster);
        tasks.retain(|task| core.take_order_permit(task.upstream));
        let mut roster = core.roster.borrow_mut();
        for task in &tasks {
            roster.get_mut(task.upstream).record_weight_load(
                now,
                &task.model,
                now + UNKNOWN_OUTCOME_PAUSE_MS,
            );
        }
        tasks
    }

    /// Returns how many upstreams should serve each target's model, and which versions they should have, by the demand
    /// that owners reported.
    fn place(
        &self,
        now: Moment,
        roster: &UpstreamTable,
        targets: &[TargetVersion],
    ) -> (Vec<ModelPlacement>, Vec<StepPlacement>) {
        let core = &self.election.core;
        let pools = model_pools(roster, targets);
        let board = core.demand.borrow();
        let demands = targets
            .iter()
            .map(|target| board.demand(now, &target.model));
        let demands: Vec<_> = demands.collect();
        let steps = targets.iter().map(|target| board.steps(now, &target.model));
        let steps: Vec<_> = steps.collect();
        let mut balance = self.balance.borrow_mut();
        for change in balance.update(now, &pools, &demands) {
            log_change(&core.logger, &change);
        }
        let shares = balance.sizes(&pools);
        let mut split = self.split.borrow_mut();
        for change in split.update(now, targets, &steps, &demands) {
            log_event!(core.logger, SPLIT_CHANGED;
                "model" => %change.model, "items" => change.items, "lag" => change.lag);
        }
        let splits = split.splits(targets, &pools, &shares);
        for ((target, share), split) in targets.iter().zip(&shares).zip(&splits) {
            let model = target.model.as_str();
            let metrics = &core.metrics.placement;
            metrics.record(model, *share, current_engines(roster, target));
            let counts = count_versions(now, roster, target, split.oldest_allowed);
            metrics.record_split(model, split, &counts);
        }
        let placements = shares.into_iter().zip(demands);
        let placements = placements.map(|(share, demand)| ModelPlacement { share, demand });
        let splits = splits.into_iter().zip(steps);
        let splits = splits.map(|(split, steps)| StepPlacement { split, steps });
        (placements.collect(), splits.collect())
    }

    async fn order(self: Rc<Self>, task: WeightLoadTask) {
        let core = &self.election.core;
        let Some(accepted) = self.accepted_orders(task.upstream).await else {
            return;
        };
        let Ok(proof) = self.election.proof() else {
            return;
        };
        let (upstream, address) = {
            let roster = core.roster.borrow();
            let record = &roster.get(task.upstream).record;
            (record.id.clone(), record.address)
        };
        let order = WeightOrder {
            upstream,
            model: task.model.clone(),
            version: task.version,
            mode: self.mode(&task),
            holder: proof.holder,
            fence: proof.fence,
            accepted: Some(accepted),
        };
        let request = core.ports.upstreams.encode_order(&order);
        // The connection may have to be opened first, and the lease may end meanwhile.
        let is_leaving = {
            let (core, key) = (Rc::clone(core), task.upstream);
            move || core.roster.borrow().is_leaving(key)
        };
        let is_needed = {
            let is_leaving = is_leaving.clone();
            move || !is_leaving()
        };
        let (transit, guard) = self.election.guard_order(order.fence, is_needed);
        let response = core
            .order_client
            .call_guarded(address, request, ORDER_TIMEOUT, &guard);
        let sent = core.now();
        let response = response.await;
        if response
            .as_ref()
            .err()
            .is_none_or(|fault| !fault.maybe_received)
        {
            self.election.close_order(transit);
        }
        let outcome = match response {
            Ok(response) => {
                core.observe_order_head(task.upstream, sent, response.status, &response.headers);
                core.ports.upstreams.decode_order(response.status)
            }
            // An order to an upstream that leaves is not needed any more.
            Err(fault) if !fault.maybe_received && is_leaving() => return,
            Err(fault) => {
                // The order may still be executed seconds later, so the number of accepted orders is read again
                // before the next one.
                self.accepted.borrow_mut().remove(&task.upstream);
                log_event!(core.logger, WEIGHT_LOAD_FAILED;
                    "upstream" => %order.upstream, "model" => %order.model,
                    "version" => order.version.0, "fence" => order.fence, "detail" => fault.detail);
                return;
            }
        };
        self.handle_outcome(&task, &order, outcome);
    }

    fn handle_outcome(
        self: &Rc<Self>,
        task: &WeightLoadTask,
        order: &WeightOrder,
        outcome: OrderOutcome,
    ) {
        let core = &self.election.core;
        match outcome {
            OrderOutcome::Accepted => {
                let next = order.accepted.unwrap_or(0) + 1;
                self.accepted.borrow_mut().insert(task.upstream, next);
                log_event!(core.logger, WEIGHT_LOAD_ORDERED;
                    "upstream" => %order.upstream, "model" => %order.model,
                    "version" => order.version.0, "fence" => order.fence, "accepted" => next);
                self.notify_peers(WeightLoadNotice::for_order(order, MIN_LOAD_MS));
            }
            OrderOutcome::Holds => {
                let mut roster = core.roster.borrow_mut();
                let state = roster.get_mut(task.upstream);
                state.observe_version(&task.model, task.version);
            }
            OrderOutcome::Conflict
            | OrderOutcome::Fenced
            | OrderOutcome::Misdirected
            | OrderOutcome::Refused => {
                self.accepted.borrow_mut().remove(&task.upstream);
                log_event!(core.logger, WEIGHT_LOAD_FAILED;
                    "upstream" => %order.upstream, "model" => %order.model,
                    "version" => order.version.0, "fence" => order.fence,
                    "detail" => format!("{outcome:?}"));
            }
        }
    }

    /// Returns the number of orders that an upstream has accepted, and requests it from the upstream if it is
    /// unknown. Returns `None` if the upstream is busy with an order or does not answer.
    async fn accepted_orders(&self, key: UpstreamKey) -> Option<u64> {
        if let Some(accepted) = self.accepted.borrow().get(&key) {
            return Some(*accepted);
        }
        let core = &self.election.core;
        core.charge_limit(key);
        let (id, address) = {
            let roster = core.roster.borrow();
            let record = &roster.get(key).record;
            (record.id.clone(), record.address)
        };
        let request = core.ports.upstreams.encode_report(&id);
        let sent = core.now();
        let permit = || !core.roster.borrow().is_leaving(key);
        let response = core
            .order_client
            .call_if(address, request, ORDER_TIMEOUT, &permit)
            .await;
        // The report is requested again for the next order.
        let response = response.ok()?;
        core.observe_order_head(key, sent, response.status, &response.headers);
        if !response.status.is_success() {
            return None;
        }
        let report = core.ports.upstreams.decode_report(&response.body).ok()?;
        let mut roster = core.roster.borrow_mut();
        for weights in &report.weights {
            roster
                .get_mut(key)
                .observe_version(&weights.model, weights.version);
        }
        if report.busy {
            return None;
        }
        self.accepted.borrow_mut().insert(key, report.accepted);
        Some(report.accepted)
    }

    /// Notifies all processes that an upstream is loading weights, so that they send it no requests meanwhile.
    ///
    /// Notices of loads that begin together are sent together: with thousands of engines and hundreds of processes,
    /// a call for each pair would take all connections of the leader.
    fn notify_peers(self: &Rc<Self>, notice: WeightLoadNotice) {
        self.election.core.record_weight_load(&notice);
        let is_first = self.notices.borrow().is_empty();
        self.notices.borrow_mut().push(notice);
        if is_first {
            let rollout = Rc::clone(self);
            tokio::task::spawn_local(async move {
                sleep(NOTICE_DELAY).await;
                rollout.send_notices();
            });
        }
    }

    fn send_notices(&self) {
        let core = &self.election.core;
        let notices = self.notices.take();
        for member in core.members.borrow().iter() {
            if member.incarnation == core.incarnation {
                continue;
            }
            let core = Rc::clone(core);
            let address = member.peer;
            let call = PeerCall::WeightLoads(notices.clone());
            // A process that misses the notices learns the versions from the list of upstreams.
            tokio::task::spawn_local(async move {
                let _ = core.call_peer(address, &call, Duration::ZERO).await;
            });
        }
    }

    /// Returns how weights are loaded. If a route of the service requires texts of a single version, running
    /// texts are completed first; otherwise they continue with the new weights.
    fn mode(&self, task: &WeightLoadTask) -> WeightLoadMode {
        let core = &self.election.core;
        let service = core
            .roster
            .borrow()
            .get(task.upstream)
            .record
            .service
            .clone();
        let view = core.intent.borrow();
        let single = view.routes().iter().any(|route| {
            let terms = &route.terms;
            let serves = route.service == service
                || terms.targets.iter().any(|target| target.service == service);
            serves && terms.job.as_ref().is_some_and(|terms| terms.single_version)
        });
        match single {
            true => WeightLoadMode::Wait,
            false => WeightLoadMode::Keep,
        }
    }
}

impl Drop for WeightRollout {
    fn drop(&mut self) {
        self.election.core.metrics.placement.clear();
    }
}

fn count_engines(roster: &UpstreamTable) -> usize {
    let engines = roster.iter();
    engines
        .filter(|(_, state)| !state.record.weights.is_empty())
        .count()
}

fn log_change(logger: &Logger, change: &ShareChange) {
    let models = change.models.iter().map(|share| {
        format!(
            "{}: {} to {} for {} tokens",
            share.model, share.before, share.after, share.tokens
        )
    });
    let models: Vec<String> = models.collect();
    log_event!(logger, SHARES_CHANGED;
        "service" => %change.service, "moved" => change.moved, "models" => models.join(", "));
}
