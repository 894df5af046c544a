//! Sends a request to upstreams until it is answered.

pub mod attempt;
pub mod call;
pub mod stream;

pub use {
    attempt::{AttemptOutcome, UpstreamAnswer, copy_headers},
    call::{CallOutcome, CallReport, CallTerms, PlainCall},
};
