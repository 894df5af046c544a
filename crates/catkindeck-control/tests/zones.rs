//! Model test of two controllers of one zone, with expiring leases, delayed orders and lost
//! responses, in virtual time.

mod common;
mod support;

use {
    catkindeck::{
        Clock, ErrorKind, Moment, ServiceError,
        id::ObjectName,
        log::discard_logger,
        platform::{StoreClient, ZoneCount, ZoneOrder, ZoneOrders},
    },
    catkindeck_control::{
        authority::ControlLease,
        zones::{PendingOrder, ZoneController, ZoneParts},
    },
    catkindeck_policy::ScaleOrder,
    catkindeck_store::LeaseProof,
    proptest::prelude::*,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    support::{MemoryStore, StoreFault},
};

const ORDER_TIMEOUT_MS: u64 = 2000;

/// The virtual time, the lease and the zone's interface, to which orders can be delayed.
#[derive(Default)]
struct ModelState {
    now: u64,
    /// The holder of the lease, followed by its fencing token and the expiry.
    holder: usize,
    number: u64,
    expires: u64,
    /// The fault of the next order.
    fault: OrderFault,
    /// Delayed orders, each with the time of its arrival.
    in_flight: Vec<(u64, ZoneOrder)>,
    /// The accepted orders, sorted by arrival.
    accepted: Vec<ZoneOrder>,
    ordered: u32,
    /// The number of orders that were sent without being in the store as unsettled.
    unrecorded: usize,
}

#[derive(Debug, Clone, Copy, Default)]
enum OrderFault {
    #[default]
    Accepted,
    /// The order takes effect, but the response is lost.
    ResponseLost,
    /// The order arrives after this number of milliseconds, when the call has already failed.
    Delayed(u64),
    /// The order is lost.
    Lost,
}

#[derive(Default)]
struct ZoneModel {
    state: Mutex<ModelState>,
    store: Arc<MemoryStore>,
}

impl ZoneModel {
    fn lock(&self) -> MutexGuard<'_, ModelState> {
        self.state.lock().unwrap()
    }

    fn advance(&self, ms: u64) {
        let mut state = self.lock();
        state.now += ms;
        let now = state.now;
        let (arrived, still_in_flight): (Vec<_>, Vec<_>) = std::mem::take(&mut state.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        state.in_flight = still_in_flight;
        for (_, order) in arrived {
            accept(&mut state, order);
        }
    }
}

fn accept(state: &mut ModelState, order: ZoneOrder) {
    state.ordered = order.count;
    state.accepted.push(order);
}

impl Clock for ZoneModel {
    fn now(&self) -> Moment {
        Moment(self.lock().now)
    }
}

impl ZoneOrders for ZoneModel {
    /// Accepts every order, whatever its fencing token.
    fn order(
        &self,
        _zone: &ObjectName,
        order: &ZoneOrder,
        timeout: Duration,
    ) -> Result<(), ServiceError> {
        let stored = self.store.peek("zone/vault-a/intent");
        let mut state = self.lock();
        let recorded = stored.is_some_and(|bytes| {
            let pending: PendingOrder =
                serde_json::from_slice(&bytes).expect("the pending order is decodable");
            pending.order == *order && !pending.settled
        });
        state.unrecorded += usize::from(!recorded);
        let lost = ServiceError::unknown(ErrorKind::PeerUnavailable, "injected by the test");
        match state.fault {
            OrderFault::Accepted => {
                accept(&mut state, order.clone());
                Ok(())
            }
            OrderFault::ResponseLost => {
                accept(&mut state, order.clone());
                Err(lost)
            }
            OrderFault::Delayed(ms) => {
                let limit = u64::try_from(timeout.as_millis()).expect("a short timeout");
                let arrives = state.now + ms.min(limit);
                state.in_flight.push((arrives, order.clone()));
                Err(lost)
            }
            OrderFault::Lost => Err(lost),
        }
    }

    fn counts(&self, _zone: &ObjectName) -> Result<Vec<ZoneCount>, ServiceError> {
        let ordered = self.lock().ordered;
        Ok(vec![ZoneCount {
            service: name("drafting"),
            ordered,
            running: ordered,
        }])
    }
}

struct ModelLease {
    model: Arc<ZoneModel>,
    who: usize,
}

impl ControlLease for ModelLease {
    fn check(&self) -> Result<LeaseProof, ServiceError> {
        let state = self.model.lock();
        if state.holder != self.who || state.now >= state.expires {
            return Err(ServiceError::not_run(ErrorKind::Fenced, "not held"));
        }
        Ok(LeaseProof {
            number: state.number,
            remaining_ms: (state.expires - state.now).min(ORDER_TIMEOUT_MS),
        })
    }
}

