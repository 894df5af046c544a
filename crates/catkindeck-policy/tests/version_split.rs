//! The split of a model's engines between versions by what its trainer's steps need.

use {
    catkindeck::{
        Moment,
        id::{IncarnationId, ObjectName},
        token::WeightVersion,
    },
    catkindeck_policy::direct::{
        DemandBoard, DiscoveredUpstream, MIN_LOAD_MS, ModelDemand, ModelPlacement, ModelWeights,
        REPORT_TTL_MS, SHARE_HOLD_MS, SplitBalance, SplitChange, StepDemand, StepPlacement,
        TargetVersion, UpstreamTable, VersionNeed, VersionSplit, WeightLoadPlanner, WeightLoadTask,
        count_versions, model_pools,
    },
    proptest::{prelude::*, test_runner::Config},
};

const ROUND_MS: u64 = 50;

/// The time between two named versions, in milliseconds.
const STEP_MS: u64 = 4_000;

/// The time of a text, in milliseconds.
const TEXT_MS: u64 = 3_000;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn engine(number: usize, models: usize) -> DiscoveredUpstream {
    let weights = (0..models).map(|model| ModelWeights {
        model: name(&format!("m{model}")),
        version: WeightVersion(1),
    });
    DiscoveredUpstream {
        id: name(&format!("i-{:x}", number * 7_919 + 13)),
        service: name("engines"),
        zone: name("zone-a"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: 6,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: weights.collect(),
    }
}

fn targets(models: usize, version: u64) -> Vec<TargetVersion> {
    let target = |model| TargetVersion {
        model: name(&format!("m{model}")),
        version: WeightVersion(version),
    };
    (0..models).map(target).collect()
}

fn need(least_version: u64, waiting: u32, running: u32) -> VersionNeed {
    VersionNeed {
        least_version: WeightVersion(least_version),
        waiting,
        running,
    }
}

fn steps(model: usize, items: u32, newest_least: u64, needs: Vec<VersionNeed>) -> StepDemand {
    StepDemand {
        model: name(&format!("m{model}")),
        step_items: items,
        newest_least: WeightVersion(newest_least),
        needs,
        load_ms: MIN_LOAD_MS,
    }
}

/// Texts of 100 tokens that take `text_ms`.
fn demand(model: usize, items: u32, text_ms: u64) -> ModelDemand {
    ModelDemand {
        model: name(&format!("m{model}")),
        step_tokens: u64::from(items) * 100,
        owed_tokens: 0,
        waiting: 0,
        least_version: WeightVersion(0),
        token_gap_us: text_ms * 10,
    }
}

/// One step each 4 s for each of two models on `engines` engines, which therefore serve both.
struct StepPlay {
    table: UpstreamTable,
    models: usize,
    now: Moment,
    version: u64,
    balance: SplitBalance,
    loading: Vec<(Moment, WeightLoadTask)>,
    loads: usize,
    changes: Vec<SplitChange>,
    splits: Vec<VersionSplit>,
    max_concurrent: usize,
}

impl StepPlay {
    fn new(engines: usize, models: usize) -> Self {
        let mut table = UpstreamTable::new();
        let list = (0..engines).map(|number| engine(number, models)).collect();
        table.apply(Moment(1), list);
        Self {
            table,
            models,
            now: Moment(1_000),
            version: 1,
            balance: SplitBalance::default(),
            loading: Vec::new(),
            loads: 0,
            changes: Vec::new(),
            splits: Vec::new(),
            max_concurrent: engines.div_ceil(3),
        }
    }

    /// Names the next version and plays one step of `items` items whose weights may be `lag` versions old. The items
    /// run from a second on. With `None` no owner reports steps.
    fn step(&mut self, items: Option<(u32, u64)>) {
        self.version += 1;
        for round in 0..STEP_MS / ROUND_MS {
            let reported = items.map(|(items, lag)| {
                let least = self.version.saturating_sub(lag);
                let is_new = round * ROUND_MS < 1_000;
                let need = need(
                    least,
                    if is_new { items } else { 0 },
                    if is_new { 0 } else { items },
                );
                (items, least, need)
            });
            let seen = (0..self.models).map(|model| {
                reported
                    .clone()
                    .map(|(items, least, need)| steps(model, items, least, vec![need]))
            });
            let seen = seen.collect();
            self.round(seen, items.map_or(0, |(items, _)| items));
        }
    }

    fn round(&mut self, seen: Vec<Option<StepDemand>>, items: u32) {
        self.now = self.now + ROUND_MS;
        let (now, table) = (self.now, &mut self.table);
        self.loading.retain(|(until, task)| {
            if *until > now {
                return true;
            }
            let state = table.get_mut(task.upstream);
            state.complete_weight_load();
            state.observe_version(&task.model, task.version);
            false
        });
        let all = targets(self.models, self.version);
        let pools = model_pools(&self.table, &all);
        let shares: Vec<usize> = pools.iter().map(|pool| pool.even_share).collect();
        let demands: Vec<_> = (0..self.models)
            .map(|model| Some(demand(model, items, TEXT_MS)))
            .collect();
        self.changes
            .extend(self.balance.update(now, &all, &seen, &demands));
        self.splits = self.balance.splits(&all, &pools, &shares);
        let placements: Vec<ModelPlacement> = shares
            .iter()
            .zip(demands)
            .map(|(share, demand)| ModelPlacement {
                share: *share,
                demand,
            })
            .collect();
        let splits: Vec<StepPlacement> = self
            .splits
            .iter()
            .zip(seen)
            .map(|(split, steps)| StepPlacement {
                split: *split,
                steps,
            })
            .collect();
        let planner = WeightLoadPlanner {
            max_concurrent: self.max_concurrent,
        };
        for task in planner
            .plan_splits(now, &self.table, &all, &placements, &splits)
            .tasks
        {
            let until = now + MIN_LOAD_MS;
            self.table
                .get_mut(task.upstream)
                .record_weight_load(now, &task.model, until);
            self.loading.push((until, task));
            self.loads += 1;
        }
    }

    /// Returns the engines that have weights of the first model from `least` on.
    fn usable(&self, least: u64) -> usize {
        let target = &targets(1, self.version)[0];
        let counts = count_versions(self.now, &self.table, target, WeightVersion(least));
        counts.current + counts.behind
    }

    /// Plays `count` steps. A third of the engines may load at a time, so that each step has time for all loads.
    fn play(engines: usize, models: usize, count: usize, items: Option<(u32, u64)>) -> Self {
        let mut play = Self::new(engines, models);
        for _ in 0..count {
            play.step(items);
        }
        play
    }
}

/// Load: a trainer whose steps allow only the newest weights. Guards against half of the engines that stay behind,
/// where no item may run: the first build served each step with half of them.
#[test]
fn steps_that_allow_no_lag_get_all_engines() {
    let mut play = StepPlay::new(9, 2);
    // Twice as many loads as usual have to fit into a step.
    play.max_concurrent = 9;
    for _ in 0..6 {
        play.step(Some((48, 0)));
    }
    assert_eq!(play.usable(play.version), 9);
    let before = play.loads;
    play.step(Some((48, 0)));
    assert_eq!(play.loads - before, 18, "all engines load both models");
    assert_eq!(play.usable(play.version), 9);
    let even = StepPlay::play(9, 2, 6, None);
    assert_eq!(even.usable(even.version), 5);
}

/// Load: a trainer whose steps allow weights that are two versions old. Guards against loads that no step needs: each
/// engine serves three versions, so a third of them loads each.
#[test]
fn steps_that_allow_more_lag_need_fewer_loads() {
    let mut play = StepPlay::play(12, 2, 9, Some((48, 2)));
    let before = play.loads;
    for _ in 0..6 {
        play.step(Some((48, 2)));
        assert_eq!(play.usable(play.version - 2), 12);
    }
    assert_eq!(play.loads - before, 6 * 2 * 4);
}

/// Load: steps of 12 items on 24 engines with 6 slots each. Guards against loads of engines that no item of an open or
/// next step will use.
#[test]
fn engines_that_no_step_needs_do_not_load() {
    let mut play = StepPlay::play(24, 2, 6, Some((12, 1)));
    let split = play.splits[0];
    assert!((4..=10).contains(&split.usable), "{split:?}");
    let before = play.loads;
    for _ in 0..6 {
        play.step(Some((12, 1)));
        assert!(play.usable(play.version - 1) >= split.usable);
        assert!(play.usable(play.version - 1) * 6 >= 12);
    }
    let loads = play.loads - before;
    assert_eq!(loads, 6 * 2 * split.current);
    assert!(
        loads * 2 <= 6 * 24,
        "half the loads of the even split: {loads}"
    );
}

/// Load: the demand grows at once from small steps to large ones. Guards against items that wait while engines with
/// older weights idle for want of a load.
#[test]
fn engines_load_as_soon_as_steps_grow() {
    let mut play = StepPlay::play(24, 2, 6, Some((12, 1)));
    assert!(play.usable(play.version - 1) < 24);
    play.step(Some((72, 1)));
    assert_eq!(play.splits[0].usable, 24);
    play.step(Some((72, 1)));
    assert_eq!(play.usable(play.version - 1), 24);
}

/// Load: items that need the named version wait, and others that an older version may run. Guards against fewer
/// engines of a version than its waiting items can use, and against loads for items that run elsewhere as well.
#[test]
fn waiting_items_raise_the_engines_of_their_version_only() {
    let loads = |needs: Vec<VersionNeed>| {
        let mut table = UpstreamTable::new();
        table.apply(Moment(1), (0..24).map(|number| engine(number, 1)).collect());
        let all = targets(1, 2);
        let placement = ModelPlacement {
            share: 24,
            demand: Some(demand(0, 24, TEXT_MS)),
        };
        let split = StepPlacement {
            split: VersionSplit {
                oldest_allowed: WeightVersion(1),
                usable: 8,
                current: 4,
            },
            steps: Some(steps(0, 24, 1, needs)),
        };
        let planner = WeightLoadPlanner { max_concurrent: 24 };
        let plan = planner.plan_splits(Moment(2), &table, &all, &[placement], &[split]);
        plan.tasks.len()
    };
    assert_eq!(loads(vec![need(1, 144, 0)]), 4, "all engines may run them");
    assert_eq!(loads(vec![need(2, 60, 0)]), 10, "60 items fill ten engines");
    assert_eq!(loads(vec![need(1, 30, 0), need(2, 60, 0)]), 10);
    assert_eq!(loads(vec![need(2, 0, 60)]), 4, "running texts go on");
    assert_eq!(
        loads(vec![need(3, 60, 0)]),
        4,
        "no engine can load that version yet"
    );
    assert_eq!(loads(vec![need(2, 600, 0)]), 24, "no more than there are");
}

/// Load: texts that are much shorter than a load. Guards against loads that cost more than the step saves by them.
#[test]
fn short_texts_do_not_pay_for_loads() {
    let all = targets(1, 2);
    let mut table = UpstreamTable::new();
    table.apply(Moment(1), (0..24).map(|number| engine(number, 1)).collect());
    let pools = model_pools(&table, &all);
    let usable = |text_ms, load_ms| {
        let mut balance = SplitBalance::default();
        let mut seen = steps(0, 72, 1, vec![]);
        seen.load_ms = load_ms;
        let demands = [Some(demand(0, 72, text_ms))];
        balance.update(Moment(1_000), &all, &[Some(seen)], &demands);
        balance.splits(&all, &pools, &[24])[0].usable
    };
    assert_eq!(usable(3_000, MIN_LOAD_MS), 24);
    assert!(usable(90, MIN_LOAD_MS) <= 6);
    assert!(
        usable(900, 3_600) < usable(900, MIN_LOAD_MS),
        "slow loads cost more"
    );
}

/// Load: a late report shows the newest step after the next version was named, or a new leader learns of the step before
/// the version that it asks for. Guards against a lag that seems greater than the steps allow, with which the step would
/// find too few engines, and against one that seems less, for which all engines would load for several steps.
#[test]
fn one_wrong_lag_does_not_change_the_split() {
    for wrong in [0, 2] {
        let mut play = StepPlay::play(12, 2, 6, Some((48, 1)));
        let changes = play.changes.len();
        play.step(Some((48, wrong)));
        play.step(Some((48, 1)));
        assert_eq!(play.changes.len(), changes, "{:?}", play.changes);
    }
}

/// Failure: a new leader, which does not know the newest named version yet. Guards against one step that seems to allow
/// no lag, so that a group of engines loads at once.
#[test]
fn the_first_step_of_a_new_leader_does_not_decide_alone() {
    let mut play = StepPlay::new(12, 2);
    play.step(Some((48, 0)));
    assert_eq!(play.splits[0].current, 6);
    play.step(Some((48, 1)));
    assert_eq!(play.splits[0].current, 6);
}

/// Failure: a third of the engines is lost during a step. Guards against a model that keeps too few usable engines, and
/// against loads beyond what the lost engines cost.
#[test]
fn the_split_converges_after_the_loss_of_a_third_of_the_engines() {
    let mut play = StepPlay::play(24, 2, 6, Some((12, 1)));
    let before = play.loads;
    play.step(Some((12, 1)));
    let a_step = play.loads - before;
    let wanted = play.splits[0].usable;
    let left = (0..24).filter(|number| number % 3 != 0);
    let list = left.map(|number| engine(number, 2)).collect();
    play.table.apply(play.now, list);
    let before = play.loads;
    for _ in 0..2 {
        play.step(Some((12, 1)));
    }
    assert_eq!(play.splits[0].usable, wanted, "the demand did not change");
    assert!(play.usable(play.version - 1) >= wanted);
    let loads = play.loads - before;
    assert!(
        loads <= 2 * a_step + 2 * wanted,
        "{loads} loads, {a_step} a step before"
    );
}

/// Failure: the owner of the jobs, or the link to it, is lost. Guards against a split of steps of which nothing is known
/// any more, and against one that changes during a takeover.
#[test]
fn the_split_holds_for_a_takeover_and_is_even_afterwards() {
    let mut play = StepPlay::play(24, 2, 6, Some((12, 1)));
    let held = play.splits[0].usable;
    let mut board = DemandBoard::default();
    let owner = IncarnationId::random();
    board.record_steps(play.now, owner, vec![steps(0, 12, 5, vec![])]);
    let model = name("m0");
    assert!(board.steps(play.now + REPORT_TTL_MS, &model).is_some());
    assert!(board.steps(play.now + REPORT_TTL_MS + 1, &model).is_none());

    play.round(vec![None; 2], 0);
    assert_eq!(play.splits[0].usable, held);
    play.now = play.now + SHARE_HOLD_MS;
    play.round(vec![None; 2], 0);
    let even = VersionSplit::even(&targets(1, play.version)[0], 24);
    assert_eq!(play.splits[0], even);
}

/// Failure: two owners report parts of the steps of one trainer during a hand-over, with more versions than a report
/// keeps apart. Guards against items that no report counts.
#[test]
fn reports_of_two_owners_are_added() {
    let mut board = DemandBoard::default();
    let now = Moment(1_000);
    let first = vec![need(3, 5, 1), need(4, 7, 2), need(6, 1, 0)];
    let second = vec![need(2, 3, 4), need(4, 1, 1), need(5, 2, 2)];
    for (newest, needs) in [(6, first), (5, second)] {
        let reported = vec![steps(0, 20, newest, needs)];
        board.record_steps(now, IncarnationId::random(), reported);
    }
    let total = board.steps(now, &name("m0")).expect("two reports");
    assert_eq!(total.step_items, 20);
    assert_eq!(total.newest_least, WeightVersion(6));
    let versions: Vec<u64> = total
        .needs
        .iter()
        .map(|need| need.least_version.0)
        .collect();
    assert_eq!(versions, [3, 4, 5, 6]);
    assert_eq!(total.items_in_sight(), 20 + 29);
    assert_eq!(
        total.waiting_between(WeightVersion(3), WeightVersion(6)),
        19
    );
    assert_eq!(total.waiting_between(WeightVersion(5), WeightVersion(5)), 2);
}

/// Load: a quiet day of each kind of deployment. Guards against orders beyond those of the even split where the lag is
/// the usual one.
#[test]
fn orders_of_a_quiet_day_grow_by_less_than_a_tenth() {
    for (engines, models) in [(8, 2), (9, 3), (38, 4)] {
        let even = StepPlay::play(engines, models, 12, None).loads;
        for items in [12, 48, 96] {
            let split = StepPlay::play(engines, models, 12, Some((items, 1))).loads;
            assert!(
                split * 10 <= even * 11,
                "{split} loads instead of {even} for {items} items, {engines} engines"
            );
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    /// Load: steps whose items and running texts vary by 20 % in each report, with any lag. Guards against a split that
    /// follows the noise, each change of which costs loads of weights.
    #[test]
    fn the_split_does_not_follow_noise(
        base in 5_u32..400,
        lag in 0_u64..4,
        noise in prop::collection::vec(80_u32..=120, 600),
    ) {
        let mut balance = SplitBalance::default();
        let mut changes = 0;
        for (round, percent) in noise.iter().enumerate() {
            let now = Moment(1_000 + round as u64 * 500);
            let version = 5 + round as u64 / 8;
            let items = base * percent / 100;
            let seen = steps(0, base, version - lag, vec![need(version - lag, 0, items)]);
            let demands = [Some(demand(0, base, TEXT_MS))];
            let told = balance.update(now, &targets(1, version), &[Some(seen)], &demands);
            // The first 30 s show the range of the demand and the lag.
            changes += if round < 60 { 0 } else { told.len() };
        }
        prop_assert!(changes <= 1, "{} changes", changes);
    }

    /// Load: any demand on any number of engines and versions. Guards against fewer engines at an allowed version than
    /// the waiting items can use at once, when all loads may start.
    #[test]
    fn waiting_items_find_as_many_engines_as_they_can_use(
        engines in 1_usize..30,
        waiting in 0_u32..300,
        version in 2_u64..9,
        lag in 0_u64..4,
        old in prop::collection::vec(1_u64..9, 30),
    ) {
        let mut table = UpstreamTable::new();
        table.apply(Moment(1), (0..engines).map(|number| engine(number, 1)).collect());
        let all = targets(1, version);
        let keys: Vec<_> = table.iter().map(|(key, _)| key).collect();
        for (key, old) in keys.iter().zip(&old) {
            let known = WeightVersion((*old).min(version));
            table.get_mut(*key).observe_version(&all[0].model, known);
        }
        let least = version.saturating_sub(lag);
        let seen = steps(0, 1, least, vec![need(least, waiting, 0)]);
        let mut balance = SplitBalance::default();
        let demands = [Some(demand(0, 1, 1))];
        balance.update(Moment(1_000), &all, &[Some(seen.clone())], &demands);
        let pools = model_pools(&table, &all);
        let split = balance.splits(&all, &pools, &[engines])[0];
        let placement = ModelPlacement { share: engines, demand: demands[0].clone() };
        let placed = StepPlacement { split, steps: Some(seen) };
        let planner = WeightLoadPlanner { max_concurrent: engines };
        let plan = planner.plan_splits(Moment(1_001), &table, &all, &[placement], &[placed]);
        for task in &plan.tasks {
            prop_assert!(table.get(task.upstream).version(&task.model) < Some(task.version));
            table.get_mut(task.upstream).observe_version(&task.model, task.version);
        }
        let counts = count_versions(Moment(1_002), &table, &all[0], WeightVersion(least));
        let used = (waiting as usize).div_ceil(6).min(engines);
        prop_assert!(counts.current + counts.behind >= used);
    }
}
