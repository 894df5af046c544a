//! Placement of weights while trainers ask for different amounts of tokens.

use {
    catkindeck::{
        Moment,
        id::{IncarnationId, ObjectName},
        token::WeightVersion,
    },
    catkindeck_policy::direct::{
        DemandBoard, DiscoveredUpstream, MIN_LOAD_MS, ModelDemand, ModelPlacement, ModelPool,
        ModelWeights, REPORT_TTL_MS, SHARE_HOLD_MS, ShareBalance, ShareChange, TargetVersion,
        UpstreamTable, WeightLoadPlanner, WeightLoadTask, assign_shares, assign_upstreams,
        model_pools,
    },
};

/// The number of models in most tests.
const MODELS: usize = 4;

/// The time between two looks of the leader at the demand, in milliseconds.
const ROUND_MS: u64 = 500;

/// The typical time between two tokens, in microseconds.
const TOKEN_GAP_US: u64 = 35_000;

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

fn table(engines: impl IntoIterator<Item = usize>, models: usize) -> UpstreamTable {
    let mut table = UpstreamTable::new();
    let list = engines.into_iter().map(|number| engine(number, models));
    table.apply(Moment(1), list.collect());
    table
}

fn targets(models: usize, version: u64) -> Vec<TargetVersion> {
    let target = |model| TargetVersion {
        model: name(&format!("m{model}")),
        version: WeightVersion(version),
    };
    (0..models).map(target).collect()
}

fn demand(model: usize, tokens: u64) -> ModelDemand {
    ModelDemand {
        model: name(&format!("m{model}")),
        step_tokens: tokens / 2,
        owed_tokens: tokens - tokens / 2,
        waiting: 0,
        least_version: WeightVersion(1),
        token_gap_us: TOKEN_GAP_US,
    }
}

fn demands(tokens: &[u64]) -> Vec<Option<ModelDemand>> {
    let reported = tokens.iter().enumerate();
    reported
        .map(|(model, tokens)| Some(demand(model, *tokens)))
        .collect()
}

/// Shows a balance the same demand for a number of rounds from `start` on, and returns all changes.
fn run(
    balance: &mut ShareBalance,
    start: u64,
    rounds: u64,
    pools: &[ModelPool],
    demands: impl Fn(u64) -> Vec<Option<ModelDemand>>,
) -> Vec<ShareChange> {
    let at = |round| Moment(start + round * ROUND_MS);
    (0..rounds)
        .flat_map(|round| balance.update(at(round), pools, &demands(round)))
        .collect()
}

/// A small generator of the same numbers in each run.
fn noise(seed: u64) -> u64 {
    let mut value = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d;
    value ^= value >> 31;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^ (value >> 29)
}

fn planner(engines: usize) -> WeightLoadPlanner {
    WeightLoadPlanner {
        max_concurrent: engines.div_ceil(6),
    }
}

/// Load: one trainer asks for twice as many tokens as its three siblings. Guards against engines of the siblings that
/// idle while its items wait.
#[test]
fn a_trainer_that_asks_twice_as_much_gets_more_engines() {
    let table = table(0..42, MODELS);
    let pools = model_pools(&table, &targets(MODELS, 2));
    let mut balance = ShareBalance::default();
    let even: usize = pools.iter().map(|pool| pool.even_share).sum();
    let changes = run(&mut balance, 1_000, 40, &pools, |_| {
        demands(&[8_000, 4_000, 4_000, 4_000])
    });

    let sizes = balance.sizes(&pools);
    assert_eq!(
        sizes.iter().sum::<usize>(),
        even,
        "loads would grow: {sizes:?}"
    );
    assert_eq!(
        sizes[0],
        pools[0].even_share * 5 / 4,
        "the greatest share: {sizes:?}"
    );
    assert!(
        sizes[1..].iter().all(|size| (19..=20).contains(size)),
        "{sizes:?}"
    );
    assert_eq!(changes.len(), 1, "one change is enough: {changes:?}");
    let serving = assign_shares(&table, &targets(MODELS, 2), &sizes);
    let served: Vec<usize> = serving.iter().map(Vec::len).collect();
    assert_eq!(served, sizes);
}

