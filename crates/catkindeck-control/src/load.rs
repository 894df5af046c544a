//! The load of each zone, which is collected from its agents and shared through the store.

use {
    crate::{
        intent::{LoadSource, LoadView, ServiceLoad},
        members::UpstreamWithHostState,
    },
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        config::ConfigSnapshot,
        id::ObjectName,
        link::PeerLink,
        message,
        message::{LoadReport, PeerFrame, PeerRequest, UsageLine},
        platform::{StoreClient, SwapOutcome, ZoneCount},
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

/// The timeout of a call to an agent.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of concurrent calls to agents.
const CALL_THREADS: usize = 16;

/// The prefix of the keys with the loads of the zones.
const LOAD_PREFIX: &str = "load/";

/// The load of one zone, as last observed by the holder of its lease.
#[message]
pub struct ZoneLoad {
    pub zone: ObjectName,
    /// One record for each service.
    pub records: Vec<ServiceLoad>,
    /// The numbers of ordered and running upstreams that the zone's interface reports.
    pub counts: Vec<ZoneCount>,
}

/// Shares the loads of the zones through the store, with one key for each zone.
pub struct LoadStore {
    store: Arc<dyn StoreClient>,
    cached: Mutex<Vec<ZoneLoad>>,
}

impl LoadStore {
    /// Creates a load store with an empty cache.
    pub fn new(store: Arc<dyn StoreClient>) -> Self {
        Self {
            store,
            cached: Mutex::default(),
        }
    }

    /// Writes the load of a zone.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time, and `conflict` if another
    /// process wrote the zone's load concurrently.
    pub fn publish(&self, load: &ZoneLoad) -> Result<(), ServiceError> {
        let key = format!("{LOAD_PREFIX}{}", load.zone);
        let bytes = serde_json::to_vec(load)
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        let version = self.store.read(&key)?.map_or(0, |stored| stored.version);
        match self.store.swap(&key, version, &bytes)? {
            SwapOutcome::Written(_) => Ok(()),
            SwapOutcome::Conflict(_) => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                "another process wrote the zone's load concurrently",
            )),
        }
    }

    /// Reads and caches the loads of all zones. Malformed values are skipped.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time.
    pub fn refresh(&self) -> Result<Vec<ZoneLoad>, ServiceError> {
        let stored = self.store.list(LOAD_PREFIX)?;
        let loads: Vec<ZoneLoad> = stored
            .iter()
            .filter_map(|(_, stored)| serde_json::from_slice(&stored.value).ok())
            .collect();
        *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = loads.clone();
        Ok(loads)
    }
}

impl LoadSource for LoadStore {
    /// Returns the loads in the store, or the cached ones if the store is unavailable.
    fn load(&self) -> LoadView {
        let loads = self.refresh().unwrap_or_else(|_| {
            let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
            cached.clone()
        });
        LoadView {
            records: loads.into_iter().flat_map(|load| load.records).collect(),
        }
    }
}

/// Sends a request to the agents of `members`, several at a time, and returns the responses,
/// ordered by host.
///
/// Agents that do not respond are left out.
pub fn query_agents(
    link: &dyn PeerLink,
    members: &[UpstreamWithHostState],
    request_of: impl Fn(&ObjectName) -> PeerRequest + Sync,
) -> Vec<(ObjectName, PeerFrame)> {
    let queue = Mutex::new(members.iter());
    let responses = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..CALL_THREADS.min(members.len()) {
            scope.spawn(|| {
                loop {
                    let member = queue.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some(member) = member else {
                        return;
                    };
                    let request = request_of(&member.upstream.name);
                    let frame = link
                        .call(member.upstream.agent, request, AGENT_TIMEOUT)
                        .and_then(|mut frames| frames.receive(AGENT_TIMEOUT));
                    // An agent that does not respond is queried again in the next round.
                    if let Ok(Some(frame)) = frame {
                        responses
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push((member.upstream.name.clone(), frame));
                    }
                }
            });
        }
    });
    let mut responses = responses
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    responses.sort_by(|left, right| left.0.cmp(&right.0));
    responses
}

/// Sums the load reports of a zone's agents by service.
pub fn sum_loads(
    snapshot: &ConfigSnapshot,
    zone: &ObjectName,
    responses: &[(ObjectName, PeerFrame)],
) -> Vec<ServiceLoad> {
    let mut records: SortedMap<ObjectName, ServiceLoad> = SortedMap::new();
    for (host, frame) in responses {
        let (Some(upstream), PeerFrame::Load(load)) = (snapshot.upstream(host), frame) else {
            continue;
        };
        let Some(service) = snapshot.service(&upstream.service) else {
            continue;
        };
        let record = records.get_or_insert_with(service.name.clone(), || ServiceLoad {
            service: service.name.clone(),
            zone: zone.clone(),
            running: 0,
            warm: 0,
            demand: 0,
        });
        let LoadReport {
            limit,
            in_flight,
            queued,
            ..
        } = **load;
        record.running += 1;
        record.warm += u32::from(limit >= service.warm_limit);
        record.demand = record
            .demand
            .saturating_add(in_flight.saturating_add(queued));
    }
    records.values().cloned().collect()
}

/// Returns the lines of a usage response, or `None` for any other frame.
pub fn usage_lines(frame: PeerFrame) -> Option<Vec<UsageLine>> {
    match frame {
        PeerFrame::Usage(lines) => Some(lines),
        _ => None,
    }
}
