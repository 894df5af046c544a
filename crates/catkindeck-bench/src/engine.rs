//! Simulation of one engine's throughput under load.

use {
    crate::deployment::{ENGINE_COLD_MS, ENGINE_COLD_SLOTS, ENGINE_SLOTS, TOKENS_PER_MS},
    catkindeck::{Moment, message::WorkClass},
};

/// A simulated request.
#[derive(Debug, Clone, Copy)]
pub struct SimRequest {
    /// The ID, unique within a run.
    pub id: u32,
    /// The index of the customer.
    pub customer: usize,
    pub class: WorkClass,
    pub priority: u8,
    /// The number of tokens to generate.
    pub tokens: f64,
    /// The time at which its first attempt was sent.
    pub arrived_at: Moment,
    /// The time at which its caller gives up.
    pub deadline: Moment,
}

/// A request that an engine is executing.
#[derive(Debug, Clone, Copy)]
pub struct RunningRequest {
    pub request: SimRequest,
    /// The number of tokens not generated yet.
    pub remaining_tokens: f64,
    /// The time at which the engine started the request.
    pub started: Moment,
}

/// The results of one tick of an engine.
#[derive(Debug, Default)]
pub struct TickResults {
    /// The tokens generated for each request.
    pub generated: Vec<(SimRequest, f64)>,
    /// The requests that completed.
    pub completed: Vec<RunningRequest>,
    /// The requests lost in a crash.
    pub lost: Vec<SimRequest>,
}

/// An engine that divides its throughput among its requests and crashes under severe overload.
#[derive(Debug, Clone)]
pub struct SimEngine {
    /// The time of the last start, from which the engine warms up; zero if it is warm from the
    /// beginning of the run.
    pub booted_at: Moment,
    /// The number of starts, which serves as its boot ID.
    pub boot_count: u32,
    /// The speed relative to a normal host; below 1 on a slow host.
    pub speed_factor: f64,
    /// The usable fraction of the slots; below 1 while other programs use the host.
    pub slot_factor: f64,
    /// Whether excess requests slow the engine down instead of crashing it.
    pub thrashes: bool,
    /// The requests in execution.
    pub running: Vec<RunningRequest>,
    /// The number of ticks with more requests than the capacity.
    pub overloaded_ticks: u64,
    /// The number of crashes.
    pub crashes: u64,
}

impl SimEngine {
    /// Creates an engine that is warm from the beginning of the run.
    pub fn warm() -> Self {
        Self {
            booted_at: Moment(0),
            boot_count: 1,
            speed_factor: 1.0,
            slot_factor: 1.0,
            thrashes: false,
            running: Vec::new(),
            overloaded_ticks: 0,
            crashes: 0,
        }
    }

    /// Returns the number of requests that the engine can run at full speed.
    pub fn capacity(&self, now: Moment) -> f64 {
        if self.booted_at == Moment(0) {
            return f64::from(ENGINE_SLOTS) * self.slot_factor;
        }
        let warm = now.since(self.booted_at) as f64 / ENGINE_COLD_MS as f64;
        let (cold, slots) = (f64::from(ENGINE_COLD_SLOTS), f64::from(ENGINE_SLOTS));
        cold + (slots - cold) * warm.min(1.0)
    }

    /// Restarts the engine cold and returns the requests that were lost.
    pub fn restart(&mut self, now: Moment) -> Vec<SimRequest> {
        self.booted_at = now;
        self.boot_count += 1;
        let lost = std::mem::take(&mut self.running);
        lost.into_iter().map(|running| running.request).collect()
    }

    /// Starts executing a request.
    pub fn start(&mut self, now: Moment, request: SimRequest) {
        self.running.push(RunningRequest {
            request,
            remaining_tokens: request.tokens,
            started: now,
        });
    }

    /// Advances the simulation by `tick_ms` milliseconds.
    pub fn tick(&mut self, now: Moment, tick_ms: u64) -> TickResults {
        let mut results = TickResults::default();
        let capacity = self.capacity(now);
        let load = self.running.len() as f64;
        // Exceeding the capacity by up to a tenth does not overload an engine.
        if load > capacity * 1.1 + 1.0 {
            self.overloaded_ticks += 1;
        }
        if load > capacity * 1.5 + 2.0 && !self.thrashes {
            self.crashes += 1;
            results.lost = self.restart(now);
            return results;
        }
        let capacity_share = (capacity / load.max(1.0)).min(1.0);
        // A thrashing engine also loses time by swapping requests in and out of memory, which is
        // modelled as a second factor of capacity / load.
        let share = if self.thrashes {
            capacity_share * capacity_share
        } else {
            capacity_share
        } * self.speed_factor;
        let tokens_per_request = TOKENS_PER_MS * tick_ms as f64 * share;
        for running in &mut self.running {
            let tokens = tokens_per_request.min(running.remaining_tokens);
            running.remaining_tokens -= tokens;
            results.generated.push((running.request, tokens));
        }
        let is_complete = |running: &RunningRequest| running.remaining_tokens <= 1e-9;
        results.completed = self
            .running
            .iter()
            .filter(|request| is_complete(request))
            .copied()
            .collect();
        self.running.retain(|request| !is_complete(request));
        results
    }
}
