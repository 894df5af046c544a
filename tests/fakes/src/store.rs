//! Stand-in for the platform's key-value service.

use {
    crate::fault::{FakeHandler, FakeRequest, FakeResponse, FaultPlan, lock},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Condvar, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// The longest that a watch waits, in milliseconds.
const WATCH_LIMIT_MS: u64 = 30_000;

/// The largest value, in hexadecimal digits.
const VALUE_LIMIT_DIGITS: usize = 2 << 20;

/// Keys, leases and watches in memory.
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
    number: u64,
    holder: String,
    expires: Instant,
}

#[derive(Deserialize)]
struct SwapForm {
    value: String,
    expected_version: u64,
    writer: String,
    sequence: u64,
}

#[derive(Deserialize)]
struct LeaseForm {
    #[serde(default)]
    holder: String,
    #[serde(default)]
    ttl_ms: u64,
    #[serde(default)]
    number: u64,
}

impl FakeHandler for FakeStore {
    fn handle(&self, call: &FakeRequest, _faults: &FaultPlan) -> FakeResponse {
        let kind = call.path.get(1).map_or("", String::as_str);
        match (call.method.as_str(), kind) {
            ("GET", "kv") => self.read(&call.rest(2)),
            ("PUT", "kv") => call
                .json()
                .map_or_else(|reply| reply, |form| self.swap(&call.rest(2), form)),
            ("GET", "list") => self.list(&call.rest(2)),
            ("GET", "watch") => self.watch(call),
            ("POST", "lease") => call
                .json()
                .map_or_else(|reply| reply, |form| self.lease(&call.rest(2), &form)),
            _ => FakeResponse::text(404, "no such call"),
        }
    }
}

impl FakeStore {
    fn read(&self, key: &str) -> FakeResponse {
        match lock(&self.state).values.get(key) {
            Some(value) => FakeResponse::json(200, value),
            None => FakeResponse::text(404, "absent"),
        }
    }

    fn swap(&self, key: &str, form: SwapForm) -> FakeResponse {
        if form.value.len() > VALUE_LIMIT_DIGITS {
            return FakeResponse::text(413, "value over 1 MB");
        }
        let mut state = lock(&self.state);
        let version = state.values.get(key).map_or(0, |value| value.version);
        if version != form.expected_version {
            return FakeResponse::json(409, &serde_json::json!({"version": version}));
        }
        state.revision += 1;
        let value = StoredValue {
            key: key.to_owned(),
            value: form.value,
            version: version + 1,
            writer: form.writer,
            sequence: form.sequence,
            revision: state.revision,
        };
        state.values.insert(key.to_owned(), value);
        self.changed.notify_all();
        FakeResponse::json(200, &serde_json::json!({"version": version + 1})).with_change()
    }

    fn list(&self, prefix: &str) -> FakeResponse {
        let state = lock(&self.state);
        let below: Vec<&StoredValue> = state
            .values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, value)| value)
            .collect();
        FakeResponse::json(200, &below)
    }

    fn watch(&self, call: &FakeRequest) -> FakeResponse {
        let prefix = call.rest(2);
        let after = call.query_number("after").unwrap_or(0);
        let wait_ms = call.query_number("wait_ms").unwrap_or(0);
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
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return FakeResponse::json(200, &serde_json::json!({"revision": after}));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lease(&self, path: &str, form: &LeaseForm) -> FakeResponse {
        if let Some(name) = path.strip_suffix("/renew") {
            return self.renew(name, form, false);
        }
        if let Some(name) = path.strip_suffix("/release") {
            return self.renew(name, form, true);
        }
        let now = Instant::now();
        let mut state = lock(&self.state);
        let lease = state.leases.get(path);
        // The holder that asks again, because its answer was lost, gets a new number at once.
        if let Some(lease) = lease.filter(|lease| lease.holder != form.holder) {
            let remaining = lease.expires.saturating_duration_since(now);
            if !remaining.is_zero() {
                let remaining_ms = remaining.as_millis();
                let body = serde_json::json!({"remaining_ms": remaining_ms});
                return FakeResponse::json(409, &body);
            }
        }
        let number = lease.map_or(0, |lease| lease.number) + 1;
        let lease = StoredLease {
            number,
            holder: form.holder.clone(),
            expires: now + Duration::from_millis(form.ttl_ms),
        };
        state.leases.insert(path.to_owned(), lease);
        let body = serde_json::json!({"number": number, "ttl_ms": form.ttl_ms});
        FakeResponse::json(200, &body).with_change()
    }

    fn renew(&self, name: &str, form: &LeaseForm, release: bool) -> FakeResponse {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let held = state
            .leases
            .get_mut(name)
            .filter(|lease| lease.number == form.number && lease.expires > now);
        let Some(lease) = held else {
            return FakeResponse::text(409, "not held under this number");
        };
        let ttl_ms = if release { 0 } else { form.ttl_ms };
        lease.expires = now + Duration::from_millis(ttl_ms);
        let body = serde_json::json!({"number": form.number, "ttl_ms": ttl_ms});
        FakeResponse::json(200, &body).with_change()
    }
}
