//! Stand-in for the platform's lagging host list.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::Deserialize,
    std::{
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// The hosts, set by `POST /control/hosts` `{"hosts": [...], "lag_ms": L}`.
#[derive(Default)]
pub struct FakeHostList {
    state: Mutex<HostsState>,
}

#[derive(Default)]
struct HostsState {
    shown: Vec<serde_json::Value>,
    next: Option<(Instant, Vec<serde_json::Value>)>,
}

#[derive(Deserialize)]
struct HostsForm {
    hosts: Vec<serde_json::Value>,
    #[serde(default)]
    lag_ms: u64,
}

impl FakeHandler for FakeHostList {
    fn handle(&self, call: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        if call.method != "GET" || call.rest(0) != "v1/hosts" {
            return FakeResponse::text(404, "no such call");
        }
        let mut state = lock(&self.state);
        if let Some((_, hosts)) = state.next.take_if(|(at, _)| *at <= Instant::now()) {
            state.shown = hosts;
        }
        FakeResponse::json(200, &state.shown)
    }

    fn control(&self, call: &FakeRequest) -> FakeResponse {
        if call.method != "POST" || call.rest(1) != "hosts" {
            return FakeResponse::text(404, "no such control");
        }
        match call.json::<HostsForm>() {
            Ok(form) => {
                let at = Instant::now() + Duration::from_millis(form.lag_ms);
                lock(&self.state).next = Some((at, form.hosts));
                FakeResponse::text(200, "set")
            }
            Err(reply) => reply,
        }
    }
}
