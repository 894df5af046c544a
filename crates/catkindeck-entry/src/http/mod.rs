//! The HTTP server for callers and operators, and the types it shares with the rest of the crate.
//!
//! The server uses hyper with blocking handlers; `docs/http.md` explains why it does not use astra,
//! and which limits the server enforces.

mod body;
mod handler;
mod response;
mod server;

pub use {
    handler::{CallerRequest, RequestHandler},
    response::{CallerDisconnected, ResponseWriter, error_body, send_error},
    server::{HttpServer, ServerLimits},
};
