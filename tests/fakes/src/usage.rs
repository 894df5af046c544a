//! Fake of the interface that receives usage reports.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    std::{collections::BTreeMap, sync::Mutex},
};

/// Usage reports by zone and window.
///
/// A repeated report is accepted only if it is identical. `GET /control/reports` lists all reports.
#[derive(Default)]
pub struct FakeUsage {
    reports: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl FakeHandler for FakeUsage {
    fn handle(&self, request: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        if request.method != "POST" || request.path.len() != 4 || request.path[1] != "usage" {
            return FakeResponse::text(404, "unknown path");
        }
        let mut reports = lock(&self.reports);
        let bytes = reports
            .entry(request.path_from(2))
            .or_insert_with(|| request.body.clone());
        if *bytes != request.body {
            return FakeResponse::text(
                409,
                "the window was already reported with different content",
            );
        }
        FakeResponse::text(200, "accepted").mark_changed()
    }

    fn control(&self, request: &FakeRequest) -> FakeResponse {
        if request.method != "GET" || request.path_from(1) != "reports" {
            return FakeResponse::text(404, "unknown control path");
        }
        let reports = lock(&self.reports);
        let texts: BTreeMap<&String, String> = reports
            .iter()
            .map(|(key, bytes)| (key, String::from_utf8_lossy(bytes).into_owned()))
            .collect();
        FakeResponse::json(200, &texts)
    }
}
