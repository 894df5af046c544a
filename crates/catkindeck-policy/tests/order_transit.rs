//! Tests when a leader's orders can no longer arrive.

use {catkindeck::Moment, catkindeck_policy::direct::OrderTransit};

const DELAY_MS: u64 = 1_500;

/// Guards against a leader that is stopped and gives up its lease while an order is under way: the next leader ordered
/// at once, and an engine got the former leader's order after the next leader's.
#[test]
fn leadership_ends_after_the_last_order_can_arrive() {
    let mut transit = OrderTransit::new(DELAY_MS);
    let (first, second) = (transit.open(), transit.open());
    assert_eq!(transit.remaining_ms(Moment(1_000)), 0);
    transit.record_write(first, Moment(1_000));
    transit.record_write(second, Moment(1_400));
    assert_eq!(transit.remaining_ms(Moment(1_400)), DELAY_MS);

    // An answered order has arrived; the other one may still be under way.
    transit.close(second);
    assert_eq!(transit.remaining_ms(Moment(1_400)), DELAY_MS - 400);
    assert_eq!(transit.remaining_ms(Moment(2_500)), 0);
    transit.close(first);
    assert_eq!(transit.remaining_ms(Moment(1_400)), 0);
}

/// Guards against an order that is written in two parts, of which only the first would count.
#[test]
fn the_last_write_of_an_order_counts() {
    let mut transit = OrderTransit::new(DELAY_MS);
    let order = transit.open();
    transit.record_write(order, Moment(0));
    transit.record_write(order, Moment(900));
    assert_eq!(transit.remaining_ms(Moment(1_000)), DELAY_MS - 100);
}

/// Guards against a table that grows with each order to one of thousands of engines that never answer, and against
/// one of them that delays the end of leadership without end.
#[test]
fn orders_without_answer_are_dropped_after_their_delay() {
    let mut transit = OrderTransit::new(DELAY_MS);
    for number in 0..10_000_u64 {
        let order = transit.open();
        transit.record_write(order, Moment(number * 10));
    }
    let text = format!("{transit:?}");
    let kept = text.matches("TransitKey").count();
    assert!(
        kept <= 150,
        "{kept} orders are kept, expected those of 1.5 s"
    );
    assert_eq!(transit.remaining_ms(Moment(9_999 * 10)), DELAY_MS);
}
