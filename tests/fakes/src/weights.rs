//! Stand-in for the platform's weight store.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::Deserialize,
    std::{collections::BTreeMap, sync::Mutex},
};

/// The size of weights, in bytes.
const WEIGHTS_LEN: usize = 64 << 10;

/// The newest version by model, set by `POST /control/latest` `{"model", "version"}`; the rate
/// limit is a fault like that of the other modes.
#[derive(Default)]
pub struct FakeWeights {
    latest: Mutex<BTreeMap<String, u64>>,
}

#[derive(Deserialize)]
struct LatestForm {
    model: String,
    version: u64,
}

impl FakeHandler for FakeWeights {
    fn handle(&self, call: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        let [_, kind, model, version] = call.path.as_slice() else {
            return FakeResponse::text(404, "no such call");
        };
        let latest = lock(&self.latest).get(model).copied().unwrap_or(0);
        let version = version.parse::<u64>().ok();
        let Some(version) = version.filter(|version| kind == "weights" && *version <= latest)
        else {
            return FakeResponse::text(404, "no such version");
        };
        // The same version always has the same bytes, so that copies can be compared.
        let seed = blake3::hash(format!("{model}/{version}").as_bytes());
        let body = seed.as_bytes().iter().copied().cycle().take(WEIGHTS_LEN);
        FakeResponse {
            status: 200,
            body: body.collect(),
            changed: false,
        }
    }

    fn control(&self, call: &FakeRequest) -> FakeResponse {
        if call.method != "POST" || call.rest(1) != "latest" {
            return FakeResponse::text(404, "no such control");
        }
        match call.json::<LatestForm>() {
            Ok(form) => {
                lock(&self.latest).insert(form.model, form.version);
                FakeResponse::text(200, "set")
            }
            Err(reply) => reply,
        }
    }
}
