//! Forwarding a caller's request to an agent and returning the response.
//!
//! The outcome of a request is proved not run, finished, or unknown. A request is retried only if
//! it is proved not run or the work is idempotent (`docs/design.md`, decisions 3 to 6).

mod attempt;
mod crash;
mod forwarder;
mod history;
mod homes;
mod progress;
mod resolve;
mod retry;
mod validator;
mod work;

pub use {
    crash::CrashBroadcaster,
    forwarder::{ForwardLimits, ForwardParts, RequestForwarder},
    progress::{ResponseProgress, ResponseSink},
    validator::{ResponseValidator, ValidatedFrame},
    work::{DeliveredResponse, ForwardError, ForwardWork, PeerDirectory, StaticPeers, StopCause},
};
