//! HTTP/1.1 server and pooled client on one event loop.
//!
//! A gateway host has a fraction of a core and hundreds of open streams, so everything here runs as
//! local tasks of one thread and nothing is shared between threads (`docs/platform.md`).

pub mod client;
pub mod events;
pub mod exchange;
pub mod pool;
pub mod reply;
pub mod server;
pub mod socket;

pub use {
    client::{ClientLimits, HttpClient},
    exchange::{CompleteResponse, HttpExchange, SendError},
    reply::{BodySender, ResponseBody},
    server::{HttpHandler, HttpServer, ServerControl, ServerLimits},
};

/// A boxed future that stays on the thread of its event loop.
pub type LocalFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + 'a>>;