#[derive(Debug, Clone)]
enum Action {
    Advance(u64),
    Step(usize, u32),
    /// The lease ends, and this process acquires it next.
    Grant(usize),
    Restart(usize),
    OrderFault(OrderFault),
    Store(u8),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let fault = prop_oneof![
        3 => Just(OrderFault::Accepted),
        2 => Just(OrderFault::ResponseLost),
        3 => (0..ORDER_TIMEOUT_MS).prop_map(OrderFault::Delayed),
        1 => Just(OrderFault::Lost),
    ];
    let action = prop_oneof![
        6 => (1..1500_u64).prop_map(Action::Advance),
        14 => (0..2_usize, 1..9_u32).prop_map(|(who, count)| Action::Step(who, count)),
        2 => (0..2_usize).prop_map(Action::Grant),
        1 => (0..2_usize).prop_map(Action::Restart),
        3 => fault.prop_map(Action::OrderFault),
        1 => (0..4_u8).prop_map(Action::Store),
    ];
    prop::collection::vec(action, 1..150)
}

fn controller(model: &Arc<ZoneModel>, who: usize) -> ZoneController {
    let store: Arc<dyn StoreClient> = model.store.clone();
    let parts = ZoneParts {
        store,
        orders: model.clone(),
        lease: Arc::new(ModelLease {
            model: model.clone(),
            who,
        }),
        clock: model.clone(),
        logger: discard_logger(),
    };
    ZoneController::new(name("vault-a"), parts, ORDER_TIMEOUT_MS)
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn scale_order(count: u32) -> ScaleOrder {
    ScaleOrder {
        zone: name("vault-a"),
        service: name("drafting"),
        count,
    }
}

proptest! {
    #![proptest_config(common::fuzz_config(400))]

    /// Guards against an order of a former lease holder that takes effect after one of the next
    /// holder, at an interface that ignores fencing tokens, and against sending an order that is
    /// not in the store.
    #[test]
    fn former_holder_never_overrides_its_successor(actions in actions()) {
        let model = Arc::new(ZoneModel::default());
        let mut controllers = [controller(&model, 0), controller(&model, 1)];
        for action in actions {
            match action {
                Action::Advance(ms) => model.advance(ms),
                Action::Step(who, count) => {
                    // Errors come from the injected faults; the controller recovers on its own.
                    let _ = controllers[who].step(Some(&scale_order(count)));
                }
                Action::Grant(who) => {
                    let mut state = model.lock();
                    state.holder = who;
                    state.number += 1;
                    state.expires = state.now + 10_000;
                }
                Action::Restart(who) => controllers[who] = controller(&model, who),
                Action::OrderFault(fault) => model.lock().fault = fault,
                Action::Store(fault) => model.store.set_fault(match fault {
                    0 => StoreFault::Outage,
                    1 => StoreFault::ResponseLost,
                    _ => StoreFault::None,
                }),
            }
            let state = model.lock();
            prop_assert_eq!(state.unrecorded, 0);
            let fences: Vec<u64> = state.accepted.iter().map(|order| order.fence).collect();
            prop_assert!(fences.is_sorted(), "orders took effect as {:?}", fences);
        }
    }
}

/// Guards against a controller that never settles an order of unknown outcome and therefore does
/// not follow the scaler.
#[test]
fn order_of_unknown_outcome_is_settled() {
    let model = Arc::new(ZoneModel::default());
    {
        let mut state = model.lock();
        (state.holder, state.number, state.expires) = (0, 1, 10_000);
        state.fault = OrderFault::ResponseLost;
    }
    let mut first = controller(&model, 0);
    for _ in 0..3 {
        let _ = first.step(Some(&scale_order(3)));
    }
    assert_eq!(model.lock().accepted.len(), 1);
    // The next holder waits until the order can no longer be in flight, then sends its own.
    {
        let mut state = model.lock();
        (state.holder, state.number, state.expires) = (1, 2, 20_000);
        state.fault = OrderFault::Accepted;
    }
    let mut second = controller(&model, 1);
    for _ in 0..10 {
        second
            .step(Some(&scale_order(5)))
            .expect("the store responds");
    }
    assert_eq!(
        model.lock().accepted.len(),
        1,
        "the order of unknown outcome may still arrive"
    );
    model.advance(ORDER_TIMEOUT_MS);
    for _ in 0..10 {
        second.step(None).expect("the store responds");
    }
    for _ in 0..3 {
        second
            .step(Some(&scale_order(5)))
            .expect("the store responds");
    }
    let state = model.lock();
    let orders: Vec<(u64, u32)> = state
        .accepted
        .iter()
        .map(|order| (order.fence, order.count))
        .collect();
    assert_eq!(orders, [(1, 3), (2, 5)]);
}
