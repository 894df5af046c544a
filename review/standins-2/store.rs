//! The platform's store and its API for duties, as `PROTOCOL.md` describes them.

use crate::{
    http::{Answer, Handler, Request, serve},
    json::{Json, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

/// How long the store takes to answer a call (the sheets say 4 ms).
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// How long a call that gets no answer is held; longer than any caller waits.
const SILENCE: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct Entry {
    /// The value as base64.
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    /// All changes: the revision, the key and what was written.
    history: Vec<(u64, String, Option<Entry>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The writes that the store carries out late and doesn't answer.
#[derive(Default)]
struct LateWrites {
    /// The keys whose next write is late.
    keys: Vec<String>,
    /// All writes while late ones were expected, and the late ones.
    writes: u64,
    late: u64,
}

/// How much later a write is carried out that gets no answer (`fleetbench kinds`: 1 to 6 s).
const LATE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(6));

#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    late_writes: Mutex<LateWrites>,
    /// Whether the store answers all calls with 503.
    pub is_busy: AtomicBool,
}

impl Store {
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.write(revision, key, crate::http::encode_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns a value as text with all bytes that are not valid replaced.
    pub fn get(&self, key: &str) -> Option<String> {
        let mut content = self.content.lock().unwrap();
        content.expire();
        let entry = content.entries.get(key)?;
        let bytes = crate::http::decode_base64(&entry.value);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut content = self.content.lock().unwrap();
        content.expire();
        let keys = content.entries.keys();
        keys.filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns when the lease of a key was renewed last.
    pub fn renewed(&self, key: &str) -> Option<Instant> {
        let content = self.content.lock().unwrap();
        let (ttl, until) = content.leases.get(&content.entries.get(key)?.lease)?;
        until.checked_sub(*ttl)
    }

    /// Leaves the next write of a key unanswered, and carries it out after the one that follows it, but no sooner than
    /// 1 s and no later than 6 s after it came.
    pub fn delay_write(&self, key: &str) {
        self.late_writes.lock().unwrap().keys.push(key.to_owned());
    }

    /// Returns the number of writes so far and of those that were late.
    pub fn late_writes(&self) -> (u64, u64) {
        let late_writes = self.late_writes.lock().unwrap();
        (late_writes.writes, late_writes.late)
    }

    /// Returns the key of a write that is to be late.
    fn take_late(&self, request: &Request) -> Option<String> {
        if request.path() != "/catkindeck/kv-txn" {
            return None;
        }
        let body = Json::parse(&request.text())?;
        let mut late_writes = self.late_writes.lock().unwrap();
        late_writes.writes += 1;
        let puts = body.get("puts").list();
        let is_put = |key: &String| puts.iter().any(|row| row.get("key").text() == key);
        let index = late_writes.keys.iter().position(is_put)?;
        late_writes.late += 1;
        Some(late_writes.keys.remove(index))
    }

    fn write_late(&self, request: &Request, key: &str, record: &Record) {
        let came = Instant::now();
        record.line(&format!("a write of {key} gets no answer"));
        let revision = || {
            let content = self.content.lock().unwrap();
            content.entries.get(key).map_or(0, |entry| entry.revision)
        };
        let known = revision();
        while came.elapsed() < LATE.1 && (came.elapsed() < LATE.0 || revision() == known) {
            sleep(Duration::from_millis(5));
        }
        let answer = self.answer(request);
        let late = came.elapsed();
        record.line(&format!(
            "that write of {key} is carried out {late:.1?} late: {}",
            answer.status
        ));
    }

    /// Opens an address of the store for one process.
    pub fn endpoint(self: &Arc<Self>, record: &Arc<Record>) -> SocketAddr {
        let (store, record) = (Arc::clone(self), Arc::clone(record));
        let handler: Handler = Arc::new(move |request, writer, _| {
            if let Some(key) = store.take_late(&request) {
                store.write_late(&request, &key, &record);
                sleep(SILENCE);
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            if store.is_busy.load(Ordering::SeqCst) {
                return writer.write_all(&Answer::new(503, "").bytes());
            }
            let answer = store.answer(&request);
            sleep(ANSWER_TIME);
            writer.write_all(&answer.bytes())
        });
        serve(handler)
    }

    fn answer(&self, request: &Request) -> Answer {
        let path = request.path().to_owned();
        if path == "/catkindeck/kv-watch" {
            return self.watch(request);
        }
        let mut content = self.content.lock().unwrap();
        content.expire();
        let answer = match path.as_str() {
            "/catkindeck/kv-key" => content.read(&request.query("key")),
            "/catkindeck/kv-range" => content.range(&request.query("prefix"), &request.query("after")),
            "/catkindeck/kv-txn" => content.commit(&request.text()),
            "/catkindeck/kv-lease" => content.grant(&request.text()),
            _ => match path.rsplit_once('/') {
                Some(("/catkindeck/kv-keep", lease)) => content.keep(lease),
                Some(("/catkindeck/kv-lease-end", lease)) => {
                    content.end(lease.parse().unwrap_or(0));
                    Answer::new(200, "")
                }
                _ => Answer::new(404, ""),
            },
        };
        self.changed.notify_all();
        answer
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            content.expire();
            let changes = content.history.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = changes
                .map(|(at, key, entry)| match entry {
                    Some(entry) => entry_json(key, entry),
                    None => format!("{{\"key\":{},\"revision\":{at},\"tombstone\":true}}", quote(key)),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), content.revision);
                return Answer::new(200, &body);
            }
            let pause = left.min(Duration::from_millis(50));
            content = self.changed.wait_timeout(content, pause).unwrap().0;
        }
    }
}

impl Content {
    fn write(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let entry = Entry { value, revision, lease };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push((revision, key.to_owned(), Some(entry)));
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.entries.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter();
        let ended: Vec<u64> = leases
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.entries.iter().filter(|(_, entry)| entry.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(self.revision, &key);
        }
    }

    fn read(&self, key: &str) -> Answer {
        match self.entries.get(key) {
            Some(entry) => Answer::new(200, &entry_json(key, entry)),
            None => Answer::new(404, &format!("{{\"as_of\":{}}}", self.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let entries = self.entries.iter();
        let found = entries.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, entry)| entry_json(key, entry)).collect();
        let body = format!(
            "{{\"items\":[{}],\"more_pages\":false,\"as_of\":{}}}",
            items.join(","),
            self.revision
        );
        Answer::new(200, &body)
    }

    fn commit(&mut self, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return Answer::new(400, "");
        };
        let current = |key: &str| self.entries.get(key).map_or(0, |entry| entry.revision);
        let expected = body.get("expected").list();
        if expected
            .iter()
            .any(|row| current(row.get("key").text()) != row.get("revision").number())
        {
            let rows = expected.iter().map(|row| row.get("key").text());
            let items: Vec<String> = rows
                .filter_map(|key| Some(entry_json(key, self.entries.get(key)?)))
                .collect();
            return Answer::new(412, &format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let lease = |row: &Json| row.get("lease").number();
        if puts
            .iter()
            .any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row)))
        {
            return Answer::new(404, "");
        }
        self.revision += 1;
        let revision = self.revision;
        for row in puts {
            let value = row.get("value").text().to_owned();
            self.write(revision, row.get("key").text(), value, lease(row));
        }
        for key in body.get("remove").list() {
            self.remove(revision, key.text());
        }
        Answer::new(200, &format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&mut self, body: &str) -> Answer {
        let ttl_ms = Json::parse(body).map_or(1_000, |body| body.get("ttl_ms").number());
        let ttl = Duration::from_millis(ttl_ms);
        self.next_lease += 1;
        let lease = 1_000 + self.next_lease;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        Answer::new(200, &format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&mut self, lease: &str) -> Answer {
        let lease: u64 = lease.parse().unwrap_or(0);
        match self.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                Answer::new(200, &format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => Answer::new(404, ""),
        }
    }
}

fn entry_json(key: &str, entry: &Entry) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        entry.value,
        entry.revision,
        entry.revision,
        entry.lease
    )
}

/// Opens the API for duties, which accepts all calls.
pub fn serve_duties() -> SocketAddr {
    let handler: Handler = Arc::new(|_, writer, _| writer.write_all(&Answer::new(200, "").bytes()));
    serve(handler)
}
