//! A small deployment: two entries, a standby, engines and a plain service, and its clients.

use crate::{
    http::{Answer, call, encode_base64},
    json::{Json, quote},
    node::Node,
    record::Record,
    store::{Store, serve_duties},
    worker::Worker,
};
use std::{
    env, fs,
    net::SocketAddr,
    process,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

pub const HOST: &str = "deck.example";
pub const KEY: &str = "key-one";
const MODEL: &str = "model-a";

/// How long a client waits for an answer.
const CLIENT_LIMIT: Duration = Duration::from_secs(12);

pub struct Deployment {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub engines: Vec<Arc<Worker>>,
    pub desk: Arc<Worker>,
    pub entries: Vec<Node>,
    pub standbys: Vec<Node>,
    duties: SocketAddr,
    folder: String,
}

/// What a case sets in the desired state.
#[derive(Clone)]
pub struct Desired {
    pub version: u64,
    pub keys: Vec<&'static str>,
    /// The routes' `item_ttl_s` and `max_attempts`.
    pub item_ttl_s: u64,
    pub attempts: u64,
    pub result_deadline_ms: u64,
    /// Whether there is a second service of engines, with a route `more`.
    pub has_more: bool,
}

impl Default for Desired {
    fn default() -> Self {
        Self {
            version: 3,
            keys: vec![KEY],
            item_ttl_s: 40,
            attempts: 3,
            result_deadline_ms: 7_500,
            has_more: false,
        }
    }
}

/// An item of a batch submission.
pub struct Item {
    pub id: String,
    pub group: String,
    pub events: u64,
    pub event_ms: u64,
    pub scorer: Option<String>,
}

impl Item {
    pub fn new(id: &str, group: &str, (events, event_ms): (u64, u64)) -> Self {
        let scorer = Some(format!("reward-{id}"));
        Self {
            id: id.into(),
            group: group.into(),
            events,
            event_ms,
            scorer,
        }
    }
}

impl Deployment {
    pub fn start(record: &Arc<Record>, engines: usize, desired: &Desired) -> Self {
        let deployment = Self::launch(record, engines, desired, &[]);
        deployment.wait_for("registrations", 30, || {
            let nodes = deployment.entries.len() + deployment.standbys.len();
            deployment.store.keys("ckd/members/").len() == nodes
        });
        // All machines are in touch after `contact_ms`.
        sleep(Duration::from_secs(4));
        deployment
    }

    /// Starts a deployment in which the store carries out the first write of some keys late.
    pub fn launch(record: &Arc<Record>, engines: usize, desired: &Desired, late_keys: &[&str]) -> Self {
        let folder = env::temp_dir().join(format!("deck-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is created");
        let folder = folder.to_string_lossy().into_owned();
        let store = Arc::new(Store::default());
        let desk = ("desk-1", "desks", "zone-a");
        let desk = Worker::start(desk, None, (6, Duration::from_millis(15)), &store, record);
        let engines = (1..=engines).map(|number| {
            let zone = ["zone-a", "zone-b"][number % 2];
            let name = format!("engine-{number}");
            Worker::start(
                (&name, "engines", zone),
                Some(MODEL),
                (8, Duration::ZERO),
                &store,
                record,
            )
        });
        let mut engines: Vec<Arc<Worker>> = engines.collect();
        if desired.has_more {
            let place = ("engine-x", "engines-2", "zone-a");
            engines.push(Worker::start(
                place,
                Some("model-b"),
                (8, Duration::ZERO),
                &store,
                record,
            ));
        }
        let duties = serve_duties();
        for key in late_keys {
            store.delay_write(key);
        }
        let place = (folder.as_str(), record);
        let start = |name, zone, is_entry| Node::start((name, zone), is_entry, &store, duties, place);
        let standbys = vec![start("standby-a", "zone-a", false)];
        let entries = vec![start("entry-a", "zone-a", true), start("entry-b", "zone-b", true)];
        let deployment = Self {
            store,
            record: Arc::clone(record),
            engines,
            desk,
            entries,
            standbys,
            duties,
            folder,
        };
        deployment.write_desired(desired);
        deployment.wait_for("readiness", 30, || {
            let is_led = deployment.store.get("ckd/control").is_some();
            is_led && deployment.entries.iter().all(Node::is_ready)
        });
        record.line("all entries are ready");
        deployment
    }

    pub fn write_desired(&self, desired: &Desired) {
        let Desired {
            version,
            item_ttl_s,
            attempts,
            result_deadline_ms,
            ..
        } = desired;
        let more_route = format!(
            ",{{\"name\":\"more\",\"host\":\"{HOST}\",\"prefix\":\"/more/\",\"kind\":\"rollout\",\
             \"service\":\"engines-2\",\"timeout_ms\":0,\"target_latency_ms\":400,\"priority\":1,\
             \"max_attempts\":{attempts},\"auth_exempt\":false,\"result_deadline_ms\":{result_deadline_ms},\
             \"item_ttl_s\":{item_ttl_s},\"session_affinity\":true}}"
        );
        let more_service = "{\"name\":\"engines-2\",\"health_path\":\"/health\",\"max_connections\":140,\
             \"cold_start_s\":3.0,\"cold_per_s\":18.0,\"engine\":{\"slots\":8,\"kv_cache_tokens\":90000,\
             \"models\":[{\"name\":\"model-b\"}]}},";
        let (more_route, more_service) = match desired.has_more {
            true => (more_route.as_str(), more_service),
            false => ("", ""),
        };
        let keys: Vec<String> = desired.keys.iter().map(|key| quote(key)).collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[\
             {{\"name\":\"drafts\",\"host\":\"{HOST}\",\"prefix\":\"/drafts/\",\"kind\":\"rollout\",\
             \"service\":\"engines\",\"timeout_ms\":0,\"target_latency_ms\":400,\"priority\":1,\
             \"max_attempts\":{attempts},\"auth_exempt\":false,\"result_deadline_ms\":{result_deadline_ms},\
             \"item_ttl_s\":{item_ttl_s},\"session_affinity\":true}},\
             {{\"name\":\"desk\",\"host\":\"{HOST}\",\"prefix\":\"/desk/\",\"kind\":\"safe\",\
             \"service\":\"desks\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\
             \"max_attempts\":2,\"auth_exempt\":false}},\
             {{\"name\":\"scores\",\"host\":\"{HOST}\",\"prefix\":\"/scores/\",\"kind\":\"safe\",\
             \"service\":\"desks\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\
             \"max_attempts\":4,\"auth_exempt\":true}}{more_route}],\
             \"services\":[{more_service}{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":140,\
             \"cold_start_s\":3.0,\"cold_per_s\":18.0,\"engine\":{{\"slots\":8,\"kv_cache_tokens\":90000,\
             \"models\":[{{\"name\":\"{MODEL}\"}}]}}}},\
             {{\"name\":\"desks\",\"health_path\":\"/health\",\"max_connections\":100,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"vault\",\"api_keys\":[{}],\"priority\":1}}]}}",
            keys.join(",")
        );
        self.store.put("op/config", &text);
        self.record.line(&format!("desired state {version} is confirmed"));
    }

    /// Adds a standby to the system and waits until it is registered.
    pub fn add_standby(&mut self, name: &str, zone: &str) {
        let place = (self.folder.as_str(), &self.record);
        self.standbys
            .push(Node::start((name, zone), false, &self.store, self.duties, place));
        self.record.line(&format!("{name} is started"));
        let key = format!("ckd/members/{name}");
        self.wait_for("the registration of a standby", 20, || self.store.get(&key).is_some());
    }

    /// Ends a standby for good.
    pub fn lose_standby(&mut self, name: &str) {
        self.standbys.retain(|node| node.name != name);
        self.record.line(&format!("{name} is gone for good"));
    }

    /// Names a version of the weights, as a trainer does.
    pub fn name_version(&self, version: u64) {
        let value = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        self.store.put(&format!("op/version/{MODEL}"), &value);
        self.record.line(&format!("version {version} is named"));
    }

    /// Submits a batch; returns the status, or zero without an answer.
    pub fn submit(&self, node: &Node, lot: &str, (step, min_version, wanted): (u64, u64, u64), items: &[Item]) -> u16 {
        let items: Vec<String> = items.iter().map(item_json).collect();
        let body = format!(
            "{{\"step\":{step},\"model\":\"{MODEL}\",\"min_version\":{min_version},\
             \"desired_count\":{wanted},\"items\":[{}]}}",
            items.join(",")
        );
        let headers = [("content-type", "application/json"), ("attempt-id", lot)];
        let answer = self.send(node, "POST", &format!("/drafts/{lot}"), &headers, body.as_bytes());
        self.note(node, &format!("submission of {lot}"), answer.as_ref())
    }

    /// Submits a batch of items with bodies of the given size, four in a group.
    pub fn submit_large(
        &self,
        node: &Node,
        (route, model): (&str, &str),
        lot: &str,
        (items, bytes): (usize, usize),
    ) -> u16 {
        let body = encode_base64(&vec![b'a'; bytes]);
        let items = (0..items).map(|number| {
            format!(
                "{{\"id\":\"{lot}-{number}\",\"path\":\"/{route}/3/5\",\"headers\":{{\"Model\":\"{model}\",\
                 \"Token-Count\":\"100,50\"}},\"body\":\"{body}\",\"tokens\":150,\"group\":\"{lot}-g{}\"}}",
                number / 4
            )
        });
        let items: Vec<String> = items.collect();
        let text = format!(
            "{{\"step\":1,\"model\":\"{model}\",\"min_version\":1,\"desired_count\":1,\"items\":[{}]}}",
            items.join(",")
        );
        let headers = [("content-type", "application/json"), ("attempt-id", lot)];
        let answer = self.send(node, "POST", &format!("/{route}/{lot}"), &headers, text.as_bytes());
        self.note(
            node,
            &format!("submission of {lot} with {} bytes", text.len()),
            answer.as_ref(),
        )
    }

    pub fn end(&self, node: &Node, lot: &str) -> u16 {
        let answer = self.send(node, "DELETE", &format!("/catkindeck/lots/{lot}"), &[], &[]);
        self.note(node, &format!("end of {lot}"), answer.as_ref())
    }

    /// Reads all results of a batch from the start.
    pub fn results(&self, node: &Node, lot: &str) -> Option<Vec<Json>> {
        let mut results = Vec::new();
        loop {
            let target = format!("/catkindeck/lots/{lot}?after={}", results.len());
            let answer = self.send(node, "GET", &target, &[("wait-ms", "200")], &[])?;
            if answer.status != 200 {
                return None;
            }
            let body = Json::parse(&answer.text())?;
            let page = body.get("results").list();
            if page.is_empty() {
                return Some(results);
            }
            results.extend(page.iter().cloned());
        }
    }

    /// Sends a request with the tenant's key.
    pub fn send(
        &self,
        node: &Node,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Answer> {
        self.send_with(node.front, KEY, (method, target), headers, body)
    }

    pub fn send_with(
        &self,
        address: SocketAddr,
        key: &str,
        (method, target): (&str, &str),
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Answer> {
        let mut all = vec![("host", HOST), ("credential", key)];
        all.extend_from_slice(headers);
        call(address, method, target, &all, body, CLIENT_LIMIT)
    }

    fn note(&self, node: &Node, what: &str, answer: Option<&Answer>) -> u16 {
        let status = answer.map_or(0, |answer| answer.status);
        self.record.line(&format!("{what} at {}: {status}", node.name));
        status
    }

    /// Waits for a condition.
    ///
    /// # Panics
    ///
    /// Panics if it does not come true in time, so that the case counts as one that couldn't run.
    pub fn wait_for(&self, what: &str, seconds: u64, condition: impl Fn() -> bool) {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !condition() {
            if Instant::now() >= until {
                self.record.line(&format!("waited in vain for {what}"));
                panic!("waited in vain for {what}");
            }
            sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.standbys.clear();
        match env::var("KEEP_LOGS") {
            Ok(_) => eprintln!("the logs are in {}", self.folder),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn item_json(item: &Item) -> String {
    let tokens = item.events.max(50);
    let scorer = item.scorer.as_ref().map_or(String::new(), |id| {
        format!(
            ",\"scorer\":{{\"id\":{},\"host\":\"{HOST}\",\"path\":\"/scores/{id}\",\"body\":\"{}\"}}",
            quote(id),
            encode_base64(b"score")
        )
    });
    format!(
        "{{\"id\":{id},\"path\":\"/drafts/{events}/{ms}\",\"headers\":{{\"Model\":\"{MODEL}\",\
         \"Token-Count\":\"100,{tokens}\",\"Length-Hint\":\"{events}\",\"Prompt-Prefix\":\"9c2e41:84,5d07b8:16\"}},\
         \"body\":\"{body}\",\"tokens\":{sum},\"group\":{group}{scorer}}}",
        id = quote(&item.id),
        events = item.events,
        ms = item.event_ms,
        body = encode_base64(item.id.as_bytes()),
        sum = 100 + tokens,
        group = quote(&item.group),
    )
}
