//! An HTTP/1.1 server and a pooled client on one event loop.
//!
//! A gateway host has a fraction of a core and hundreds of open streams, so everything here runs as
//! local tasks on one thread, and nothing is shared between threads (`docs/platform.md`).

pub mod body;
pub mod carried;
pub mod client;
pub mod events;
pub mod exchange;
pub mod held;
pub mod intake;
pub mod link;
pub mod pool;
pub mod server;
pub mod socket;
pub mod stall;
pub mod traffic;

pub use {
    body::{BodySender, ResponseBody},
    carried::{IdentifiedRequest, RequestKey},
    client::{ClientLimits, HttpClient},
    exchange::{CompleteResponse, HttpExchange, SendError, SendPermit},
    held::{HeldBytes, HeldPart},
    link::SendGuard,
    server::{HttpHandler, HttpServer, ServerControl, ServerLimits},
    traffic::LinkTraffic,
};

/// A boxed future that is bound to the thread of its event loop.
pub type LocalFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + 'a>>;