/// Load: all trainers ask for the same, or nothing is known. Guards against plans that differ from even shares, which
/// are right for deployments with one kind of trainer.
#[test]
fn even_or_unknown_demand_keeps_even_shares() {
    for engines in [8, 12, 38, 39, 43, 92] {
        let table = table(0..engines, MODELS);
        let all = targets(MODELS, 3);
        let pools = model_pools(&table, &all);
        let even = assign_upstreams(&table, &all);
        let cases = [demands(&[4_000; MODELS]), vec![None; MODELS]];
        for case in cases {
            let mut balance = ShareBalance::default();
            let changes = run(&mut balance, 1_000, 20, &pools, |_| case.clone());
            assert!(changes.is_empty(), "{changes:?}");
            let sizes = balance.sizes(&pools);
            assert_eq!(assign_shares(&table, &all, &sizes), even);
            let placements = sizes
                .iter()
                .zip(&case)
                .map(|(share, demand)| ModelPlacement {
                    share: *share,
                    demand: demand.clone(),
                });
            let placements: Vec<ModelPlacement> = placements.collect();
            let planner = planner(engines);
            assert_eq!(
                planner
                    .plan_placements(Moment(2), &table, &all, &placements)
                    .tasks,
                planner.plan(Moment(2), &table, &all)
            );
        }
    }
}

/// Load: uneven demand with noise of 20 % in each report. Guards against shares that follow the noise, each change of
/// which costs loads of weights.
#[test]
fn shares_do_not_follow_noise() {
    let table = table(0..43, MODELS);
    let pools = model_pools(&table, &targets(MODELS, 2));
    for seed in 0..200 {
        let base = [4_000, 5_000, 2_600, 4_400].map(|tokens| tokens / (1 + seed % 3));
        let noisy = |round: u64| {
            let reported = base.iter().enumerate().map(|(model, tokens)| {
                let percent = 80 + noise(seed * 1_000_003 + round * 31 + model as u64) % 41;
                Some(demand(model, tokens * percent / 100))
            });
            reported.collect()
        };
        let mut balance = ShareBalance::default();
        run(&mut balance, 1_000, 60, &pools, noisy);
        let changes = run(&mut balance, 31_000, 400, &pools, |round| noisy(round + 60));
        assert!(changes.len() <= 1, "seed {seed}: {changes:?}");
    }
}

/// Load: a trainer is two steps behind and owes three steps at once, then it catches up. Guards against a trainer that
/// stays behind for want of engines, and against shares that stay after it has caught up.
#[test]
fn a_trainer_behind_gets_engines_until_it_has_caught_up() {
    let table = table(0..43, MODELS);
    let pools = model_pools(&table, &targets(MODELS, 2));
    let mut balance = ShareBalance::default();
    run(&mut balance, 1_000, 20, &pools, |_| {
        demands(&[4_000; MODELS])
    });
    run(&mut balance, 11_000, 30, &pools, |_| {
        demands(&[4_000, 12_000, 4_000, 4_000])
    });
    let behind = balance.sizes(&pools);
    assert_eq!(behind[1], pools[1].even_share * 5 / 4, "{behind:?}");
    assert!(
        behind
            .iter()
            .zip(&pools)
            .all(|(size, pool)| *size * 4 >= pool.even_share * 3),
        "a sibling has less than three quarters of an even share: {behind:?}"
    );

    run(&mut balance, 26_000, 100, &pools, |_| {
        demands(&[4_000; MODELS])
    });
    let after = balance.sizes(&pools);
    assert!(after[1] < behind[1], "{after:?}");
}

