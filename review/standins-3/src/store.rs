//! Stand-in for the platform's store.

use {
    crate::http::{Request, respond, serve},
    base64::{Engine, prelude::BASE64_STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// What the store does with calls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Up,
    /// All calls get 503, and nothing is done.
    Busy,
}

/// What becomes of leases while the store is down.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Leases {
    Pause,
    Expire,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Changes: revision, key, and the item as written.
    history: Vec<(u64, String, Option<Item>)>,
    mode: Mode,
    down_since: Option<Instant>,
}

/// The store; clones share one state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

const PAGE_BYTES: usize = 1 << 20;
const PAGE_ITEMS: usize = 500;

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self {
            state: Arc::new((
                Mutex::new(State {
                    revision: 7,
                    items: BTreeMap::new(),
                    leases: BTreeMap::new(),
                    last_lease: 0,
                    history: Vec::new(),
                    mode: Mode::Up,
                    down_since: None,
                }),
                Condvar::new(),
            )),
        };
        let reaper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = reaper.lock();
                if state.mode == Mode::Up && state.expire() {
                    reaper.state.1.notify_all();
                }
            }
        });
        let server = store.clone();
        let address = serve(move |request, stream| server.answer(&request, stream));
        (store, address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, value.to_string().into_bytes(), 0);
        self.state.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Takes the store down or brings it back. Leases pause while it is down, or have expired when it is back.
    pub fn set_mode(&self, mode: Mode, leases: Leases) {
        let mut state = self.lock();
        let now = Instant::now();
        if mode == Mode::Up {
            if let Some(since) = state.down_since.take() {
                let pause = now - since;
                for lease in state.leases.values_mut() {
                    match leases {
                        Leases::Pause => lease.expires += pause,
                        Leases::Expire => lease.expires = now,
                    }
                }
            }
            state.expire();
        } else {
            state.down_since.get_or_insert(now);
        }
        state.mode = mode;
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if self.lock().mode == Mode::Busy {
            return respond(stream, 503, &[], b"");
        }
        let (status, body) = self.perform(request);
        let kind = [("content-type", "application/json".to_owned())];
        respond(stream, status, &kind, body.to_string().as_bytes())
    }

    fn perform(&self, request: &Request) -> (u16, Value) {
        let path = request.path().to_owned();
        let body = || serde_json::from_slice::<Value>(&request.body).unwrap_or(Value::Null);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/catkindeck/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let state = self.lock();
                match state.items.get(&key) {
                    Some(item) => {
                        let mut found = item_json(&key, item);
                        found["as_of"] = json!(state.revision);
                        (200, found)
                    }
                    None => (404, json!({})),
                }
            }
            ("GET", "/catkindeck/kv-range") => self.range(request),
            ("GET", "/catkindeck/kv-watch") => self.watch(request),
            ("POST", "/catkindeck/kv-txn") => self.commit(&body()),
            ("POST", "/catkindeck/kv-lease") => {
                let ttl_ms = body()["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000);
                let mut state = self.lock();
                state.last_lease += 1;
                let id = state.last_lease;
                let ttl = Duration::from_millis(ttl_ms);
                let expires = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, expires });
                (200, json!({"lease": id, "ttl_ms": ttl_ms}))
            }
            ("POST", path) if path.starts_with("/catkindeck/kv-keep/") => {
                let id = last_number(path);
                let mut state = self.lock();
                state.expire();
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.expires = Instant::now() + lease.ttl;
                        let ttl_ms = lease.ttl.as_millis() as u64;
                        (200, json!({"lease": id, "ttl_ms": ttl_ms}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/catkindeck/kv-lease-end/") => {
                let id = last_number(path);
                let mut state = self.lock();
                let found = state.end_lease(id);
                self.state.1.notify_all();
                (if found { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.lock();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let found = state
            .items
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix));
        for (key, item) in found.filter(|(key, _)| **key > after || after.is_empty()) {
            if items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += item.value.len() * 4 / 3;
            items.push(item_json(key, item));
        }
        let page = json!({"items": items, "more_pages": more, "as_of": state.revision});
        (200, page)
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => json!({"key": key, "revision": revision, "tombstone": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "as_of": state.revision}));
            }
            // A waiting watch is cut when the store goes down.
            if state.mode != Mode::Up {
                return (503, json!({}));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn commit(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, puts, removals) = (list("expected"), list("puts"), list("remove"));
        if expected.len() + puts.len() + removals.len() > 32 {
            return (400, json!({}));
        }
        let mut state = self.lock();
        state.expire();
        let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
        let holds = expected.iter().all(|row| {
            let item = state.items.get(row["key"].as_str().unwrap_or(""));
            item.map_or(0, |item| item.revision) == row["revision"].as_u64().unwrap_or(0)
        });
        if !holds {
            let keys = expected.iter().map(|row| text(&row["key"]));
            let items: Vec<Value> = keys
                .filter_map(|key| state.items.get(&key).map(|item| item_json(&key, item)))
                .collect();
            return (412, json!({"items": items}));
        }
        for put in &puts {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, json!({}));
            }
        }
        state.revision += 1;
        for put in &puts {
            let value = BASE64_STANDARD
                .decode(text(&put["value"]))
                .unwrap_or_default();
            state.write(
                &text(&put["key"]),
                value,
                put["lease"].as_u64().unwrap_or(0),
            );
        }
        for key in &removals {
            state.remove(&text(key));
        }
        let revision = state.revision;
        self.state.1.notify_all();
        (200, json!({"revision": revision}))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history.push((self.revision, key.to_owned(), item));
        // The history of a job's bodies is not needed, and would only take memory.
        if self.history.len() > 4_000 {
            self.history.drain(..2_000);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let found = self.leases.remove(&id).is_some();
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if found && !bound.is_empty() {
            self.revision += 1;
            bound.iter().for_each(|key| self.remove(key));
        }
        found
    }

    /// Ends the leases that have run out, and returns whether there were any.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| {
            self.end_lease(*id);
        });
        !ended.is_empty()
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": BASE64_STANDARD.encode(&item.value),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

fn last_number(path: &str) -> u64 {
    let text = path.rsplit('/').next().unwrap_or("");
    text.parse().unwrap_or(0)
}
