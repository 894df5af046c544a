//! Tests that usage counts survive the processes that counted them.

use {
    catkindeck::id::{IncarnationId, ObjectName},
    catkindeck_policy::direct::{UsageCount, UsageLedger, UsageWindows},
    proptest::prelude::*,
};

fn customer(index: u8) -> ObjectName {
    ObjectName::try_from(format!("customer-{index}")).expect("the name is valid")
}

fn count(window: u64, index: u8, requests: u64) -> UsageCount {
    UsageCount {
        window,
        customer: customer(index),
        requests,
    }
}

/// Guards against losing usage together with the process that counted it: after all processes had
/// been killed, a window lacked all of its 27 requests.
#[test]
fn a_new_leader_sums_stored_and_current_counts() {
    let (first, second) = (IncarnationId([1; 16]), IncarnationId([2; 16]));
    let mut ledger = UsageLedger::new();
    ledger.merge(first, &[count(7, 0, 20), count(8, 0, 3)]);
    let stored = ledger.unsealed(7);

    let mut next = UsageLedger::new();
    for (run, count) in &stored {
        next.merge(*run, std::slice::from_ref(count));
    }
    next.merge(second, &[count(8, 0, 4)]);

    assert_eq!(next.window(7), vec![(customer(0), 20)]);
    assert_eq!(next.window(8), vec![(customer(0), 7)]);
}

/// Guards against counting twice or backwards when counts arrive late or repeatedly.
#[test]
fn late_and_repeated_counts_change_nothing() {
    let run = IncarnationId([1; 16]);
    let mut ledger = UsageLedger::new();
    ledger.merge(run, &[count(3, 0, 5)]);
    let revision = ledger.revision();
    ledger.merge(run, &[count(3, 0, 5)]);
    ledger.merge(run, &[count(3, 0, 2)]);

    assert_eq!(ledger.window(3), vec![(customer(0), 5)]);
    assert_eq!(ledger.revision(), revision);
}

proptest! {
    /// Guards against sums that differ from the counts of the processes, for any subset and order
    /// of their messages that includes the last one of each.
    #[test]
    fn the_ledger_sums_what_was_counted(
        requests in prop::collection::vec((0u8..3, 0u8..3, 5u64..9), 0..80),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut counters = vec![UsageWindows::new(); 3];
        let mut messages = Vec::new();
        let mut expected_counts = vec![[0u64; 3]; 16];
        for (process, index, window) in requests {
            counters[usize::from(process)].count(window, &customer(index));
            expected_counts[window as usize][usize::from(index)] += 1;
            messages.push((process, counters[usize::from(process)].counts()));
        }
        let mut ledger = UsageLedger::new();
        for index in &order {
            if let Some((process, counts)) = messages.get(index.index(messages.len().max(1))) {
                ledger.merge(IncarnationId([*process; 16]), counts);
            }
        }
        for (process, counter) in counters.iter().enumerate() {
            let run = IncarnationId([u8::try_from(process).expect("small"); 16]);
            ledger.merge(run, &counter.counts());
        }
        for (window, sums) in expected_counts.iter().enumerate() {
            let expected: Vec<(ObjectName, u64)> = (0..3u8)
                .filter(|index| sums[usize::from(*index)] > 0)
                .map(|index| (customer(index), sums[usize::from(index)]))
                .collect();
            prop_assert_eq!(ledger.window(window as u64), expected);
        }
    }
}
