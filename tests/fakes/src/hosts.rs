//! Fake of the platform's host list, which lags behind the actual hosts.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::Deserialize,
    std::{
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// A host list that is set through the control address.
///
/// `POST /control/hosts` with the body `{"hosts": [...], "lag_ms": L}` replaces it after `L`
/// milliseconds.
#[derive(Default)]
pub struct FakeHostList {
    state: Mutex<HostsState>,
}

#[derive(Default)]
struct HostsState {
    published: Vec<serde_json::Value>,
    pending: Option<(Instant, Vec<serde_json::Value>)>,
}

#[derive(Deserialize)]
struct SetHostsParams {
    hosts: Vec<serde_json::Value>,
    #[serde(default)]
    lag_ms: u64,
}

impl FakeHandler for FakeHostList {
    fn handle(&self, request: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        if request.method != "GET" || request.path_from(0) != "v1/hosts" {
            return FakeResponse::text(404, "unknown path");
        }
        let mut state = lock(&self.state);
        if let Some((_, hosts)) = state.pending.take_if(|(at, _)| *at <= Instant::now()) {
            state.published = hosts;
        }
        FakeResponse::json(200, &state.published)
    }

    fn control(&self, request: &FakeRequest) -> FakeResponse {
        if request.method != "POST" || request.path_from(1) != "hosts" {
            return FakeResponse::text(404, "unknown control path");
        }
        match request.json::<SetHostsParams>() {
            Ok(params) => {
                let at = Instant::now() + Duration::from_millis(params.lag_ms);
                lock(&self.state).pending = Some((at, params.hosts));
                FakeResponse::text(200, "set")
            }
            Err(response) => response,
        }
    }
}
