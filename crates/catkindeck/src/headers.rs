//! The HTTP headers that cross the system, by allow-lists.
//!
//! The lists name what passes and not what is removed, so that a header nobody thought of cannot
//! carry a key to an upstream (`docs/design.md`, G5). Entries and agents both apply them.

/// The request headers that reach a plain service, besides the request's identity.
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

/// The answer headers of a plain service that reach a caller.
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
