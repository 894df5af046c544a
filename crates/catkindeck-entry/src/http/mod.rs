//! HTTP for callers: the server and the types that the rest of the crate sees of it.
//!
//! The server is hyper with blocking handlers; `docs/http.md` says why it is not astra, and which
//! limits the server enforces.

mod body;
mod exchange;
mod reply;
mod server;

pub use {
    exchange::{CallerHandler, CallerRequest},
    reply::{CallerGone, ReplySink, error_body, send_error},
    server::{CallerServer, ServerLimits},
};
