//! Fake of the platform's weight store.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::Deserialize,
    std::{collections::BTreeMap, sync::Mutex},
};

/// The size of the weights of one version, in bytes.
const WEIGHTS_LEN: usize = 64 << 10;

/// Weights of every version of each model, up to the newest one.
///
/// `POST /control/latest` with the body `{"model", "version"}` sets the newest version. The rate
/// limit is part of the [`FaultPlan`], as with the other fakes.
#[derive(Default)]
pub struct FakeWeights {
    latest: Mutex<BTreeMap<String, u64>>,
}

#[derive(Deserialize)]
struct SetLatestVersionParams {
    model: String,
    version: u64,
}

impl FakeHandler for FakeWeights {
    fn handle(&self, request: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        let [_, kind, model, version] = request.path.as_slice() else {
            return FakeResponse::text(404, "unknown path");
        };
        let latest = lock(&self.latest).get(model).copied().unwrap_or(0);
        let version = version.parse::<u64>().ok();
        let Some(version) = version.filter(|version| kind == "weights" && *version <= latest)
        else {
            return FakeResponse::text(404, "unknown version");
        };
        // The bytes depend only on model and version, so that tests can compare copies.
        let seed = blake3::hash(format!("{model}/{version}").as_bytes());
        let body = seed.as_bytes().iter().copied().cycle().take(WEIGHTS_LEN);
        FakeResponse {
            status: 200,
            body: body.collect(),
            changed: false,
        }
    }

    fn control(&self, request: &FakeRequest) -> FakeResponse {
        if request.method != "POST" || request.path_from(1) != "latest" {
            return FakeResponse::text(404, "unknown control path");
        }
        match request.json::<SetLatestVersionParams>() {
            Ok(params) => {
                lock(&self.latest).insert(params.model, params.version);
                FakeResponse::text(200, "set")
            }
            Err(response) => response,
        }
    }
}
