//! The platform's store: keys, conditions, leases and watches, as PROTOCOL.md describes them. Each node has an address
//! of its own for the same content, so that a case sees who calls.

use {
    crate::{
        http::{self, Request},
        json::{Json, base64, quote},
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone)]
struct Entry {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    history: Vec<(u64, String, Option<Entry>)>,
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
}

/// Called with the node and the keys of a transaction that was carried out, before it is answered. Returns whether the
/// answer is lost; then nothing more arrives on the connection.
pub type CommitHook = Box<dyn Fn(&str, &[String]) -> bool + Send + Sync>;

#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    hook: Mutex<Option<Arc<CommitHook>>>,
    /// Since when the store is down.
    down_since: Mutex<Option<Instant>>,
}

/// The time that the store takes for an answer, as the sheet of the site says.
const ANSWER_TIME: Duration = Duration::from_millis(4);

fn entry_json(key: &str, entry: &Entry) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        entry.value,
        entry.revision,
        entry.created,
        entry.lease
    )
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self
            .entries
            .get(key)
            .map_or(revision, |entry| entry.created);
        let entry = Entry {
            value,
            revision,
            created,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push((revision, key.to_owned(), Some(entry)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.entries.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key, self.revision);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    pub fn set_hook(&self, hook: Option<CommitHook>) {
        *self.hook.lock().unwrap() = hook.map(Arc::new);
    }

    /// Takes the store down, so that it answers each call with 503, or brings it back. Leases pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut down_since = self.down_since.lock().unwrap();
        if is_down {
            *down_since = Some(Instant::now());
        } else if let Some(since) = down_since.take() {
            for (_, until) in self.content.lock().unwrap().leases.values_mut() {
                *until += since.elapsed();
            }
        }
    }

    fn is_down(&self) -> bool {
        self.down_since.lock().unwrap().is_some()
    }

    /// Writes a key as operators and workers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.write(key, base64(value.as_bytes()), 0, revision);
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.content.lock().unwrap();
        let keys = content.entries.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Serves the store to one node.
    pub fn serve_node(self: &Arc<Self>, listener: TcpListener, node: &str) -> SocketAddr {
        let address = listener.local_addr().unwrap();
        let (store, node) = (Arc::clone(self), node.to_owned());
        http::serve(
            listener,
            Arc::new(move |request, stream| store.answer(&node, request, stream)),
        );
        address
    }

    fn answer(&self, node: &str, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(ANSWER_TIME);
        if self.is_down() {
            return http::respond(stream, 503, &[], b"");
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        let (status, text) = match path {
            "/catkindeck/kv-key" => self.read(request),
            "/catkindeck/kv-range" => self.range(request),
            "/catkindeck/kv-watch" => self.watch(request),
            "/catkindeck/kv-txn" => {
                let (answer, keys) = self.commit(&body);
                if answer.0 == 200 {
                    let hook = self.hook.lock().unwrap().clone();
                    if hook.is_some_and(|hook| hook(node, &keys)) {
                        thread::sleep(Duration::from_secs(100));
                        return Ok(false);
                    }
                }
                answer
            }
            "/catkindeck/kv-lease" => {
                let mut content = self.content.lock().unwrap();
                let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
                content.next_lease += 1;
                let lease = content.next_lease;
                let until = Instant::now() + Duration::from_millis(ttl_ms);
                content.leases.insert(lease, (ttl_ms, until));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            _ => self.lease_call(path),
        };
        let headers = [("Content-Type", "application/json")];
        http::respond(stream, status, &headers, text.as_bytes())
    }

    fn lease_call(&self, path: &str) -> (u16, String) {
        let mut content = self.content.lock().unwrap();
        content.expire();
        let number = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        if let Some(lease) = number("/catkindeck/kv-keep/") {
            let Some((ttl_ms, until)) = content.leases.get_mut(&lease) else {
                return (404, String::new());
            };
            *until = Instant::now() + Duration::from_millis(*ttl_ms);
            return (200, format!("{{\"ttl_ms\":{ttl_ms}}}"));
        }
        match number("/catkindeck/kv-lease-end/") {
            Some(lease) => {
                content.end_lease(lease);
                (200, "{}".to_owned())
            }
            None => (404, String::new()),
        }
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let mut content = self.content.lock().unwrap();
        content.expire();
        let key = request.parameter("key").unwrap_or("");
        match content.entries.get(key) {
            Some(entry) => {
                let item = entry_json(key, entry);
                (
                    200,
                    format!(
                        "{},\"as_of\":{}}}",
                        &item[..item.len() - 1],
                        content.revision
                    ),
                )
            }
            None => (404, format!("{{\"as_of\":{}}}", content.revision)),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let mut content = self.content.lock().unwrap();
        content.expire();
        let prefix = request.parameter("prefix").unwrap_or("");
        let after = request.parameter("after").unwrap_or("");
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        for (key, entry) in &content.entries {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() >= 500 || size > 1 << 20 {
                more = true;
                break;
            }
            let item = entry_json(key, entry);
            size += item.len();
            items.push(item);
        }
        let revision = content.revision;
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"more_pages\":{more},\"as_of\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("prefix").unwrap_or("");
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text: &str| text.parse().ok())
                .unwrap_or(0)
        };
        let after: u64 = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        loop {
            if self.is_down() {
                return (503, String::new());
            }
            {
                let mut content = self.content.lock().unwrap();
                content.expire();
                let changes = content.history.iter();
                let changes = changes
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
                let events: Vec<String> = changes
                    .map(|(revision, key, entry)| match entry {
                        Some(entry) => entry_json(key, entry),
                        None => format!(
                            "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
                            quote(key)
                        ),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let (events, revision) = (events.join(","), content.revision);
                    return (
                        200,
                        format!("{{\"events\":[{events}],\"as_of\":{revision}}}"),
                    );
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }

    /// Carries out a transaction; returns the answer and the keys that it wrote.
    fn commit(&self, body: &Json) -> ((u16, String), Vec<String>) {
        let mut content = self.content.lock().unwrap();
        content.expire();
        let expected = body.get("expected").list();
        let holds = |row: &Json| {
            let entry = content.entries.get(row.get("key").text());
            entry.map_or(0, |entry| entry.revision) == row.get("revision").number()
        };
        if !expected.iter().all(holds) {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    Some(entry_json(key, content.entries.get(key)?))
                })
                .collect();
            return (
                (412, format!("{{\"items\":[{}]}}", items.join(","))),
                Vec::new(),
            );
        }
        let puts = body.get("puts").list();
        let lease = |row: &Json| row.get("lease").number();
        if puts
            .iter()
            .any(|row| lease(row) != 0 && !content.leases.contains_key(&lease(row)))
        {
            return ((404, String::new()), Vec::new());
        }
        content.revision += 1;
        let revision = content.revision;
        let mut keys = Vec::new();
        for row in puts {
            let key = row.get("key").text();
            content.write(
                key,
                row.get("value").text().to_owned(),
                lease(row),
                revision,
            );
            keys.push(key.to_owned());
        }
        for key in body.get("remove").list() {
            content.remove(key.text(), revision);
        }
        ((200, format!("{{\"revision\":{revision}}}")), keys)
    }
}
