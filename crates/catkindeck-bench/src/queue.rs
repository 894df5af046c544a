//! The queue in front of an engine, with the agent's admission policy or a baseline.

use {
    crate::{
        deployment::{
            CUSTOMER_WEIGHTS, ENGINE_COLD_MS, ENGINE_COLD_SLOTS, ENGINE_SLOTS, object_name,
        },
        engine::SimRequest,
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

/// The policies that are simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Round robin, first come, first served, with a fixed concurrency limit and immediate retries.
    Baseline,
    /// The policies of `catkindeck-policy`.
    Catkindeck,
    /// The policies of `catkindeck-policy`, but with a fixed concurrency limit.
    FixedLimit,
}

/// The maximum number of requests queued at one agent, under every policy.
const QUEUE_LIMIT: usize = 400;

/// The queue in front of one engine.
#[derive(Debug)]
pub enum EngineQueue {
    /// First come, first served with a fixed concurrency limit.
    Fifo {
        queue: VecDeque<SimRequest>,
        /// The number of requests at the engine.
        running: usize,
        /// The concurrency limit.
        limit: usize,
    },
    /// The agent's admission queue.
    Fair {
        queue: Box<AdmissionQueue>,
        /// The queued requests by ID.
        waiting: BTreeMap<u32, SimRequest>,
        /// The fractions of tokens that are not reported yet, by request ID, because the queue
        /// counts whole tokens.
        token_fractions: BTreeMap<u32, f64>,
    },
}

/// The requests that left the queue.
#[derive(Debug, Default)]
pub struct QueueDecision {
    /// The requests to start at the engine.
    pub started: Vec<SimRequest>,
    /// The rejected requests.
    pub rejected: Vec<SimRequest>,
}

/// Returns the admission settings of an engine's agent.
pub fn engine_settings(adaptive: bool) -> AdmissionSettings {
    AdmissionSettings {
        limit: LimitSettings {
            cold: ENGINE_COLD_SLOTS,
            warm: ENGINE_SLOTS,
            cold_start_ms: ENGINE_COLD_MS,
            adaptive,
        },
        queue_limit: QUEUE_LIMIT,
        ..AdmissionSettings::default()
    }
}

impl EngineQueue {
    /// Creates an empty queue in front of a warm engine.
    pub fn new(kind: PolicyKind) -> Self {
        if kind == PolicyKind::Baseline {
            return Self::Fifo {
                queue: VecDeque::new(),
                running: 0,
                limit: ENGINE_SLOTS as usize,
            };
        }
        // A new admission queue starts at its cold limit. To start the run warm, the queue is
        // created with `limit.cold` set to the warm limit and then gets its actual settings.
        let settings = engine_settings(kind != PolicyKind::FixedLimit);
        let mut warm = settings.clone();
        warm.limit.cold = ENGINE_SLOTS;
        let mut queue = AdmissionQueue::new(warm, Moment(0));
        let weights = CUSTOMER_WEIGHTS.iter().enumerate();
        queue.configure(
            settings,
            weights.map(|(customer, weight)| (customer_name(customer), *weight)),
        );
        Self::Fair {
            queue: Box::new(queue),
            waiting: BTreeMap::new(),
            token_fractions: BTreeMap::new(),
        }
    }

    /// Enqueues a request and returns whether it was accepted.
    pub fn enqueue(&mut self, now: Moment, request: SimRequest) -> bool {
        match self {
            Self::Fifo { queue, .. } => {
                let room = queue.len() < QUEUE_LIMIT;
                if room {
                    queue.push_back(request);
                }
                room
            }
            Self::Fair { queue, waiting, .. } => {
                let accepted = queue.offer(now, admission_request(&request)).is_ok();
                if accepted {
                    waiting.insert(request.id, request);
                }
                accepted
            }
        }
    }

    /// Returns the requests that can start now and those that are rejected.
    pub fn poll(&mut self, now: Moment) -> QueueDecision {
        let mut decision = QueueDecision::default();
        match self {
            Self::Fifo {
                queue,
                running,
                limit,
            } => {
                while *running < *limit
                    && let Some(request) = queue.pop_front()
                {
                    // The baseline drops an expired request only when it reaches the front.
                    if request.deadline <= now {
                        decision.rejected.push(request);
                        continue;
                    }
                    *running += 1;
                    decision.started.push(request);
                }
            }
            Self::Fair { queue, waiting, .. } => {
                for action in queue.poll(now) {
                    let (id, started) = match action {
                        AdmissionAction::Start(id) => (id, true),
                        AdmissionAction::Shed(id, _) => (id, false),
                    };
                    let Some(request) = waiting.remove(&numeric_id(&id)) else {
                        continue;
                    };
                    match started {
                        true => decision.started.push(request),
                        false => decision.rejected.push(request),
                    }
                }
            }
        }
        decision
    }

    /// Reports tokens generated for a request to the admission policy; the baseline ignores them.
    pub fn record_tokens(&mut self, now: Moment, id: u32, tokens: f64) {
        let Self::Fair {
            queue,
            token_fractions,
            ..
        } = self
        else {
            return;
        };
        let fraction = token_fractions.entry(id).or_default();
        *fraction += tokens;
        let whole_tokens = fraction.floor();
        if whole_tokens >= 1.0 {
            *fraction -= whole_tokens;
            queue.record_service(now, &request_id(id), whole_tokens as u64);
        }
    }

    /// Reports that a request has left the engine.
    pub fn finish(&mut self, now: Moment, id: u32, cause: FinishCause) {
        match self {
            Self::Fifo { running, .. } => *running = running.saturating_sub(1),
            Self::Fair {
                queue,
                token_fractions,
                ..
            } => {
                let remaining_fraction = token_fractions.remove(&id).unwrap_or(0.0);
                queue.record_service(now, &request_id(id), remaining_fraction.round() as u64);
                queue.finish(now, &request_id(id), cause);
            }
        }
    }

    /// Reports the engine's boot ID; the baseline ignores it.
    pub fn observe_boot(&mut self, now: Moment, boot_count: u32) {
        if let Self::Fair { queue, .. } = self {
            queue.observe_boot(now, &BootId(boot_count.to_string()));
        }
    }

    /// Closes or opens the queue; the baseline ignores it.
    pub fn set_closed(&mut self, now: Moment, closed: bool) {
        if let Self::Fair { queue, .. } = self {
            queue.set_closed(now, closed);
        }
    }

    /// Returns the concurrency limit, the number of requests at the engine, the number of queued
    /// requests and whether the queue is closed.
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

    /// Removes a request from the queue, if it is queued.
    pub fn withdraw(&mut self, id: u32) -> Option<SimRequest> {
        match self {
            Self::Fifo { queue, .. } => {
                let position = queue.iter().position(|request| request.id == id)?;
                queue.remove(position)
            }
            Self::Fair { queue, waiting, .. } => {
                queue.withdraw(&request_id(id));
                waiting.remove(&id)
            }
        }
    }
}

pub fn customer_name(customer: usize) -> catkindeck::id::ObjectName {
    object_name(&format!("customer-{customer}"))
}

fn admission_request(request: &SimRequest) -> AdmissionRequest {
    AdmissionRequest {
        request: request_id(request.id),
        customer: Some(customer_name(request.customer)),
        class: request.class,
        priority: request.priority,
        deadline: request.deadline,
        service_limit: 1_000_000,
        entry: None,
    }
}

fn request_id(id: u32) -> RequestId {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&id.to_be_bytes());
    RequestId(bytes)
}

fn numeric_id(id: &RequestId) -> u32 {
    u32::from_be_bytes([id.0[0], id.0[1], id.0[2], id.0[3]])
}
