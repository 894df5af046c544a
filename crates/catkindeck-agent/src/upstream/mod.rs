//! Clients for the upstream of an agent, with a common trait for engines and plain services.

mod engine;
mod http;
mod plain;

pub use {engine::EngineUpstream, plain::PlainUpstream};

use {
    crate::settings::{AgentTimeouts, UpstreamSettings},
    catkindeck::{
        ServiceError,
        config::ServiceKind,
        id::{BootId, RequestId},
        message::{ExecuteRequest, OrderKind},
        token::WeightVersion,
    },
    std::{sync::Arc, time::Duration},
};

/// Sends requests, orders and probes to an upstream.
pub trait UpstreamClient: Send + Sync {
    /// Runs a request for at most `limit` and passes the response to `sink`.
    fn run(
        &self,
        request: &ExecuteRequest,
        limit: Duration,
        sink: &mut dyn ResponseSink,
    ) -> UpstreamOutcome;

    /// Cancels a running request. Has no effect for upstreams that cannot cancel requests.
    fn cancel(&self, request: &RequestId);

    /// Sends an order to the upstream.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if the upstream knows a higher fencing token, `upstream_failed` with
    /// `unknown` if it failed or cannot be reached, and `bad_request` if it does not support the
    /// order.
    fn order(&self, kind: &OrderKind, fence: u64) -> Result<(), ServiceError>;

    /// Reads the boot ID, the weight version and the cache changes after the event with number
    /// `events_after`, as far as the upstream reports them.
    fn probe(&self, events_after: u64) -> ProbeOutcome;
}

/// Receives the parts of a response while the request runs.
pub trait ResponseSink {
    /// Receives the upstream's boot ID, before any other part of the response.
    fn boot(&mut self, boot: BootId);

    /// Receives the status and headers of a plain service's response.
    fn head(&mut self, status: u16, headers: Vec<(String, String)>) -> StreamControl;

    /// Receives the next bytes of the body. For a plain service, `tokens` is zero.
    fn chunk(&mut self, bytes: &[u8], tokens: u32, version: Option<WeightVersion>)
    -> StreamControl;
}

/// Whether a response is still needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamControl {
    Continue,
    /// Cancel the request.
    Stop,
}

/// The outcome of running a request at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The response is complete.
    Complete,
    /// The request was cancelled.
    Stopped,
    /// The request certainly did not reach the upstream.
    NotSent(ServiceError),
    /// The request failed and may have reached the upstream.
    Failed {
        /// The error, whose execution outcome is `unknown`.
        error: ServiceError,
        /// Whether the upstream closed the connection, as it does when it crashes.
        crashed: bool,
    },
}

/// The outcome of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeOutcome {
    Report(ProbeReport),
    /// The upstream is reachable, but returned no usable report.
    Reachable,
    /// The upstream did not respond in time, which also happens when it is busy.
    TimedOut,
    /// The upstream cannot be reached or closes connections.
    Unreachable(String),
}

/// An upstream's response to a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReport {
    pub boot: BootId,
    /// The weight version that the engine reported, which may be outdated.
    pub version: Option<WeightVersion>,
    /// The cache changes, in ascending order of their sequence numbers.
    pub cache: Vec<CacheChange>,
}

/// A change of the engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// The sequence number of the event, which increases within one boot.
    pub sequence: u64,
    /// The digest of the prefix, as returned by [`catkindeck::message::prefix_digest`].
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Creates the client for the configured kind of upstream.
pub fn build_client(
    settings: &UpstreamSettings,
    timeouts: &AgentTimeouts,
) -> Arc<dyn UpstreamClient> {
    match settings.kind {
        ServiceKind::Engine => Arc::new(EngineUpstream::new(settings, timeouts)),
        ServiceKind::Plain => Arc::new(PlainUpstream::new(settings, timeouts)),
    }
}
