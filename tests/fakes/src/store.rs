//! Fake of the platform's key-value store.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Condvar, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// The maximum duration of a watch, in milliseconds.
const WATCH_LIMIT_MS: u64 = 30_000;

/// The maximum length of a value, in hexadecimal digits: 1 MB.
const VALUE_LIMIT_DIGITS: usize = 2 << 20;

/// An in-memory store with versioned keys, leases and watches.
#[derive(Default)]
pub struct FakeStore {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<String, StoredLease>,
}

#[derive(Clone, Serialize)]
struct StoredValue {
    key: String,
    value: String,
    version: u64,
    writer: String,
    sequence: u64,
    #[serde(skip)]
    revision: u64,
}

struct StoredLease {
    fencing_token: u64,
    holder: String,
    expires_at: Instant,
}

#[derive(Deserialize)]
struct CompareAndSwapParams {
    value: String,
    expected_version: u64,
    writer: String,
    sequence: u64,
}

#[derive(Deserialize)]
struct LeaseParams {
    #[serde(default)]
    holder: String,
    #[serde(default)]
    ttl_ms: u64,
    #[serde(default)]
    number: u64,
}

impl FakeHandler for FakeStore {
    fn handle(&self, request: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        let kind = request.path.get(1).map_or("", String::as_str);
        match (request.method.as_str(), kind) {
            ("GET", "kv") => self.read(&request.path_from(2)),
            ("PUT", "kv") => request.json().map_or_else(
                |response| response,
                |params| self.compare_and_swap(&request.path_from(2), params),
            ),
            ("GET", "list") => self.list(&request.path_from(2)),
            ("GET", "watch") => self.watch(request),
            ("POST", "lease") => request.json().map_or_else(
                |response| response,
                |params| self.lease(&request.path_from(2), &params),
            ),
            _ => FakeResponse::text(404, "unknown path"),
        }
    }
}

impl FakeStore {
    fn read(&self, key: &str) -> FakeResponse {
        match lock(&self.state).values.get(key) {
            Some(value) => FakeResponse::json(200, value),
            None => FakeResponse::text(404, "key not found"),
        }
    }

    fn compare_and_swap(&self, key: &str, params: CompareAndSwapParams) -> FakeResponse {
        if params.value.len() > VALUE_LIMIT_DIGITS {
            return FakeResponse::text(413, "value larger than 1 MB");
        }
        let mut state = lock(&self.state);
        let version = state.values.get(key).map_or(0, |value| value.version);
        if version != params.expected_version {
            return FakeResponse::json(409, &serde_json::json!({"version": version}));
        }
        state.revision += 1;
        let value = StoredValue {
            key: key.to_owned(),
            value: params.value,
            version: version + 1,
            writer: params.writer,
            sequence: params.sequence,
            revision: state.revision,
        };
        state.values.insert(key.to_owned(), value);
        self.changed.notify_all();
        FakeResponse::json(200, &serde_json::json!({"version": version + 1})).mark_changed()
    }

    fn list(&self, prefix: &str) -> FakeResponse {
        let state = lock(&self.state);
        let matching: Vec<&StoredValue> = state
            .values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, value)| value)
            .collect();
        FakeResponse::json(200, &matching)
    }

    fn watch(&self, request: &FakeRequest) -> FakeResponse {
        let prefix = request.path_from(2);
        let after = request.query_number("after").unwrap_or(0);
        let wait_ms = request.query_number("wait_ms").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(WATCH_LIMIT_MS));
        let mut state = lock(&self.state);
        loop {
            let newest = state
                .values
                .range(prefix.clone()..)
                .take_while(|(key, _)| key.starts_with(&prefix))
                .map(|(_, value)| value.revision)
                .max();
            if let Some(newest) = newest.filter(|newest| *newest > after) {
                return FakeResponse::json(200, &serde_json::json!({"revision": newest}));
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return FakeResponse::json(200, &serde_json::json!({"revision": after}));
            }
            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lease(&self, path: &str, params: &LeaseParams) -> FakeResponse {
        if let Some(name) = path.strip_suffix("/renew") {
            return self.renew(name, params, false);
        }
        if let Some(name) = path.strip_suffix("/release") {
            return self.renew(name, params, true);
        }
        let now = Instant::now();
        let mut state = lock(&self.state);
        let lease = state.leases.get(path);
        // The current holder may retry after a lost response; it gets a new fencing token without
        // waiting for its own lease to expire.
        if let Some(lease) = lease.filter(|lease| lease.holder != params.holder) {
            let remaining = lease.expires_at.saturating_duration_since(now);
            if !remaining.is_zero() {
                let remaining_ms = remaining.as_millis();
                let body = serde_json::json!({"remaining_ms": remaining_ms});
                return FakeResponse::json(409, &body);
            }
        }
        let fencing_token = lease.map_or(0, |lease| lease.fencing_token) + 1;
        let lease = StoredLease {
            fencing_token,
            holder: params.holder.clone(),
            expires_at: now + Duration::from_millis(params.ttl_ms),
        };
        state.leases.insert(path.to_owned(), lease);
        let body = serde_json::json!({"number": fencing_token, "ttl_ms": params.ttl_ms});
        FakeResponse::json(200, &body).mark_changed()
    }

    fn renew(&self, name: &str, params: &LeaseParams, release: bool) -> FakeResponse {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let held = state
            .leases
            .get_mut(name)
            .filter(|lease| lease.fencing_token == params.number && lease.expires_at > now);
        let Some(lease) = held else {
            return FakeResponse::text(409, "the lease is not held under this fencing token");
        };
        let ttl_ms = if release { 0 } else { params.ttl_ms };
        lease.expires_at = now + Duration::from_millis(ttl_ms);
        let body = serde_json::json!({"number": params.number, "ttl_ms": ttl_ms});
        FakeResponse::json(200, &body).mark_changed()
    }
}
