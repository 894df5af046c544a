//! Tests orders of a leader that wait for their turn.

use {catkindeck::Moment, catkindeck_policy::direct::OrderQueue};

const LIMIT: usize = 25;
const WAIT_MS: u64 = 1_500;

/// Load: 500 engines are to load weights at once, and an order takes 20 ms.
#[test]
fn a_plan_of_hundreds_of_orders_takes_few_connections() {
    let mut queue = OrderQueue::new(LIMIT, WAIT_MS);
    queue.extend(Moment(0), 0..500);
    let mut sent: Vec<i32> = Vec::new();
    let mut now = Moment(0);
    while queue.waiting() > 0 {
        let started: Vec<i32> = std::iter::from_fn(|| queue.start_next(now)).collect();
        assert!(
            queue.running() <= LIMIT,
            "{} orders are under way",
            queue.running()
        );
        sent.extend(&started);
        now = now + 20;
        started.iter().for_each(|_| queue.finish());
    }
    assert_eq!(sent, (0..500).collect::<Vec<i32>>());
    assert!(now <= Moment(500), "{now:?}");
}

/// Guards against an order that is sent twice, and against a queue that grows: engines that do not answer hold the
/// places, and each later plan has the orders again.
#[test]
fn orders_that_waited_for_too_long_are_left_to_a_later_plan() {
    let mut queue = OrderQueue::new(1, WAIT_MS);
    queue.extend(Moment(0), ["first", "second"]);
    assert_eq!(queue.start_next(Moment(0)), Some("first"));
    assert_eq!(queue.start_next(Moment(0)), None);
    queue.extend(Moment(WAIT_MS), ["second again"]);
    queue.finish();
    assert_eq!(queue.start_next(Moment(WAIT_MS)), Some("second again"));
    assert_eq!(queue.waiting(), 0);
}
