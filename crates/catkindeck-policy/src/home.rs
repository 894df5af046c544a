//! Selection of the home agent of an idempotency key, which runs the key's requests.

use {
    crate::{hash, record::EXECUTION_RETENTION_MS},
    catkindeck::{config::UpstreamRecord, id::ObjectName},
};

/// How long after an agent's removal requests may still start or run there, in milliseconds.
///
/// An entry may use an outdated configuration for the propagation time of 17 s plus the freshness
/// bound of 10 s. A request that starts then may run for ten minutes before the retention of its
/// record begins.
pub const REMOVED_AGENT_GRACE_MS: u64 = 627_000;

/// The agents responsible for one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeChoice {
    /// The agent that runs the request.
    pub home: ObjectName,
    /// The former home agents that may hold a record. Each is asked first and must record that it
    /// will never start the key.
    pub earlier: Vec<ObjectName>,
    /// The agent that receives the records of `home` when it drains.
    pub next: Option<ObjectName>,
}

/// Chooses home agents by rendezvous hashing (`docs/design.md`, decision 4).
///
/// Every entry computes the same home agents from the same configuration, and a change of one
/// member moves only the keys of that member.
#[derive(Debug, Clone, Copy)]
pub struct HomeSelector {
    retention_ms: u64,
}

impl HomeSelector {
    /// Creates a selector that considers former members for the execution retention plus
    /// [`REMOVED_AGENT_GRACE_MS`].
    pub fn new() -> Self {
        Self {
            retention_ms: EXECUTION_RETENTION_MS + REMOVED_AGENT_GRACE_MS,
        }
    }

    /// Creates a selector that considers former members for `retention_ms`, for tests.
    pub fn with_retention(retention_ms: u64) -> Self {
        Self { retention_ms }
    }

    /// Chooses the home agents of a key among the upstreams of `service`; returns `None` if it has
    /// none.
    ///
    /// `unix_ms` is the current time by the clock that set `added_ms` and `removed_ms`.
    pub fn choose(
        &self,
        unix_ms: u64,
        customer: Option<&ObjectName>,
        idempotency_key: &str,
        service: &ObjectName,
        upstreams: &[UpstreamRecord],
    ) -> Option<HomeChoice> {
        let mut ranked: Vec<(u64, &UpstreamRecord)> = upstreams
            .iter()
            .filter(|upstream| upstream.service == *service)
            .map(|upstream| {
                (
                    rendezvous_rank(customer, idempotency_key, &upstream.name),
                    upstream,
                )
            })
            .collect();
        ranked.sort_by(|left, right| {
            let names = || left.1.name.cmp(&right.1.name);
            right.0.cmp(&left.0).then_with(names)
        });
        let ranked: Vec<&UpstreamRecord> =
            ranked.into_iter().map(|(_, upstream)| upstream).collect();

        // Members without a removal time are current even if the entry's clock is behind.
        let mut current = ranked
            .iter()
            .filter(|upstream| upstream.removed_ms.is_none());
        let home = current.next()?.name.clone();
        let next = current.next().map(|upstream| upstream.name.clone());
        let earlier = self.earlier_homes(unix_ms, &home, &ranked);
        Some(HomeChoice {
            home,
            earlier,
            next,
        })
    }

    /// Returns the first-ranked member at each membership change within the retention.
    fn earlier_homes(
        &self,
        unix_ms: u64,
        home: &ObjectName,
        ranked: &[&UpstreamRecord],
    ) -> Vec<ObjectName> {
        let start = unix_ms.saturating_sub(self.retention_ms);
        let mut instants = vec![start];
        for upstream in ranked {
            instants.push(upstream.added_ms);
            instants.extend(upstream.removed_ms);
        }
        instants.retain(|instant| *instant >= start);
        instants.sort_unstable();
        instants.dedup();
        let mut earlier: Vec<ObjectName> = Vec::new();
        for instant in instants {
            let was_member = |upstream: &&&UpstreamRecord| {
                upstream.added_ms <= instant
                    && upstream.removed_ms.is_none_or(|removed| instant < removed)
            };
            let Some(first) = ranked.iter().find(was_member) else {
                continue;
            };
            if first.name != *home && !earlier.contains(&first.name) {
                earlier.push(first.name.clone());
            }
        }
        earlier
    }
}

impl Default for HomeSelector {
    fn default() -> Self {
        Self::new()
    }
}

fn rendezvous_rank(
    customer: Option<&ObjectName>,
    idempotency_key: &str,
    upstream: &ObjectName,
) -> u64 {
    let customer = customer.map_or("", ObjectName::as_str);
    hash::digest64(&[
        customer.as_bytes(),
        idempotency_key.as_bytes(),
        upstream.as_str().as_bytes(),
    ])
}
