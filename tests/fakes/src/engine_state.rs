//! The settings and the state of the engine mode.

use {
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// The number of cache events that are kept.
const EVENT_LIMIT: usize = 10_000;

/// How an engine behaves; a test changes it while the engine runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The requests that generate at once; others wait by priority.
    pub slots: u32,
    /// The time of one token, in milliseconds.
    pub token_ms: u64,
    /// The time to read 1,000 bytes of a prompt whose prefix is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// The number of prefixes that the cache holds.
    pub cache_prefixes: usize,
    /// The time after a start during which the engine is cold, in milliseconds.
    pub cold_ms: u64,
    /// The requests that an engine bears just after its start; more fail with status 503.
    pub cold_slots: u32,
    /// The time after a crash during which connections are cut, in milliseconds.
    pub down_ms: u64,
    /// The version that the engine holds after a start.
    pub boot_version: u64,
    /// The time that an order takes, in milliseconds.
    pub order_ms: u64,
    /// The number of next swaps that fail.
    pub fail_swaps: u32,
    /// Whether orders with a fencing number below the highest are refused.
    pub checks_fence: bool,
    /// The age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// The age at which cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Every event whose number is a multiple of this is never published; zero loses none.
    pub event_gap: u64,
    /// A prompt that contains this text crashes the engine after its first token.
    pub crash_marker: String,
    /// Whether tokens come without their version.
    pub omit_versions: bool,
    /// Whether generation stands still.
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

/// A load report as it was at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadView {
    pub at: Instant,
    pub running: u32,
    pub queued: usize,
    pub version: u64,
}

#[derive(Debug, Clone)]
struct CacheEvent {
    at: Instant,
    sequence: u64,
    stored: bool,
    prefix: u64,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub settings: EngineSettings,
    pub boot: String,
    /// Grows with each crash; requests of an earlier epoch are gone.
    pub epoch: u64,
    pub version: u64,
    pub staged: BTreeSet<u64>,
    pub role: String,
    pub highest_fences: BTreeMap<&'static str, u64>,
    pub running: u32,
    pub cancelled: BTreeSet<String>,
    pub runs: BTreeMap<String, u64>,
    pub orders: Vec<Value>,
    pub completed: u64,
    pub cancellations: u64,
    pub abandoned: u64,
    pub overload_failures: u64,
    pub refused_orders: u64,
    max_running: u32,
    crashes: u64,
    cache_hits: u64,
    booted: Instant,
    ready_at: Instant,
    waiting: Vec<(u8, u64)>,
    next_ticket: u64,
    cache: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    loads: VecDeque<LoadView>,
}

impl EngineState {
    pub fn new(settings: EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            boot: new_boot(),
            epoch: 0,
            version: settings.boot_version,
            staged: BTreeSet::new(),
            role: "serve".to_owned(),
            highest_fences: BTreeMap::new(),
            running: 0,
            cancelled: BTreeSet::new(),
            runs: BTreeMap::new(),
            orders: Vec::new(),
            completed: 0,
            cancellations: 0,
            abandoned: 0,
            overload_failures: 0,
            refused_orders: 0,
            max_running: 0,
            crashes: 0,
            cache_hits: 0,
            booted: now,
            ready_at: now,
            waiting: Vec::new(),
            next_ticket: 0,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 1,
            loads: VecDeque::new(),
            settings,
        }
    }

    pub fn boot_header(&self) -> (&'static str, String) {
        ("x-boot-id", self.boot.clone())
    }

    pub fn is_down(&self) -> bool {
        Instant::now() < self.ready_at
    }

    /// Tells whether one more request would be too many for an engine that is still cold.
    ///
    /// What a cold engine bears grows in a line from its cold slots to all slots.
    pub fn is_overloaded_cold(&self) -> bool {
        let elapsed = u64::try_from(self.booted.elapsed().as_millis()).unwrap_or(u64::MAX);
        if elapsed >= self.settings.cold_ms {
            return false;
        }
        let growth = u64::from(self.settings.slots.saturating_sub(self.settings.cold_slots));
        let borne = u64::from(self.settings.cold_slots) + growth * elapsed / self.settings.cold_ms;
        let waiting = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        u64::from(self.running) + waiting >= borne
    }

    pub fn enqueue(&mut self, priority: u8) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push((priority, ticket));
        ticket
    }

    /// Takes a slot for the request if it is the next one.
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

    /// Uses or fills the cache and returns the time that the prompt takes, in milliseconds.
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

    /// Returns the events after a number that are old enough and not lost.
    pub fn visible_events(&self, after: u64) -> Vec<Value> {
        let lag = Duration::from_millis(self.settings.event_lag_ms);
        let gap = self.settings.event_gap;
        let lost = |sequence: u64| gap > 0 && sequence.is_multiple_of(gap);
        self.events
            .iter()
            .filter(|event| event.sequence > after && event.at.elapsed() >= lag)
            .filter(|event| !lost(event.sequence))
            .map(|event| {
                let kind = if event.stored { "stored" } else { "evicted" };
                json!({"sequence": event.sequence, "kind": kind, "prefix": event.prefix})
            })
            .collect()
    }

    /// Returns the newest load report that is old enough, or the oldest one.
    pub fn visible_load(&self) -> LoadView {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let old_enough = self
            .loads
            .iter()
            .rev()
            .find(|view| view.at.elapsed() >= lag);
        let oldest = old_enough.or(self.loads.front());
        oldest.copied().unwrap_or_else(|| self.present_load())
    }

    pub fn record_load(&mut self) {
        self.loads.push_back(self.present_load());
        if self.loads.len() > 1000 {
            self.loads.pop_front();
        }
    }

    pub fn crash(&mut self) {
        let now = Instant::now();
        self.crashes += 1;
        self.epoch += 1;
        self.boot = new_boot();
        self.booted = now;
        self.ready_at = now + Duration::from_millis(self.settings.down_ms);
        self.version = self.settings.boot_version;
        self.running = 0;
        self.waiting.clear();
        self.staged.clear();
        self.cancelled.clear();
        self.cache.clear();
        self.events.clear();
        self.next_event = 1;
        self.loads.clear();
    }

    pub fn describe(&self) -> Value {
        json!({
            "boot": self.boot,
            "version": self.version,
            "staged": self.staged,
            "role": self.role,
            "running": self.running,
            "max_running": self.max_running,
            "queued": self.waiting.len(),
            "completed": self.completed,
            "cancellations": self.cancellations,
            "abandoned": self.abandoned,
            "crashes": self.crashes,
            "cache_hits": self.cache_hits,
            "overload_failures": self.overload_failures,
            "refused_orders": self.refused_orders,
            "highest_fences": self.highest_fences,
            "orders": self.orders,
            "runs": self.runs,
        })
    }

    fn present_load(&self) -> LoadView {
        LoadView {
            at: Instant::now(),
            running: self.running,
            queued: self.waiting.len(),
            version: self.version,
        }
    }

    fn push_event(&mut self, stored: bool, prefix: u64) {
        self.events.push_back(CacheEvent {
            at: Instant::now(),
            sequence: self.next_event,
            stored,
            prefix,
        });
        self.next_event += 1;
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}

fn new_boot() -> String {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the operating system provides randomness");
    format!("engine-{:016x}", u64::from_le_bytes(bytes))
}
