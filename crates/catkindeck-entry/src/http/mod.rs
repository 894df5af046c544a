//! HTTP for callers: the server and the types that the rest of the crate sees of it.
//!
//! The server is hyper with blocking handlers. astra, which serves the health address, cannot serve
//! callers: it runs the handler inside the future that drives the connection, so a request body
//! beyond the first read is never received and a streamed answer is only sent at its end. This was
//! measured with astra 0.2.0, 0.3.0 and 0.4.0: a body of 30,000 bytes hangs, and ten events made
//! 200 ms apart arrive together. `docs/http.md` describes the limits that the server enforces.

mod body;
mod exchange;
mod reply;
mod server;

pub use {
    exchange::{CallerHandler, CallerRequest},
    reply::{CallerGone, ReplySink, error_body, send_error},
    server::{CallerServer, ServerLimits},
};
