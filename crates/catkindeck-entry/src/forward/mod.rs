//! Carrying a caller's request to an agent and its answer back.
//!
//! A request has one of three outcomes: proved not run, finished, or unknown. Only the first, and
//! idempotent work, is tried again (`docs/design.md`, decisions 3 to 6).

mod answer;
mod attempt;
mod course;
mod crash;
mod forwarder;
mod homes;
mod progress;
mod resolve;
mod retry;
mod work;

pub use {
    answer::{AnswerCheck, CheckedFrame},
    crash::CrashShare,
    forwarder::{ForwardLimits, ForwardParts, RequestForwarder},
    progress::{AnswerProgress, AnswerSink},
    work::{DeliveredAnswer, ForwardEnd, ForwardWork, PeerDirectory, StaticPeers, StopCause},
};
