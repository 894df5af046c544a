//! Log events of the agent, numbers 2000 to 2999 (`docs/events.md`).

catkindeck::log_events! {
    /// The agent started.
    AGENT_STARTED = 2000, "agent_started", Info, "agent started";
    /// A configuration was applied.
    CONFIGURATION_APPLIED = 2001, "configuration_applied", Info, "configuration applied";
    /// A configuration could not be fetched from a peer.
    CONFIGURATION_NOT_FETCHED = 2002, "configuration_not_fetched", Warning, "cannot fetch the configuration from a peer";
    /// The upstream has a new boot ID.
    UPSTREAM_BOOTED = 2003, "upstream_booted", Info, "the upstream has a new boot ID and is treated as cold";
    /// The upstream failed while it processed a request.
    UPSTREAM_FAILED = 2004, "upstream_failed", Warning, "the upstream failed while processing a request";
    /// The upstream does not respond to probes.
    UPSTREAM_UNREACHABLE = 2005, "upstream_unreachable", Warning, "the upstream does not respond";
    /// The upstream responds to probes again.
    UPSTREAM_REACHABLE = 2006, "upstream_reachable", Info, "the upstream responds again";
    /// An order was applied.
    ORDER_APPLIED = 2007, "order_applied", Info, "order applied";
    /// An order was rejected or failed.
    ORDER_FAILED = 2008, "order_failed", Warning, "order rejected or failed";
    /// New requests are rejected from now on.
    UPSTREAM_CLOSED = 2009, "upstream_closed", Info, "new requests are rejected";
    /// New requests are accepted again.
    UPSTREAM_OPENED = 2010, "upstream_opened", Info, "new requests are accepted";
    /// A running request was cancelled.
    REQUEST_CANCELLED = 2011, "request_cancelled", Debug, "running request cancelled";
    /// A peer sent a request that its role does not permit.
    PEER_REFUSED = 2012, "peer_refused", Warning, "a peer sent a request that its role does not permit";
    /// Execution records were handed over.
    RECORDS_HANDED_OVER = 2013, "records_handed_over", Info, "execution records transferred to the next home agent";
    /// Execution records could not be handed over.
    HAND_OVER_FAILED = 2014, "hand_over_failed", Error, "cannot transfer execution records to the next home agent";
    /// A finished sample was evicted for lack of memory before it was released.
    SAMPLE_DROPPED = 2015, "sample_dropped", Warning, "a finished sample was evicted before it was released";
    /// The process exits with usage lines or samples that were not collected.
    LEFT_UNCOLLECTED = 2016, "left_uncollected", Error, "the agent exits with uncollected usage lines or samples";
    /// The configuration and the settings name different services for the upstream.
    SERVICE_MISMATCH = 2017, "service_mismatch", Error, "the configuration lists this upstream under a different service than the settings";
    /// The host list could not be read.
    HOST_LIST_UNREADABLE = 2018, "host_list_unreadable", Warning, "cannot read the host list";
}
