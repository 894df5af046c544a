//! Log events 2000 to 2999, see `docs/events.md`.

use {catkindeck::log::LogEvent, slog::Level};

/// The agent started.
pub const AGENT_STARTED: LogEvent = LogEvent {
    number: 2000,
    name: "agent_started",
    level: Level::Info,
    text: "the agent started",
};

/// A configuration came into use.
pub const CONFIGURATION_APPLIED: LogEvent = LogEvent {
    number: 2001,
    name: "configuration_applied",
    level: Level::Info,
    text: "a configuration came into use",
};

/// A configuration could not be fetched from a peer.
pub const CONFIGURATION_NOT_FETCHED: LogEvent = LogEvent {
    number: 2002,
    name: "configuration_not_fetched",
    level: Level::Warning,
    text: "a configuration could not be fetched from a peer",
};

/// The upstream has a new boot identity.
pub const UPSTREAM_BOOTED: LogEvent = LogEvent {
    number: 2003,
    name: "upstream_booted",
    level: Level::Info,
    text: "the upstream has a new boot identity and counts as cold",
};

/// The upstream failed while it handled a request.
pub const UPSTREAM_FAILED: LogEvent = LogEvent {
    number: 2004,
    name: "upstream_failed",
    level: Level::Warning,
    text: "the upstream failed while it handled a request",
};

/// The upstream does not answer reports.
pub const UPSTREAM_UNREACHABLE: LogEvent = LogEvent {
    number: 2005,
    name: "upstream_unreachable",
    level: Level::Warning,
    text: "the upstream does not answer",
};

/// The upstream answers reports again.
pub const UPSTREAM_REACHABLE: LogEvent = LogEvent {
    number: 2006,
    name: "upstream_reachable",
    level: Level::Info,
    text: "the upstream answers again",
};

/// An order was carried out.
pub const ORDER_APPLIED: LogEvent = LogEvent {
    number: 2007,
    name: "order_applied",
    level: Level::Info,
    text: "an order was carried out",
};

/// An order was refused or failed.
pub const ORDER_FAILED: LogEvent = LogEvent {
    number: 2008,
    name: "order_failed",
    level: Level::Warning,
    text: "an order was refused or failed",
};

/// New work is refused from now on.
pub const UPSTREAM_CLOSED: LogEvent = LogEvent {
    number: 2009,
    name: "upstream_closed",
    level: Level::Info,
    text: "new work is refused",
};

/// New work is taken again.
pub const UPSTREAM_OPENED: LogEvent = LogEvent {
    number: 2010,
    name: "upstream_opened",
    level: Level::Info,
    text: "new work is taken",
};

/// A running request was cancelled.
pub const REQUEST_CANCELLED: LogEvent = LogEvent {
    number: 2011,
    name: "request_cancelled",
    level: Level::Debug,
    text: "a running request was cancelled",
};

/// A peer asked for something that its role may not ask.
pub const PEER_REFUSED: LogEvent = LogEvent {
    number: 2012,
    name: "peer_refused",
    level: Level::Warning,
    text: "a peer asked for something that its role does not allow",
};

/// Execution records were handed over.
pub const RECORDS_HANDED_OVER: LogEvent = LogEvent {
    number: 2013,
    name: "records_handed_over",
    level: Level::Info,
    text: "execution records were handed over to the next home agent",
};

/// Execution records could not be handed over.
pub const HAND_OVER_FAILED: LogEvent = LogEvent {
    number: 2014,
    name: "hand_over_failed",
    level: Level::Error,
    text: "execution records could not be handed over",
};

/// A finished sample was dropped for lack of memory before it was released.
pub const SAMPLE_DROPPED: LogEvent = LogEvent {
    number: 2015,
    name: "sample_dropped",
    level: Level::Warning,
    text: "a finished sample was dropped before it was released",
};

/// The process ends with usage or samples that nobody collected.
pub const LEFT_UNCOLLECTED: LogEvent = LogEvent {
    number: 2016,
    name: "left_uncollected",
    level: Level::Error,
    text: "the agent ends with usage lines or samples that were not collected",
};

/// The settings name a service that the configuration contradicts.
pub const SERVICE_MISMATCH: LogEvent = LogEvent {
    number: 2017,
    name: "service_mismatch",
    level: Level::Error,
    text: "the configuration lists this upstream under another service than the settings",
};

/// The host list could not be read.
pub const HOST_LIST_UNREADABLE: LogEvent = LogEvent {
    number: 2018,
    name: "host_list_unreadable",
    level: Level::Warning,
    text: "the host list could not be read",
};

/// Every event of this crate, in order of number.
pub const ALL: [LogEvent; 19] = [
    AGENT_STARTED,
    CONFIGURATION_APPLIED,
    CONFIGURATION_NOT_FETCHED,
    UPSTREAM_BOOTED,
    UPSTREAM_FAILED,
    UPSTREAM_UNREACHABLE,
    UPSTREAM_REACHABLE,
    ORDER_APPLIED,
    ORDER_FAILED,
    UPSTREAM_CLOSED,
    UPSTREAM_OPENED,
    REQUEST_CANCELLED,
    PEER_REFUSED,
    RECORDS_HANDED_OVER,
    HAND_OVER_FAILED,
    SAMPLE_DROPPED,
    LEFT_UNCOLLECTED,
    SERVICE_MISMATCH,
    HOST_LIST_UNREADABLE,
];
