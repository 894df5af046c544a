//! The identifiers of the requests that a connection has carried.
//!
//! A faulty server may send a response a second time when the next request arrives. The identifier in a response tells
//! the requests of a connection apart, but not two requests with the same identifier. A connection therefore never
//! carries an identifier twice (`docs/design/repeated-responses.md`).

use {
    bytes::Bytes,
    http::Request,
    std::hash::{DefaultHasher, Hasher},
};

/// The number of requests after which a connection is closed, which bounds the memory for their identifiers.
pub const MAX_CARRIED_REQUESTS: usize = 1_024;

/// The hash of a request's identifier. Identifiers that share a hash cost a connection and nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey(u64);

impl RequestKey {
    pub fn new(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        hasher.write(id.as_bytes());
        Self(hasher.finish())
    }
}

/// A request whose identifier the server returns in its response.
#[derive(Debug)]
pub struct IdentifiedRequest {
    pub key: RequestKey,
    pub request: Request<Bytes>,
}

impl IdentifiedRequest {
    pub fn new(id: &str, request: Request<Bytes>) -> Self {
        Self {
            key: RequestKey::new(id),
            request,
        }
    }
}

/// The requests that a connection has carried, in ascending order of their keys.
#[derive(Debug, Default)]
pub struct CarriedRequests(Vec<RequestKey>);

impl CarriedRequests {
    pub fn contains(&self, key: RequestKey) -> bool {
        self.0.binary_search(&key).is_ok()
    }

    pub fn record(&mut self, key: RequestKey) {
        if let Err(index) = self.0.binary_search(&key) {
            self.0.insert(index, key);
        }
    }

    /// Returns whether the connection must carry no further request.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_CARRIED_REQUESTS
    }
}
