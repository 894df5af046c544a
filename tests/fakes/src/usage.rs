//! Stand-in for the interface that takes usage reports.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    std::{collections::BTreeMap, sync::Mutex},
};

/// The reports by zone and window; `GET /control/reports` lists them.
#[derive(Default)]
pub struct FakeUsage {
    reports: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl FakeHandler for FakeUsage {
    fn handle(&self, call: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        if call.method != "POST" || call.path.len() != 4 || call.path[1] != "usage" {
            return FakeResponse::text(404, "no such call");
        }
        let mut reports = lock(&self.reports);
        let bytes = reports
            .entry(call.rest(2))
            .or_insert_with(|| call.body.clone());
        if *bytes != call.body {
            return FakeResponse::text(409, "reported before with other figures");
        }
        FakeResponse::text(200, "accepted").with_change()
    }

    fn control(&self, call: &FakeRequest) -> FakeResponse {
        if call.method != "GET" || call.rest(1) != "reports" {
            return FakeResponse::text(404, "no such control");
        }
        let reports = lock(&self.reports);
        let texts: BTreeMap<&String, String> = reports
            .iter()
            .map(|(key, bytes)| (key, String::from_utf8_lossy(bytes).into_owned()))
            .collect();
        FakeResponse::json(200, &texts)
    }
}