/// Failure: a third of the engines is lost. Guards against shares of engines that are gone, and against a
/// redistribution of those that stay.
#[test]
fn shares_converge_after_the_loss_of_a_third_of_the_engines() {
    let all = targets(MODELS, 2);
    let before_table = table(0..42, MODELS);
    let pools = model_pools(&before_table, &all);
    let mut balance = ShareBalance::default();
    let uneven = [9_000, 3_000, 3_000, 3_500];
    run(&mut balance, 1_000, 40, &pools, |_| demands(&uneven));
    let before = assign_shares(&before_table, &all, &balance.sizes(&pools));

    let after_table = table((0..42).filter(|number| number % 3 != 0), MODELS);
    let pools = model_pools(&after_table, &all);
    let changes = run(&mut balance, 21_000, 60, &pools, |_| demands(&uneven));
    assert!(changes.is_empty(), "the demand did not change: {changes:?}");
    let sizes = balance.sizes(&pools);
    assert_eq!(sizes.iter().sum::<usize>(), 28 * 2);
    assert!(sizes[0] > sizes[3] && sizes[3] > sizes[1], "{sizes:?}");

    let after = assign_shares(&after_table, &all, &sizes);
    let mut kept = 0;
    for (old, new) in before.iter().zip(&after) {
        let old: Vec<_> = old
            .iter()
            .map(|key| &before_table.get(*key).record.id)
            .collect();
        kept += new
            .iter()
            .filter(|key| old.contains(&&after_table.get(**key).record.id))
            .count();
    }
    assert!(kept * 10 >= 28 * 2 * 7, "{kept} of {} pairs kept", 28 * 2);
}

/// Load: uneven demand while single engines come and go. Guards against loads beyond those of the engine itself.
#[test]
fn few_engines_change_their_models_when_one_leaves() {
    let (engines, all) = (43, targets(MODELS, 2));
    let before_table = table(0..engines, MODELS);
    let mut balance = ShareBalance::default();
    let pools = model_pools(&before_table, &all);
    run(&mut balance, 1_000, 40, &pools, |_| {
        demands(&[8_000, 4_000, 3_000, 5_000])
    });
    let before = assign_shares(&before_table, &all, &balance.sizes(&pools));
    let mut moved = 0;
    for gone in 0..engines {
        let after_table = table((0..engines).filter(|number| *number != gone), MODELS);
        let sizes = balance.sizes(&model_pools(&after_table, &all));
        let after = assign_shares(&after_table, &all, &sizes);
        for (old, new) in before.iter().zip(&after) {
            let old: Vec<_> = old
                .iter()
                .map(|key| &before_table.get(*key).record.id)
                .collect();
            let is_new = |key: &&_| !old.contains(&&after_table.get(**key).record.id);
            moved += new.iter().filter(is_new).count();
        }
    }
    assert!(moved <= 6 * engines, "{moved} moves for {engines} engines");
}

/// Load: few tokens on many engines, so that no step waits. Guards against loads that cost more than they save.
#[test]
fn shares_stay_if_a_change_does_not_pay_off() {
    let table = table(0..43, MODELS);
    let pools = model_pools(&table, &targets(MODELS, 2));
    let mut balance = ShareBalance::default();
    let changes = run(&mut balance, 1_000, 100, &pools, |_| {
        demands(&[80, 40, 40, 40])
    });
    assert!(changes.is_empty(), "{changes:?}");
}

/// Failure: the owner of the jobs, or the link to it, is lost. Guards against a leader that keeps to a demand of which
/// it hears nothing any more.
#[test]
fn old_reports_decay_to_even_shares() {
    let table = table(0..43, MODELS);
    let all = targets(MODELS, 2);
    let pools = model_pools(&table, &all);
    let mut board = DemandBoard::default();
    let mut balance = ShareBalance::default();
    let owner = IncarnationId::random();
    let reported = [12_000, 4_000, 4_000, 4_000];
    let seen = |board: &DemandBoard, now| {
        all.iter()
            .map(|target| board.demand(now, &target.model))
            .collect::<Vec<_>>()
    };
    for round in 0..40 {
        let now = Moment(1_000 + round * ROUND_MS);
        let report = demands(&reported).into_iter().flatten().collect();
        board.record(now, owner, report);
        balance.update(now, &pools, &seen(&board, now));
    }
    let last = Moment(1_000 + 39 * ROUND_MS);
    let placed = balance.sizes(&pools);
    assert!(placed[0] > placed[1], "{placed:?}");

    let soon = last + REPORT_TTL_MS + ROUND_MS;
    balance.update(soon, &pools, &seen(&board, soon));
    assert_eq!(
        balance.sizes(&pools),
        placed,
        "a takeover of the jobs changes nothing"
    );
    let later = last + REPORT_TTL_MS + SHARE_HOLD_MS + ROUND_MS;
    balance.update(later, &pools, &seen(&board, later));
    let even: Vec<usize> = pools.iter().map(|pool| pool.even_share).collect();
    assert_eq!(balance.sizes(&pools), even);
}

