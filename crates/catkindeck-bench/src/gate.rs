//! The queue before an engine: the agent's policy or its baseline.

use {
    crate::{
        deployment::{ENGINE_COLD, ENGINE_COLD_MS, ENGINE_SLOTS, WEIGHTS, object_name},
        engine::ModelWork,
    },
    catkindeck::{
        Moment,
        id::{BootId, RequestId},
    },
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, FinishCause,
        LimitSettings,
    },
    std::collections::{BTreeMap, VecDeque},
};

/// Whether catkindeck's policies or the baselines decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Round robin, first come first served, a fixed limit, retry at once.
    Baseline,
    /// The policies of `catkindeck-policy`.
    Catkindeck,
    /// The same policies with a fixed limit.
    FixedLimit,
}

/// The number of requests queued at one agent in both cases.
const QUEUE_LIMIT: usize = 400;

/// A queue before one engine.
#[derive(Debug)]
pub enum ModelGate {
    /// First come first served with a fixed limit.
    Fifo {
        /// The requests that wait.
        queue: VecDeque<ModelWork>,
        /// The number of requests at the engine.
        running: usize,
        /// The limit.
        limit: usize,
    },
    /// The agent's admission queue.
    Fair {
        /// The queue.
        queue: Box<AdmissionQueue>,
        /// The requests that wait.
        waiting: BTreeMap<u32, ModelWork>,
        /// Tokens that are not counted yet, because counts are whole.
        parts: BTreeMap<u32, f64>,
    },
}

/// What a gate decided.
#[derive(Debug, Default)]
pub struct GateDecision {
    /// The requests to start.
    pub started: Vec<ModelWork>,
    /// The requests that are refused.
    pub refused: Vec<ModelWork>,
}

/// Returns the settings of an agent before an engine.
pub fn engine_settings(adaptive: bool) -> AdmissionSettings {
    AdmissionSettings {
        limit: LimitSettings {
            cold: ENGINE_COLD,
            warm: ENGINE_SLOTS,
            cold_start_ms: ENGINE_COLD_MS,
            adaptive,
        },
        queue_limit: QUEUE_LIMIT,
        ..AdmissionSettings::default()
    }
}

impl ModelGate {
    /// Makes a gate before a warm engine.
    pub fn new(kind: PolicyKind) -> Self {
        if kind == PolicyKind::Baseline {
            return Self::Fifo {
                queue: VecDeque::new(),
                running: 0,
                limit: ENGINE_SLOTS as usize,
            };
        }
        // A queue made with the warm limit as cold limit starts warm and keeps its place.
        let settings = engine_settings(kind != PolicyKind::FixedLimit);
        let mut warm = settings.clone();
        warm.limit.cold = ENGINE_SLOTS;
        let mut queue = AdmissionQueue::new(warm, Moment(0));
        let weights = WEIGHTS.iter().enumerate();
        queue.configure(
            settings,
            weights.map(|(customer, weight)| (customer_name(customer), *weight)),
        );
        Self::Fair {
            queue: Box::new(queue),
            waiting: BTreeMap::new(),
            parts: BTreeMap::new(),
        }
    }

    /// Offers a request; false means that it is refused and did not run.
    pub fn offer(&mut self, now: Moment, work: ModelWork) -> bool {
        match self {
            Self::Fifo { queue, .. } => {
                let room = queue.len() < QUEUE_LIMIT;
                if room {
                    queue.push_back(work);
                }
                room
            }
            Self::Fair { queue, waiting, .. } => {
                let accepted = queue.offer(now, admission(&work)).is_ok();
                if accepted {
                    waiting.insert(work.id, work);
                }
                accepted
            }
        }
    }

    /// Returns what starts and what is refused now.
    pub fn poll(&mut self, now: Moment) -> GateDecision {
        let mut decision = GateDecision::default();
        match self {
            Self::Fifo {
                queue,
                running,
                limit,
            } => {
                while *running < *limit
                    && let Some(work) = queue.pop_front()
                {
                    // A caller that gave up is noticed when its turn comes.
                    if work.deadline <= now {
                        decision.refused.push(work);
                        continue;
                    }
                    *running += 1;
                    decision.started.push(work);
                }
            }
            Self::Fair { queue, waiting, .. } => {
                for action in queue.poll(now) {
                    let (id, started) = match action {
                        AdmissionAction::Start(id) => (id, true),
                        AdmissionAction::Shed(id, _) => (id, false),
                    };
                    let Some(work) = waiting.remove(&number_of(&id)) else {
                        continue;
                    };
                    match started {
                        true => decision.started.push(work),
                        false => decision.refused.push(work),
                    }
                }
            }
        }
        decision
    }

    /// Counts tokens made for a request.
    pub fn served(&mut self, now: Moment, id: u32, tokens: f64) {
        let Self::Fair { queue, parts, .. } = self else {
            return;
        };
        let part = parts.entry(id).or_default();
        *part += tokens;
        let whole = part.floor();
        if whole >= 1.0 {
            *part -= whole;
            queue.record_service(now, &request_id(id), whole as u64);
        }
    }

    /// Ends a request at the engine.
    pub fn finish(&mut self, now: Moment, id: u32, cause: FinishCause) {
        match self {
            Self::Fifo { running, .. } => *running = running.saturating_sub(1),
            Self::Fair { queue, parts, .. } => {
                let rest = parts.remove(&id).unwrap_or(0.0);
                queue.record_service(now, &request_id(id), rest.round() as u64);
                queue.finish(now, &request_id(id), cause);
            }
        }
    }

    /// Tells the boot identity; the baseline does not look at it.
    pub fn observe_boot(&mut self, now: Moment, boots: u32) {
        if let Self::Fair { queue, .. } = self {
            queue.observe_boot(now, &BootId(boots.to_string()));
        }
    }

    /// Closes or opens the gate; the baseline's agent is not told.
    pub fn set_closed(&mut self, now: Moment, closed: bool) {
        if let Self::Fair { queue, .. } = self {
            queue.set_closed(now, closed);
        }
    }

    /// Returns limit, requests at the engine, queued requests and whether the gate is closed.
    pub fn counts(&self) -> (u32, u32, u32, bool) {
        match self {
            Self::Fifo {
                queue,
                running,
                limit,
            } => (*limit as u32, *running as u32, queue.len() as u32, false),
            Self::Fair { queue, .. } => {
                let counts = queue.counts();
                (counts.limit, counts.in_flight, counts.queued, counts.closed)
            }
        }
    }

    /// Takes a queued request out, if it is queued.
    pub fn withdraw(&mut self, id: u32) -> Option<ModelWork> {
        match self {
            Self::Fifo { queue, .. } => {
                let place = queue.iter().position(|work| work.id == id)?;
                queue.remove(place)
            }
            Self::Fair { queue, waiting, .. } => {
                queue.withdraw(&request_id(id));
                waiting.remove(&id)
            }
        }
    }
}

/// Returns a customer's name.
pub fn customer_name(customer: usize) -> catkindeck::id::ObjectName {
    object_name(&format!("customer-{customer}"))
}

fn admission(work: &ModelWork) -> AdmissionRequest {
    AdmissionRequest {
        request: request_id(work.id),
        customer: Some(customer_name(work.customer)),
        class: work.class,
        priority: work.priority,
        deadline: work.deadline,
        service_limit: 1_000_000,
        entry: None,
    }
}

fn request_id(id: u32) -> RequestId {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&id.to_be_bytes());
    RequestId(bytes)
}

fn number_of(id: &RequestId) -> u32 {
    u32::from_be_bytes([id.0[0], id.0[1], id.0[2], id.0[3]])
}
