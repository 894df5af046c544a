//! Stand-in for the interface that orders upstreams by availability zone.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Mutex},
};

/// Ordered and running counts; `POST /control/running` `{"zone", "service", "running"}` sets what
/// runs, and without it the ordered number runs at once.
#[derive(Default)]
pub struct FakeZones {
    state: Mutex<ZonesState>,
}

#[derive(Default)]
struct ZonesState {
    counts: BTreeMap<(String, String), ServiceCount>,
    fences: BTreeMap<String, u64>,
    accepted: Vec<AcceptedOrder>,
}

#[derive(Clone, Serialize)]
struct ServiceCount {
    service: String,
    ordered: u32,
    running: u32,
}

#[derive(Clone, Serialize, Deserialize)]
struct OrderForm {
    order_id: String,
    service: String,
    count: u32,
    fence: u64,
}

#[derive(Clone, Serialize)]
struct AcceptedOrder {
    zone: String,
    #[serde(flatten)]
    order: OrderForm,
}

#[derive(Deserialize)]
struct RunningForm {
    zone: String,
    service: String,
    running: u32,
}

impl FakeHandler for FakeZones {
    fn handle(&self, call: &FakeRequest, faults: &FaultPlan) -> FakeResponse {
        let zone = call.path.get(2).cloned().unwrap_or_default();
        match (call.method.as_str(), call.path.len()) {
            ("GET", 3) => {
                let state = lock(&self.state);
                let counts: Vec<&ServiceCount> = state
                    .counts
                    .iter()
                    .filter(|((name, _), _)| *name == zone)
                    .map(|(_, count)| count)
                    .collect();
                FakeResponse::json(200, &counts)
            }
            ("POST", 4) => match call.json::<OrderForm>() {
                Ok(order) => self.accept(zone, order, faults.ignore_fence),
                Err(reply) => reply,
            },
            _ => FakeResponse::text(404, "no such call"),
        }
    }

    fn control(&self, call: &FakeRequest) -> FakeResponse {
        match (call.method.as_str(), call.rest(1).as_str()) {
            ("GET", "orders") => FakeResponse::json(200, &lock(&self.state).accepted),
            ("POST", "running") => match call.json::<RunningForm>() {
                Ok(form) => {
                    let mut state = lock(&self.state);
                    let key = (form.zone, form.service.clone());
                    let count = state.counts.entry(key).or_insert(ServiceCount {
                        service: form.service,
                        ordered: form.running,
                        running: form.running,
                    });
                    count.running = form.running;
                    FakeResponse::text(200, "set")
                }
                Err(reply) => reply,
            },
            _ => FakeResponse::text(404, "no such control"),
        }
    }
}

impl FakeZones {
    fn accept(&self, zone: String, order: OrderForm, ignore_fence: bool) -> FakeResponse {
        let mut state = lock(&self.state);
        let highest = state.fences.entry(zone.clone()).or_default();
        if order.fence < *highest && !ignore_fence {
            return FakeResponse::json(409, &serde_json::json!({"fence": *highest}));
        }
        *highest = order.fence.max(*highest);
        let repeated = state
            .accepted
            .iter()
            .any(|accepted| accepted.order.order_id == order.order_id);
        if !repeated {
            let count = ServiceCount {
                service: order.service.clone(),
                ordered: order.count,
                running: order.count,
            };
            state
                .counts
                .insert((zone.clone(), order.service.clone()), count);
            state.accepted.push(AcceptedOrder { zone, order });
        }
        FakeResponse::text(200, "accepted").with_change()
    }
}
