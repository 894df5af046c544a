//! Fake of the interface that orders upstreams by availability zone.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Mutex},
};

/// The ordered and running upstreams of each zone and service.
///
/// Ordered upstreams count as running at once. `POST /control/running` with the body
/// `{"zone", "service", "running"}` sets another number, and `GET /control/orders` lists the
/// accepted orders.
#[derive(Default)]
pub struct FakeZones {
    state: Mutex<ZonesState>,
}

#[derive(Default)]
struct ZonesState {
    counts: BTreeMap<(String, String), UpstreamCounts>,
    highest_fencing_tokens: BTreeMap<String, u64>,
    accepted: Vec<AcceptedOrder>,
}

#[derive(Clone, Serialize)]
struct UpstreamCounts {
    service: String,
    ordered: u32,
    running: u32,
}

#[derive(Clone, Serialize, Deserialize)]
struct ZoneOrder {
    order_id: String,
    service: String,
    count: u32,
    fence: u64,
}

#[derive(Clone, Serialize)]
struct AcceptedOrder {
    zone: String,
    #[serde(flatten)]
    order: ZoneOrder,
}

#[derive(Deserialize)]
struct SetRunningParams {
    zone: String,
    service: String,
    running: u32,
}

impl FakeHandler for FakeZones {
    fn handle(&self, request: &FakeRequest, faults: &FaultPlan) -> FakeResponse {
        let zone = request.path.get(2).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.len()) {
            ("GET", 3) => {
                let state = lock(&self.state);
                let counts: Vec<&UpstreamCounts> = state
                    .counts
                    .iter()
                    .filter(|((name, _), _)| *name == zone)
                    .map(|(_, count)| count)
                    .collect();
                FakeResponse::json(200, &counts)
            }
            ("POST", 4) => match request.json::<ZoneOrder>() {
                Ok(order) => self.accept(zone, order, faults.ignore_fence),
                Err(response) => response,
            },
            _ => FakeResponse::text(404, "unknown path"),
        }
    }

    fn control(&self, request: &FakeRequest) -> FakeResponse {
        match (request.method.as_str(), request.path_from(1).as_str()) {
            ("GET", "orders") => FakeResponse::json(200, &lock(&self.state).accepted),
            ("POST", "running") => match request.json::<SetRunningParams>() {
                Ok(params) => {
                    let mut state = lock(&self.state);
                    let key = (params.zone, params.service.clone());
                    let count = state.counts.entry(key).or_insert(UpstreamCounts {
                        service: params.service,
                        ordered: params.running,
                        running: params.running,
                    });
                    count.running = params.running;
                    FakeResponse::text(200, "set")
                }
                Err(response) => response,
            },
            _ => FakeResponse::text(404, "unknown control path"),
        }
    }
}

impl FakeZones {
    fn accept(&self, zone: String, order: ZoneOrder, ignore_fence: bool) -> FakeResponse {
        let mut state = lock(&self.state);
        let highest = state
            .highest_fencing_tokens
            .entry(zone.clone())
            .or_default();
        if order.fence < *highest && !ignore_fence {
            return FakeResponse::json(409, &serde_json::json!({"fence": *highest}));
        }
        *highest = order.fence.max(*highest);
        let repeated = state
            .accepted
            .iter()
            .any(|accepted| accepted.order.order_id == order.order_id);
        if !repeated {
            let count = UpstreamCounts {
                service: order.service.clone(),
                ordered: order.count,
                running: order.count,
            };
            state
                .counts
                .insert((zone.clone(), order.service.clone()), count);
            state.accepted.push(AcceptedOrder { zone, order });
        }
        FakeResponse::text(200, "accepted").mark_changed()
    }
}
