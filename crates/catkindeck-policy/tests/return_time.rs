//! When refused callers return, without a network.

mod common;

use {
    catkindeck::{Moment, id::ObjectName},
    catkindeck_policy::direct::{MIN_RETURN_MS, RefusalCause, RefusedRequest, ReturnSchedule},
    common::{fuzz_config, name},
    proptest::prelude::*,
};

/// A schedule of a service that answers `per_s` requests a second.
fn schedule(now: Moment, per_s: u64) -> ReturnSchedule {
    let mut schedule = ReturnSchedule::default();
    for index in 0..per_s {
        schedule.record_served(Moment(now.0 - index * 1_000 / per_s), None);
    }
    schedule
}

fn refuse(
    schedule: &mut ReturnSchedule,
    now: Moment,
    (customer, id): (&str, usize),
    cause: RefusalCause,
) -> u64 {
    let customer = (!customer.is_empty()).then(|| name(customer));
    let request = RefusedRequest {
        customer: customer.as_ref(),
        id: &format!("request-{id}"),
        cause,
    };
    schedule.return_ms(now, &request)
}

/// Guards against callers that were refused together and return together: five hundred refused
/// callers return to a service that answers a hundred requests a second.
#[test]
fn five_hundred_refused_callers_return() {
    let now = Moment(10_000);
    let mut schedule = schedule(now, 100);
    let mut returns: Vec<u64> = (0..500)
        .map(|id| refuse(&mut schedule, now, ("vault", id), RefusalCause::Busy))
        .collect();
    returns.sort_unstable();

    // The service answers 20 in 200 ms; the spread of each return doubles that at most.
    for window in returns.windows(41) {
        assert!(
            window[40] - window[0] >= 200,
            "41 callers return within 200 ms"
        );
    }
    assert!(returns[0] >= MIN_RETURN_MS);
    let last = returns[499];
    assert!(
        (4_900..5_300).contains(&last),
        "the last returns after {last} ms"
    );
}

/// Guards against return times before room can be expected: the next permit, the next call to the
/// store, or a new list of upstreams.
#[test]
fn returns_wait_for_the_cause_to_end() {
    let now = Moment(10_000);
    for (cause, least) in [
        (RefusalCause::Permit(700), 700),
        (RefusalCause::StoreAway(1_900), 1_900),
        (RefusalCause::Pause(250), 250),
        (RefusalCause::NoneListed, 750),
        (RefusalCause::NoList, 100),
        (RefusalCause::Busy, MIN_RETURN_MS),
    ] {
        let mut schedule = schedule(now, 50);
        let first = refuse(&mut schedule, now, ("vault", 1), cause);
        assert!(
            (least..=least + 400).contains(&first),
            "{cause:?}: {first} ms"
        );
    }
}

/// Guards against a customer with many requests that delays the return of others, and against one
/// that is refused again and again behind newcomers.
#[test]
fn the_customer_refused_longest_returns_first() {
    let start = Moment(10_000);
    let mut schedule = schedule(start, 10);
    for id in 0..200 {
        refuse(&mut schedule, start, ("archive", id), RefusalCause::Busy);
    }
    let first = refuse(&mut schedule, start + 10, ("vault", 1), RefusalCause::Busy);
    assert!(
        first < 400,
        "one request waits for one of each customer: {first} ms"
    );

    // Both are served, the flooding customer last.
    schedule.record_served(start + 400, Some(&name("vault")));
    schedule.record_served(start + 500, Some(&name("archive")));
    let mut turns = |customer: &str| {
        let times = (0..8).map(|id| {
            refuse(
                &mut schedule,
                start + 60_000,
                (customer, id),
                RefusalCause::Busy,
            )
        });
        times.sum::<u64>()
    };
    let (vault, archive) = (turns("vault"), turns("archive"));
    assert!(vault < archive, "{vault} and {archive} ms");
}

proptest! {
    #![proptest_config(fuzz_config(27))]

    /// Guards against a customer whose return depends on how many requests others have: it waits for
    /// at most as many returns of each customer as it has itself, and one more.
    #[test]
    fn returns_are_fair_between_customers(
        refusals in prop::collection::vec(0usize..5, 1..150),
        per_s in 10u64..200,
    ) {
        let now = Moment(10_000);
        let mut schedule = schedule(now, per_s);
        let customers: Vec<ObjectName> = (0..5).map(|number| name(&format!("c{number}"))).collect();
        let mut own = [0u64; 5];
        for (id, index) in refusals.into_iter().enumerate() {
            let customer = customers[index].as_str();
            let wait_ms = refuse(&mut schedule, now, (customer, id), RefusalCause::Busy);
            own[index] += 1;
            let turns = own[index] * 5;
            let slot_ms = 1_000 / per_s + 1;
            let bound = MIN_RETURN_MS + turns * slot_ms + slot_ms.max(100);
            prop_assert!(wait_ms <= bound, "{} ms, bound {} ms", wait_ms, bound);
        }
    }
}
