//! Sends a request to upstreams until it is answered.

pub mod attempt;
pub mod call;
pub mod stream;

pub use {
    attempt::{AttemptOutcome, UpstreamResponse, copy_headers, foreign_response, stream_fault},
    call::{CallOptions, CallOutcome, CallReport, HedgedCall},
};
