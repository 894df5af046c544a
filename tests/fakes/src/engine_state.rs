//! The settings and the state of the fake engine.

use {
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// The maximum number of retained cache events.
const CACHE_EVENT_LIMIT: usize = 10_000;

/// The behavior and the faults of a fake engine, which can change while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The number of requests that run concurrently; others wait in order of priority.
    pub slots: u32,
    /// The decoding time of one token, in milliseconds.
    pub token_ms: u64,
    /// The prefill time for 1,000 bytes of a prompt whose prefix is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// The capacity of the prefix cache.
    pub cache_prefixes: usize,
    /// The time from a start until the engine is warm, in milliseconds.
    pub cold_ms: u64,
    /// The capacity just after a start, in requests; requests beyond it fail with status 503.
    pub cold_slots: u32,
    /// The time after a crash during which connections are closed at once, in milliseconds.
    pub down_ms: u64,
    /// The weight version after a start.
    pub boot_version: u64,
    /// The duration of a control order, in milliseconds.
    pub order_ms: u64,
    /// The number of subsequent weight swaps that fail.
    pub fail_swaps: u32,
    /// Whether orders with a fencing token below the highest one seen are rejected.
    pub checks_fence: bool,
    /// The minimum age of published load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// The delay before cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this are never published; 0 means that
    /// all events are published.
    pub event_gap: u64,
    /// The text in a prompt that crashes the engine after the first token; if it is empty, no
    /// prompt crashes the engine.
    pub crash_marker: String,
    /// Whether tokens are sent without their weight version.
    pub omit_versions: bool,
    /// Whether generation is suspended.
    pub frozen: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            token_ms: 1,
            prefill_ms: 0,
            cache_prefixes: 32,
            cold_ms: 0,
            cold_slots: 2,
            down_ms: 0,
            boot_version: 1,
            order_ms: 0,
            fail_swaps: 0,
            checks_fence: false,
            load_lag_ms: 0,
            event_lag_ms: 0,
            event_gap: 0,
            crash_marker: "crash-the-engine".to_owned(),
            omit_versions: false,
            frozen: false,
        }
    }
}

/// The load at one point in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadSnapshot {
    pub recorded_at: Instant,
    pub running: u32,
    pub queued: usize,
    pub version: u64,
}

#[derive(Debug, Clone)]
struct CacheEvent {
    recorded_at: Instant,
    sequence: u64,
    stored: bool,
    prefix: u64,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub settings: EngineSettings,
    pub boot_id: String,
    /// The number of crashes so far; requests of an earlier epoch were lost in a crash.
    pub epoch: u64,
    pub version: u64,
    pub staged: BTreeSet<u64>,
    pub role: String,
    pub highest_fencing_tokens: BTreeMap<&'static str, u64>,
    pub running: u32,
    pub cancelled: BTreeSet<String>,
    pub execution_counts: BTreeMap<String, u64>,
    pub orders: Vec<Value>,
    pub completed: u64,
    pub cancellations: u64,
    /// The number of requests whose client closed the connection before the response was complete.
    pub abandoned_requests: u64,
    pub overload_failures: u64,
    pub rejected_orders: u64,
    max_running: u32,
    crashes: u64,
    cache_hits: u64,
    booted_at: Instant,
    ready_at: Instant,
    /// The priorities and tickets of the queued requests; equal priorities run in ticket order.
    waiting: Vec<(u8, u64)>,
    next_ticket: u64,
    cache: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    load_snapshots: VecDeque<LoadSnapshot>,
}

