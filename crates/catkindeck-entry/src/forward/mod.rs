//! Carrying a caller's request to an agent and its answer back.
//!
//! A request has one of three outcomes: proved not run, finished, or unknown. Only the first, and
//! idempotent work, is tried again (`docs/design.md`, decisions 3 to 6).

mod validator;
mod attempt;
mod history;
mod crash;
mod forwarder;
mod homes;
mod progress;
mod resolve;
mod retry;
mod work;

pub use {
    validator::{ResponseValidator, CheckedFrame},
    crash::CrashBroadcaster,
    forwarder::{ForwardLimits, ForwardParts, RequestForwarder},
    progress::{ResponseProgress, ResponseSink},
    work::{DeliveredResponse, ForwardError, ForwardWork, PeerDirectory, StaticPeers, StopCause},
};