/// Failure: the leader is lost between the report and the plan. Guards against a successor that places engines by a
/// part of the reports: the first report it gets names one trainer only.
#[test]
fn a_new_leader_does_not_starve_models_without_a_report() {
    let table = table(0..43, MODELS);
    let pools = model_pools(&table, &targets(MODELS, 2));
    let mut successor = ShareBalance::default();
    let mut partial = vec![None; MODELS];
    partial[2] = Some(demand(2, 12_000));
    let changes = successor.update(Moment(1_000), &pools, &partial);
    assert!(changes.is_empty(), "{changes:?}");
    let full = demands(&[4_000, 4_000, 12_000, 4_000]);
    run(&mut successor, 1_500, 20, &pools, |_| full.clone());
    let sizes = successor.sizes(&pools);
    assert!(sizes[2] > sizes[0], "{sizes:?}");
}

/// Load: two steps of one trainer come within half a second, and no engine may run the second one, while the siblings
/// need loads as well. Guards against loads that are shared alike: the step waited 3 s for its engines.
#[test]
fn loads_that_open_places_for_waiting_items_come_first() {
    let engines = 42;
    let table = table(0..engines, MODELS);
    let mut all = targets(MODELS, 2);
    all[3].version = WeightVersion(3);
    let even = model_pools(&table, &all);
    let mut waiting = demand(3, 4_000);
    waiting.waiting = 80;
    waiting.least_version = WeightVersion(2);
    let placements: Vec<ModelPlacement> = even
        .iter()
        .enumerate()
        .map(|(model, pool)| ModelPlacement {
            share: pool.even_share,
            demand: Some(if model == 3 {
                waiting.clone()
            } else {
                demand(model, 4_000)
            }),
        })
        .collect();
    let tasks = planner(engines)
        .plan_placements(Moment(2), &table, &all, &placements)
        .tasks;
    assert_eq!(tasks.len(), engines.div_ceil(6));
    assert!(
        tasks.iter().all(|task| task.model == all[3].model),
        "{tasks:?}"
    );

    let before = planner(engines).plan(Moment(2), &table, &all);
    let for_model = before
        .iter()
        .filter(|task| task.model == all[3].model)
        .count();
    assert!(
        for_model <= 2,
        "shared alike, {for_model} of {} loads are for it",
        before.len()
    );
}

/// Load: several steps wait at once. Guards against a trainer with many items that takes all loads from the others: the
/// one with the fewest usable engines comes first.
#[test]
fn waiting_trainers_take_turns() {
    let engines = 42;
    let table = table(0..engines, MODELS);
    let all = targets(MODELS, 3);
    let placements: Vec<ModelPlacement> = model_pools(&table, &all)
        .iter()
        .enumerate()
        .map(|(model, pool)| {
            let mut waiting = demand(model, 4_000);
            waiting.waiting = if model == 0 { 400 } else { 12 };
            waiting.least_version = WeightVersion(2);
            ModelPlacement {
                share: pool.even_share,
                demand: Some(waiting),
            }
        })
        .collect();
    let tasks = planner(engines)
        .plan_placements(Moment(2), &table, &all, &placements)
        .tasks;
    for target in &all {
        assert!(
            tasks.iter().any(|task| task.model == target.model),
            "{tasks:?}"
        );
    }
}

