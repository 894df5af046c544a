//! The observed load, which is read from agents when a plan or the status is requested.

use {
    super::{
        capacity::{LoadView, ServiceLoad},
        ports::LoadSource,
    },
    crate::source::ConfigSource,
    catkindeck::{
        config::{ConfigSnapshot, ServiceRecord, UpstreamRecord, ZoneRecord, ZoneState},
        link::PeerLink,
        message::{LoadReport, PeerFrame, PeerRequest},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The maximum number of upstreams of a service that are queried in one zone.
///
/// At the target size a zone has several hundred upstreams. The load is extrapolated from a sample,
/// so that the number of calls does not grow with the zones.
const MAX_SAMPLED_UPSTREAMS_PER_ZONE: usize = 32;

/// The number of concurrent queries.
const QUERY_THREADS: usize = 32;

/// The timeout of a query. An upstream counts as not running if its agent does not respond in time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the load from the agents of the configuration in use.
pub struct AgentLoadSource {
    link: Arc<dyn PeerLink>,
    source: Arc<dyn ConfigSource>,
}

/// The upstreams of one service in one zone, of which a sample is queried.
struct LoadGroup<'a> {
    service: &'a ServiceRecord,
    zone: &'a ZoneRecord,
    members: usize,
    sampled: Vec<&'a UpstreamRecord>,
}

impl AgentLoadSource {
    pub fn new(link: Arc<dyn PeerLink>, source: Arc<dyn ConfigSource>) -> Self {
        Self { link, source }
    }

    /// Queries the agents concurrently and returns their reports in the order of `sampled`.
    fn query_all(&self, sampled: &[&UpstreamRecord]) -> Vec<Option<LoadReport>> {
        let next = AtomicUsize::new(0);
        let query_next = || {
            let mut responses = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(upstream) = sampled.get(index) else {
                    return responses;
                };
                responses.push((index, self.query(upstream)));
            }
        };
        let mut reports = vec![None; sampled.len()];
        thread::scope(|scope| {
            let threads = QUERY_THREADS.min(sampled.len());
            let threads: Vec<_> = (0..threads).map(|_| scope.spawn(query_next)).collect();
            for responses in threads.into_iter().filter_map(|thread| thread.join().ok()) {
                for (index, report) in responses {
                    reports[index] = report;
                }
            }
        });
        reports
    }

    fn query(&self, upstream: &UpstreamRecord) -> Option<LoadReport> {
        let request = PeerRequest::ReadLoad;
        let mut stream = self.link.call(upstream.agent, request, CALL_TIMEOUT).ok()?;
        match stream.receive(CALL_TIMEOUT) {
            Ok(Some(PeerFrame::Load(report))) => Some(*report),
            _ => None,
        }
    }
}

impl LoadSource for AgentLoadSource {
    fn load(&self) -> LoadView {
        let snapshot = self.source.current();
        let groups = load_groups(&snapshot);
        let sampled: Vec<&UpstreamRecord> = groups
            .iter()
            .flat_map(|group| group.sampled.iter().copied())
            .collect();
        let mut reports = self.query_all(&sampled).into_iter();
        let mut records = Vec::new();
        for group in &groups {
            let responses: Vec<LoadReport> = reports
                .by_ref()
                .take(group.sampled.len())
                .flatten()
                .collect();
            records.push((
                group.service,
                !responses.is_empty(),
                sum_reports(group, &responses),
            ));
        }
        // If no agent of a service responds, its load is unknown rather than zero.
        let known = |service: &ServiceRecord| {
            let mut responded = records
                .iter()
                .filter(|(other, responded, _)| other.name == service.name && *responded);
            responded.next().is_some()
        };
        let known = records.iter().filter(|(service, ..)| known(service));
        LoadView {
            records: known.map(|(_, _, record)| record.clone()).collect(),
        }
    }
}

fn load_groups(snapshot: &ConfigSnapshot) -> Vec<LoadGroup<'_>> {
    let pairs = snapshot
        .services
        .iter()
        .flat_map(|service| snapshot.zones.iter().map(move |zone| (service, zone)));
    let groups = pairs.map(|(service, zone)| {
        let members = snapshot.upstreams.iter().filter(|upstream| {
            upstream.removed_ms.is_none()
                && upstream.service == service.name
                && upstream.zone == zone.name
        });
        let members: Vec<&UpstreamRecord> = members.collect();
        let step = members
            .len()
            .div_ceil(MAX_SAMPLED_UPSTREAMS_PER_ZONE)
            .max(1);
        LoadGroup {
            service,
            zone,
            members: members.len(),
            sampled: members.into_iter().step_by(step).collect(),
        }
    });
    groups.filter(|group| group.members > 0).collect()
}

/// Sums the reports and extrapolates from the sampled upstreams to the whole group.
fn sum_reports(group: &LoadGroup<'_>, responses: &[LoadReport]) -> ServiceLoad {
    // In a zone that is out of service, all agents are closed although their upstreams run.
    // Elsewhere a closed agent is draining.
    let zone_is_out = group.zone.state == ZoneState::Out;
    let running: Vec<&LoadReport> = responses
        .iter()
        .filter(|report| zone_is_out || !report.closed)
        .collect();
    // An upstream counts as warm from half of the warm limit on, because the limit of a warm
    // upstream also drops under load.
    let warm = running
        .iter()
        .filter(|report| report.limit.saturating_mul(2) >= group.service.warm_limit);
    let demand = responses
        .iter()
        .map(|report| u64::from(report.in_flight) + u64::from(report.queued));
    let scale = |count: u64| {
        let scaled = (count * group.members as u64).div_ceil(group.sampled.len().max(1) as u64);
        u32::try_from(scaled).unwrap_or(u32::MAX)
    };
    ServiceLoad {
        service: group.service.name.clone(),
        zone: group.zone.name.clone(),
        running: scale(running.len() as u64),
        warm: scale(warm.count() as u64),
        demand: scale(demand.sum()),
    }
}