impl EngineState {
    pub fn new(settings: EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            boot_id: new_boot_id(),
            epoch: 0,
            version: settings.boot_version,
            staged: BTreeSet::new(),
            role: "serve".to_owned(),
            highest_fencing_tokens: BTreeMap::new(),
            running: 0,
            cancelled: BTreeSet::new(),
            execution_counts: BTreeMap::new(),
            orders: Vec::new(),
            completed: 0,
            cancellations: 0,
            abandoned_requests: 0,
            overload_failures: 0,
            rejected_orders: 0,
            max_running: 0,
            crashes: 0,
            cache_hits: 0,
            booted_at: now,
            ready_at: now,
            waiting: Vec::new(),
            next_ticket: 0,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 1,
            load_snapshots: VecDeque::new(),
            settings,
        }
    }

    pub fn boot_header(&self) -> (&'static str, String) {
        ("x-boot-id", self.boot_id.clone())
    }

    pub fn is_down(&self) -> bool {
        Instant::now() < self.ready_at
    }

    /// Returns whether one more request would exceed the capacity of a cold engine.
    ///
    /// The capacity grows linearly from `cold_slots` to `slots` within `cold_ms`.
    pub fn exceeds_cold_capacity(&self) -> bool {
        let elapsed = u64::try_from(self.booted_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        if elapsed >= self.settings.cold_ms {
            return false;
        }
        let growth = u64::from(self.settings.slots.saturating_sub(self.settings.cold_slots));
        let capacity =
            u64::from(self.settings.cold_slots) + growth * elapsed / self.settings.cold_ms;
        let waiting = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        u64::from(self.running) + waiting >= capacity
    }

    pub fn enqueue(&mut self, priority: u8) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push((priority, ticket));
        ticket
    }

    /// Assigns a free slot to the request if it is first in the queue.
    pub fn take_slot(&mut self, ticket: u64) -> bool {
        if self.running >= self.settings.slots {
            return false;
        }
        let next = self
            .waiting
            .iter()
            .min_by_key(|(priority, ticket)| (std::cmp::Reverse(*priority), *ticket));
        if next.is_none_or(|(_, next)| *next != ticket) {
            return false;
        }
        self.waiting.retain(|(_, other)| *other != ticket);
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        true
    }

    /// Looks up the prefix in the cache, adds it on a miss, and returns the prefill time in
    /// milliseconds.
    pub fn prefill(&mut self, prefix: u64, length: usize) -> u64 {
        if self.cache.contains(&prefix) {
            self.cache_hits += 1;
            self.cache.retain(|other| *other != prefix);
            self.cache.push_back(prefix);
            return 0;
        }
        self.cache.push_back(prefix);
        self.push_event(true, prefix);
        while self.cache.len() > self.settings.cache_prefixes {
            if let Some(evicted) = self.cache.pop_front() {
                self.push_event(false, evicted);
            }
        }
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        self.settings.prefill_ms.saturating_mul(length) / 1000
    }

    /// Returns the cache events with a sequence number above `after`, except those that are not
    /// published yet (`event_lag_ms`) or never (`event_gap`).
    pub fn published_events(&self, after: u64) -> Vec<Value> {
        let lag = Duration::from_millis(self.settings.event_lag_ms);
        let gap = self.settings.event_gap;
        let lost = |sequence: u64| gap > 0 && sequence.is_multiple_of(gap);
        self.events
            .iter()
            .filter(|event| event.sequence > after && event.recorded_at.elapsed() >= lag)
            .filter(|event| !lost(event.sequence))
            .map(|event| {
                let kind = if event.stored { "stored" } else { "evicted" };
                json!({"sequence": event.sequence, "kind": kind, "prefix": event.prefix})
            })
            .collect()
    }

    /// Returns the newest load snapshot that is at least `load_lag_ms` old, or else the oldest one.
    pub fn published_load(&self) -> LoadSnapshot {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let old_enough = self
            .load_snapshots
            .iter()
            .rev()
            .find(|load| load.recorded_at.elapsed() >= lag);
        let published = old_enough.or(self.load_snapshots.front());
        published.copied().unwrap_or_else(|| self.current_load())
    }

    pub fn record_load(&mut self) {
        self.load_snapshots.push_back(self.current_load());
        if self.load_snapshots.len() > 1000 {
            self.load_snapshots.pop_front();
        }
    }

    pub fn crash(&mut self) {
        let now = Instant::now();
        self.crashes += 1;
        self.epoch += 1;
        self.boot_id = new_boot_id();
        self.booted_at = now;
        self.ready_at = now + Duration::from_millis(self.settings.down_ms);
        self.version = self.settings.boot_version;
        self.running = 0;
        self.waiting.clear();
        self.staged.clear();
        self.cancelled.clear();
        self.cache.clear();
        self.events.clear();
        self.next_event = 1;
        self.load_snapshots.clear();
    }

    pub fn describe(&self) -> Value {
        json!({
            "boot": self.boot_id,
            "version": self.version,
            "staged": self.staged,
            "role": self.role,
            "running": self.running,
            "max_running": self.max_running,
            "queued": self.waiting.len(),
            "completed": self.completed,
            "cancellations": self.cancellations,
            "abandoned": self.abandoned_requests,
            "crashes": self.crashes,
            "cache_hits": self.cache_hits,
            "overload_failures": self.overload_failures,
            "refused_orders": self.rejected_orders,
            "highest_fences": self.highest_fencing_tokens,
            "orders": self.orders,
            "runs": self.execution_counts,
        })
    }

    fn current_load(&self) -> LoadSnapshot {
        LoadSnapshot {
            recorded_at: Instant::now(),
            running: self.running,
            queued: self.waiting.len(),
            version: self.version,
        }
    }

    fn push_event(&mut self, stored: bool, prefix: u64) {
        self.events.push_back(CacheEvent {
            recorded_at: Instant::now(),
            sequence: self.next_event,
            stored,
            prefix,
        });
        self.next_event += 1;
        if self.events.len() > CACHE_EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}

fn new_boot_id() -> String {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system provides randomness");
    format!("engine-{:016x}", u64::from_le_bytes(bytes))
}
