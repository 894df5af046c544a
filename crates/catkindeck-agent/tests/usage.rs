//! Property tests of the usage meter and the sample buffer against simple reference models.

use {
    catkindeck::{
        id::ObjectName,
        message::{SampleId, SampleRecord, USAGE_WINDOW_MS, UsageLine},
        token::VersionLabels,
    },
    catkindeck_agent::{samples::SampleBuffer, usage::UsageMeter},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::collections::BTreeMap,
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

#[derive(Debug, Clone)]
enum UsageStep {
    /// Moves the wall clock by milliseconds, forwards or backwards.
    Move(i64),
    Count {
        customer: u8,
        requests: u64,
        tokens: u64,
    },
    /// The collector reads all closed windows.
    Collect,
    /// The collector seals the lines that it collected last.
    Seal,
    /// A new collector, which does not know which windows are sealed, reads the closed windows.
    CollectAfterTakeover,
}

fn usage_step() -> impl Strategy<Value = UsageStep> {
    prop_oneof![
        (-90_000_i64..150_000).prop_map(UsageStep::Move),
        (0_u8..3, 0_u64..3, 0_u64..100).prop_map(|(customer, requests, tokens)| {
            UsageStep::Count {
                customer,
                requests,
                tokens,
            }
        }),
        Just(UsageStep::Collect),
        Just(UsageStep::Seal),
        Just(UsageStep::CollectAfterTakeover),
    ]
}

/// Uses a fixed seed, or a random seed and `CATKINDECK_FUZZ_CASES` cases if that variable is set.
fn config() -> ProptestConfig {
    let cases = std::env::var("CATKINDECK_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let rng_seed = match cases {
        Some(_) => RngSeed::Random,
        None => RngSeed::Fixed(20_261_205),
    };
    ProptestConfig {
        cases: cases.unwrap_or(256),
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against usage that is lost, counted twice, or changed after its window was collected
    /// (G8), even if the clock jumps.
    #[test]
    fn every_count_is_sealed_once(steps in vec(usage_step(), 0..60)) {
        let mut meter = UsageMeter::new();
        let mut clock = 1_000 * USAGE_WINDOW_MS;
        let mut counted: BTreeMap<Option<ObjectName>, (u64, u64)> = BTreeMap::new();
        let mut seen: BTreeMap<u64, Vec<UsageLine>> = BTreeMap::new();
        let mut sealed: Option<u64> = None;
        let mut last: Vec<UsageLine> = Vec::new();
        let mut total: BTreeMap<Option<ObjectName>, (u64, u64)> = BTreeMap::new();
        let check = |seen: &mut BTreeMap<u64, Vec<UsageLine>>, lines: &[UsageLine]| {
            let mut windows: BTreeMap<u64, Vec<UsageLine>> = BTreeMap::new();
            for line in lines {
                windows.entry(line.window).or_default().push(line.clone());
            }
            for (window, lines) in windows {
                let known = seen.entry(window).or_insert_with(|| lines.clone());
                assert_eq!(*known, lines, "window {window} changed after it was collected");
            }
        };
        let mut seal = |lines: &[UsageLine], sealed: &mut Option<u64>| {
            for line in lines.iter().filter(|line| sealed.is_none_or(|sealed| line.window > sealed)) {
                let sum = total.entry(line.customer.clone()).or_default();
                sum.0 += line.requests;
                sum.1 += line.tokens;
            }
            if let Some(line) = lines.last() {
                *sealed = (*sealed).max(Some(line.window));
            }
        };
        for step in steps {
            match step {
                UsageStep::Move(by) => clock = clock.saturating_add_signed(by),
                UsageStep::Count { customer, requests, tokens } => {
                    let customer = (customer > 0).then(|| name(&format!("c{customer}")));
                    meter.count(clock, customer.as_ref(), &name("drafting"), requests, tokens);
                    let sum = counted.entry(customer).or_default();
                    sum.0 += requests;
                    sum.1 += tokens;
                }
                UsageStep::Collect => {
                    last = meter.collect(clock, sealed, false);
                    check(&mut seen, &last);
                }
                UsageStep::CollectAfterTakeover => {
                    let lines = meter.collect(clock, None, false);
                    check(&mut seen, &lines);
                }
                UsageStep::Seal => seal(&last, &mut sealed),
            }
        }
        let lines = meter.collect(clock, sealed, true);
        check(&mut seen, &lines);
        seal(&lines, &mut sealed);
        prop_assert!(meter.collect(clock, sealed, true).is_empty());
        prop_assert!(meter.is_empty());
        counted.retain(|_, sum| *sum != (0, 0));
        prop_assert_eq!(total, counted);
    }

    /// Guards against samples that are dropped without being reported as evicted, and against
    /// unbounded memory use.
    #[test]
    fn samples_are_kept_released_or_reported_as_evicted(
        steps in vec((0_u32..12, 0_usize..2000, any::<bool>()), 0..60),
    ) {
        const LIMIT: u64 = 8_000;
        let mut buffer = SampleBuffer::new(LIMIT);
        let mut expected: BTreeMap<SampleId, String> = BTreeMap::new();
        for (index, length, release) in steps {
            let id = SampleId { run: name("slips"), step: 1, group: 0, index, generation: 0 };
            if release {
                buffer.release(std::slice::from_ref(&id));
                expected.remove(&id);
            } else {
                let text = "x".repeat(length);
                let labels = VersionLabels::default();
                let sample = SampleRecord { id: id.clone(), text: text.clone(), labels };
                let dropped = buffer.insert(sample);
                expected.entry(id).or_insert(text);
                for id in dropped {
                    prop_assert!(expected.remove(&id).is_some());
                }
            }
            let kept = buffer.collect(&name("slips"), 1);
            let size: usize = kept.iter().map(|sample| sample.text.len()).sum();
            prop_assert!(size as u64 <= LIMIT);
            let kept: BTreeMap<_, _> =
                kept.into_iter().map(|sample| (sample.id, sample.text)).collect();
            prop_assert_eq!(&kept, &expected);
        }
    }
}
