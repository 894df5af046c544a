//! Stand-in for the interface that takes usage reports.

use {
    crate::fault::{FakeCall, FakeMode, FakeReply, FaultPlan, lock},
    std::{collections::BTreeMap, sync::Mutex},
};

/// The reports by zone and window; `GET /control/reports` lists them.
#[derive(Default)]
pub struct UsageMode {
    reports: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl FakeMode for UsageMode {
    fn handle(&self, call: &FakeCall, _faults: &FaultPlan) -> FakeReply {
        if call.method != "POST" || call.path.len() != 4 || call.path[1] != "usage" {
            return FakeReply::text(404, "no such call");
        }
        let mut reports = lock(&self.reports);
        let bytes = reports
            .entry(call.rest(2))
            .or_insert_with(|| call.body.clone());
        if *bytes != call.body {
            return FakeReply::text(409, "reported before with other figures");
        }
        FakeReply::text(200, "accepted").with_change()
    }

    fn control(&self, call: &FakeCall) -> FakeReply {
        if call.method != "GET" || call.rest(1) != "reports" {
            return FakeReply::text(404, "no such control");
        }
        let reports = lock(&self.reports);
        let texts: BTreeMap<&String, String> = reports
            .iter()
            .map(|(key, bytes)| (key, String::from_utf8_lossy(bytes).into_owned()))
            .collect();
        FakeReply::json(200, &texts)
    }
}
