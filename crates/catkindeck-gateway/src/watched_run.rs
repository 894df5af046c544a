//! Runs of callers' requests, watched from the send to the end (`docs/design/crashing-requests.md`).

use {
    crate::{caller_handler::AdmittedRequest, core::GatewayCore, upstream_guard::UpstreamGuard},
    catkindeck::{Moment, SortedMap, id::BodyDigest},
    catkindeck_policy::direct::UpstreamKey,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// How a run ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// Its connection broke before any content of the answer.
    Broken,
    /// Nothing of the answer came until the request was given up.
    Silent,
    /// The answer was not the request's own, or only a part of it.
    Incomplete,
}

impl RunEnd {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Incomplete => "incomplete",
        }
    }
}

/// How a request is sent to an upstream.
#[derive(Debug, Default)]
pub struct SendState {
    /// Whether the request may have been written.
    pub is_sent: Cell<bool>,
}

/// A run of a caller's request.
pub struct RunState {
    pub request: Rc<AdmittedRequest>,
    /// The instance of the upstream.
    pub upstream: UpstreamKey,
    /// When the request was assigned to it.
    pub begun: Moment,
    /// Whether the connection was opened for the run, which shows that the upstream lived then.
    pub is_fresh: bool,
    send: Rc<SendState>,
    /// Whether the upstream showed by its answer that it runs the request.
    has_content: Cell<bool>,
}

/// The runs of callers' requests that are in progress.
#[derive(Default)]
pub struct RunningRuns {
    /// In order of their keys.
    runs: RefCell<SortedMap<u64, Rc<RunState>>>,
    last_key: Cell<u64>,
}

impl RunningRuns {
    /// Returns whether a run of a request is in progress.
    pub fn has(&self, digest: &BodyDigest) -> bool {
        let runs = self.runs.borrow();
        let mut states = runs.values();
        states.any(|state| state.request.digest() == digest)
    }

    /// Returns the runs at an instance that were sent and of which no content has come.
    pub fn unanswered(&self, upstream: UpstreamKey) -> Vec<Rc<RunState>> {
        let runs = self.runs.borrow();
        let states = runs.values().filter(|state| {
            state.upstream == upstream && state.send.is_sent.get() && !state.has_content.get()
        });
        states.map(Rc::clone).collect()
    }

    fn add(&self, state: &Rc<RunState>) -> u64 {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        self.runs.borrow_mut().insert(key, Rc::clone(state));
        key
    }

    fn remove(&self, key: u64) {
        self.runs.borrow_mut().remove(&key);
    }
}

/// Watches a run until its end is known. If it is dropped before, the run has ended in silence.
pub struct WatchedRun {
    core: Rc<GatewayCore>,
    key: u64,
    state: Rc<RunState>,
}

impl WatchedRun {
    pub fn new(
        core: &Rc<GatewayCore>,
        request: &Rc<AdmittedRequest>,
        guard: &UpstreamGuard,
        is_fresh: bool,
    ) -> Self {
        let state = Rc::new(RunState {
            request: Rc::clone(request),
            upstream: guard.key,
            begun: guard.begun,
            is_fresh,
            send: Rc::clone(&guard.send),
            has_content: Cell::new(false),
        });
        let key = core.crashes.running.add(&state);
        Self {
            core: Rc::clone(core),
            key,
            state,
        }
    }

    /// Records that a part of the answer arrived by which the upstream shows that it runs the request.
    pub fn record_content(&self) {
        self.state.has_content.set(true);
    }

    /// Ends the watch of a run that says nothing about the upstream: it is answered, was refused or was not sent.
    pub fn settle(self) {
        self.state.send.is_sent.set(false);
    }

    /// Ends the watch of a run without a complete answer.
    pub fn end(self, end: RunEnd) {
        self.core.record_run_end(&self.state, end);
        self.settle();
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        self.core.crashes.running.remove(self.key);
        // A stream that its caller leaves in the middle was alive.
        if self.state.send.is_sent.get() && !self.state.has_content.get() {
            self.core.record_run_end(&self.state, RunEnd::Silent);
        }
        self.core.crashes.settled.notify_waiters();
    }
}
