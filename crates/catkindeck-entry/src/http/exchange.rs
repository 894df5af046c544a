//! What a handler sees of a caller's request.

use {
    super::ReplySink,
    bytes::Bytes,
    catkindeck::id::RequestId,
    http::{HeaderMap, Method, Uri},
    std::fmt,
};

/// A request whose body arrived whole.
#[derive(Clone)]
pub struct CallerRequest {
    /// The identity, drawn by this entry so that no caller can name another's request.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The target, which may hold a key and is never logged.
    pub uri: Uri,
    /// The headers, which may hold a key and are never logged.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl fmt::Debug for CallerRequest {
    /// Leaves out everything that may hold a key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerRequest")
            .field("id", &self.id)
            .field("method", &self.method)
            .field("body", &self.body.len())
            .finish_non_exhaustive()
    }
}

/// Answers requests; each call has a thread of its own and may block.
pub trait CallerHandler: Send + Sync {
    /// Answers `request` through `reply`.
    fn handle(&self, request: CallerRequest, reply: &mut dyn ReplySink);
}
