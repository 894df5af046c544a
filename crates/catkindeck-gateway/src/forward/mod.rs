//! Carries one request to upstreams until it has an answer.

pub mod attempt;
pub mod call;
pub mod stream;

pub use {
    attempt::{AttemptOutcome, UpstreamAnswer, copy_headers},
    call::{CallOutcome, CallReport, CallTerms, PlainCall},
};
