//! A model of one engine's speed under load.

use {
    crate::deployment::{ENGINE_COLD, ENGINE_COLD_MS, ENGINE_SLOTS, TOKENS_PER_MS},
    catkindeck::{Moment, message::WorkClass},
};

/// A request of a model.
#[derive(Debug, Clone, Copy)]
pub struct ModelWork {
    /// The number, unique within a run.
    pub id: u32,
    /// The customer's index.
    pub customer: usize,
    /// The class.
    pub class: WorkClass,
    /// The priority.
    pub priority: u8,
    /// The tokens to make.
    pub tokens: f64,
    /// When it was first sent.
    pub arrived: Moment,
    /// When its caller gives up.
    pub deadline: Moment,
}

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct RunningWork {
    /// The request.
    pub work: ModelWork,
    /// The tokens that are left.
    pub left: f64,
    /// When it was started.
    pub started: Moment,
}

/// What an engine did in one tick.
#[derive(Debug, Default)]
pub struct EngineTick {
    /// Requests with the tokens made for them.
    pub served: Vec<(ModelWork, f64)>,
    /// Requests that ended, with the time of their start.
    pub ended: Vec<RunningWork>,
    /// Requests lost in a crash.
    pub lost: Vec<ModelWork>,
}

/// An engine that shares its speed among its requests and crashes when it is far overloaded.
#[derive(Debug, Clone)]
pub struct ModelEngine {
    /// When it was started; it warms up from then.
    pub booted: Moment,
    /// The number of starts, which is its boot identity.
    pub boots: u32,
    /// The factor on its speed; below 1 for a slow host.
    pub speed: f64,
    /// The factor on the number of requests that it bears; below 1 while others use its host.
    pub slots: f64,
    /// Whether it gets slower with each request too many instead of crashing.
    pub thrashes: bool,
    /// The requests at it.
    pub running: Vec<RunningWork>,
    /// The ticks in which it had more requests than it bears.
    pub overloaded_ticks: u64,
    /// The number of crashes.
    pub crashes: u64,
}

impl ModelEngine {
    /// Makes an engine that has been warm for long.
    pub fn warm() -> Self {
        Self {
            booted: Moment(0),
            boots: 1,
            speed: 1.0,
            slots: 1.0,
            thrashes: false,
            running: Vec::new(),
            overloaded_ticks: 0,
            crashes: 0,
        }
    }

    /// Returns the number of requests that it bears at full speed.
    pub fn capacity(&self, now: Moment) -> f64 {
        if self.booted == Moment(0) {
            return f64::from(ENGINE_SLOTS) * self.slots;
        }
        let warm = now.since(self.booted) as f64 / ENGINE_COLD_MS as f64;
        let (cold, slots) = (f64::from(ENGINE_COLD), f64::from(ENGINE_SLOTS));
        cold + (slots - cold) * warm.min(1.0)
    }

    /// Makes it cold, losing what runs.
    pub fn restart(&mut self, now: Moment) -> Vec<ModelWork> {
        self.booted = now;
        self.boots += 1;
        let lost = std::mem::take(&mut self.running);
        lost.into_iter().map(|running| running.work).collect()
    }

    /// Starts a request.
    pub fn start(&mut self, now: Moment, work: ModelWork) {
        self.running.push(RunningWork {
            work,
            left: work.tokens,
            started: now,
        });
    }

    /// Runs for `tick_ms`.
    pub fn tick(&mut self, now: Moment, tick_ms: u64) -> EngineTick {
        let mut tick = EngineTick::default();
        let capacity = self.capacity(now);
        let load = self.running.len() as f64;
        // A tenth is within what an engine takes without harm.
        if load > capacity * 1.1 + 1.0 {
            self.overloaded_ticks += 1;
        }
        if load > capacity * 1.5 + 2.0 && !self.thrashes {
            self.crashes += 1;
            tick.lost = self.restart(now);
            return tick;
        }
        let fair = (capacity / load.max(1.0)).min(1.0);
        // A thrashing engine loses as much again by moving requests in and out of its memory.
        let share = if self.thrashes { fair * fair } else { fair } * self.speed;
        let made = TOKENS_PER_MS * tick_ms as f64 * share;
        for running in &mut self.running {
            let tokens = made.min(running.left);
            running.left -= tokens;
            tick.served.push((running.work, tokens));
        }
        let ended = |running: &RunningWork| running.left <= 1e-9;
        tick.ended = self
            .running
            .iter()
            .filter(|work| ended(work))
            .copied()
            .collect();
        self.running.retain(|work| !ended(work));
        tick
    }
}
