//! Carries one request to upstreams until it has an answer.

pub mod attempt;
pub mod call;
pub mod stream;

pub use {
    attempt::{AttemptOutcome, UpstreamAnswer},
    call::{CallEnd, CallReport, CallTerms, PlainCall},
};
