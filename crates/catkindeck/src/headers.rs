//! Allow-lists of the HTTP headers that are forwarded.
//!
//! The lists name the headers that pass rather than those that are removed, so that an unforeseen
//! header cannot carry a key to an upstream (`docs/design.md`, G5). Both entries and agents apply
//! them.

/// The request headers that are forwarded to a plain HTTP service, besides the request's identity.
pub const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-encoding",
    "accept-language",
    "content-encoding",
    "content-language",
    "content-type",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-unmodified-since",
    "range",
    "traceparent",
    "tracestate",
    "user-agent",
];

/// The response headers of a plain HTTP service that are forwarded to a caller.
pub const RESPONSE_HEADERS: [&str; 16] = [
    "accept-ranges",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "link",
    "location",
    "retry-after",
    "vary",
    "x-content-type-options",
];