/// Size: 131 and 1,000 engines. Guards against a planning round whose work grows faster than the engines.
#[test]
fn the_work_of_a_round_grows_no_faster_than_the_engines() {
    let work = |engines: usize| {
        let table = table(0..engines, 10);
        let all = targets(10, 2);
        let pools = model_pools(&table, &all);
        let mut balance = ShareBalance::default();
        let tokens: Vec<u64> = (0..10)
            .map(|model| 40 * engines as u64 * (1 + model % 3))
            .collect();
        let changes = run(&mut balance, 1_000, 40, &pools, |_| demands(&tokens));
        let placements = balance.sizes(&pools).into_iter().zip(demands(&tokens));
        let placements: Vec<ModelPlacement> = placements
            .map(|(share, mut demand)| {
                if let Some(demand) = &mut demand {
                    demand.waiting = 40;
                    demand.least_version = WeightVersion(2);
                }
                ModelPlacement { share, demand }
            })
            .collect();
        let plan = planner(engines).plan_placements(Moment(2), &table, &all, &placements);
        assert_eq!(plan.tasks.len(), engines.div_ceil(6));
        let moved: usize = changes.iter().map(|change| change.moved).sum();
        (plan.visited, moved)
    };
    let (small, large) = (work(131), work(1_000));
    assert!(small.1 > 0, "the demand is uneven");
    // A fifth more allows for rounding.
    assert!(
        large.0 * 131 * 5 <= small.0 * 1_000 * 6,
        "{small:?} {large:?}"
    );
    assert!(
        large.1 * 131 * 5 <= small.1 * 1_000 * 6,
        "{small:?} {large:?}"
    );
}

/// Plays `versions` versions of each model, one each 4 s, and returns the number of loads.
fn count_loads(versions: u64, tokens: Option<[u64; MODELS]>) -> usize {
    let engines = 38;
    let mut table = table(0..engines, MODELS);
    let mut balance = ShareBalance::default();
    let mut loading: Vec<(Moment, WeightLoadTask)> = Vec::new();
    let mut loads = 0;
    for round in 0..versions * 80 {
        let now = Moment(1_000 + round * 50);
        loading.retain(|(until, task)| {
            if *until > now {
                return true;
            }
            let state = table.get_mut(task.upstream);
            state.complete_weight_load();
            state.observe_version(&task.model, task.version);
            false
        });
        let all = targets(MODELS, 2 + round / 80);
        let pools = model_pools(&table, &all);
        let seen = match tokens {
            Some(tokens) => {
                let percent = |model: u64| 80 + noise(round / 10 * 31 + model) % 41;
                let noisy = [0, 1, 2, 3].map(|model| tokens[model as usize] * percent(model) / 100);
                demands(&noisy)
            }
            None => vec![None; MODELS],
        };
        balance.update(now, &pools, &seen);
        let placements = balance.sizes(&pools).into_iter().zip(seen);
        let placements: Vec<ModelPlacement> = placements
            .map(|(share, demand)| ModelPlacement { share, demand })
            .collect();
        for task in planner(engines)
            .plan_placements(now, &table, &all, &placements)
            .tasks
        {
            let until = now + MIN_LOAD_MS;
            table
                .get_mut(task.upstream)
                .record_weight_load(now, &task.model, until);
            loading.push((until, task));
            loads += 1;
        }
    }
    loads
}

/// Load: a quiet day, on which steps of different sizes vary by 20 %. Guards against orders for the sake of shares,
/// which are priced.
#[test]
fn orders_grow_by_less_than_a_tenth() {
    let even = count_loads(10, None);
    for tokens in [
        [4_000; MODELS],
        [4_400, 3_000, 5_000, 5_000],
        [9_000, 3_000, 3_000, 3_000],
    ] {
        let uneven = count_loads(10, Some(tokens));
        assert!(
            uneven * 10 <= even * 11,
            "{uneven} loads instead of {even} for {tokens:?}"
        );
    }
}
