//! The upstream beside the agent, behind one trait for engines and plain services.

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

/// The only path to an upstream.
pub trait UpstreamClient: Send + Sync {
    /// Runs a request and reports what arrives, within `limit`.
    fn run(
        &self,
        request: &ExecuteRequest,
        limit: Duration,
        events: &mut dyn UpstreamEvents,
    ) -> UpstreamEnd;

    /// Asks the upstream to stop a request; upstreams without that ability ignore it.
    fn cancel(&self, request: &RequestId);

    /// Gives an order to the upstream.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if the upstream knows a higher fencing number, `upstream_failed` with
    /// `unknown` if it failed or was not reached, and `bad_request` if it takes no such orders.
    fn order(&self, kind: &OrderKind, fence: u64) -> Result<(), ServiceError>;

    /// Reads boot identity, version and cache changes as far as the upstream reports them.
    fn probe(&self, events_after: u64) -> ProbeOutcome;
}

/// Takes what arrives while a request runs.
pub trait UpstreamEvents {
    /// Takes the boot identity, before anything else of the answer.
    fn boot(&mut self, boot: BootId);

    /// Takes status and headers of a plain service's answer.
    fn head(&mut self, status: u16, headers: Vec<(String, String)>) -> StreamFlow;

    /// Takes the next bytes; `tokens` is zero for a plain service.
    fn chunk(&mut self, bytes: &[u8], tokens: u32, version: Option<WeightVersion>) -> StreamFlow;
}

/// Whether a request goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFlow {
    /// The answer is still wanted.
    Continue,
    /// The request is to be stopped.
    Stop,
}

/// How a request at the upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// The answer is whole.
    Complete,
    /// The request was stopped.
    Stopped,
    /// It is proved that nothing reached the upstream.
    NotSent(ServiceError),
    /// The upstream failed after the request may have reached it.
    Failed {
        /// The error, with `unknown`.
        error: ServiceError,
        /// Whether the upstream broke the connection, as it does when it crashes.
        crashed: bool,
    },
}

/// What a probe of the upstream found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream's report.
    Report(UpstreamProbe),
    /// The upstream can be reached and gives no usable report.
    Reachable,
    /// The upstream did not answer in time, which also happens when it is busy.
    Late,
    /// The upstream cannot be reached or cuts connections.
    Unreachable(String),
}

/// A report of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamProbe {
    /// The boot identity.
    pub boot: BootId,
    /// The version in use, as far as the engine's lagging report tells.
    pub version: Option<WeightVersion>,
    /// Cache changes in order of their number.
    pub cache: Vec<CacheChange>,
}

/// A change of the engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// The number, which grows within one boot.
    pub sequence: u64,
    /// The digest of the prefix, as by [`catkindeck::message::prefix_digest`].
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Makes the client for the kind of upstream.
pub fn build_client(
    settings: &UpstreamSettings,
    timeouts: &AgentTimeouts,
) -> Arc<dyn UpstreamClient> {
    match settings.kind {
        ServiceKind::Engine => Arc::new(EngineUpstream::new(settings, timeouts)),
        ServiceKind::Plain => Arc::new(PlainUpstream::new(settings, timeouts)),
    }
}
