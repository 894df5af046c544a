//! Log events of the agent, numbers 2000 to 2999 (`docs/events.md`).

catkindeck::log_events! {
    AGENT_STARTED = 2000, "agent_started", Info, "agent started";
    CONFIGURATION_APPLIED = 2001, "configuration_applied", Info, "configuration applied";
    CONFIGURATION_NOT_FETCHED = 2002, "configuration_not_fetched", Warning, "cannot fetch the configuration from a peer";
    UPSTREAM_BOOTED = 2003, "upstream_booted", Info, "the upstream has a new boot ID and is treated as cold";
    UPSTREAM_FAILED = 2004, "upstream_failed", Warning, "the upstream failed while processing a request";
    UPSTREAM_UNREACHABLE = 2005, "upstream_unreachable", Warning, "the upstream does not respond";
    UPSTREAM_REACHABLE = 2006, "upstream_reachable", Info, "the upstream responds again";
    ORDER_APPLIED = 2007, "order_applied", Info, "order applied";
    ORDER_FAILED = 2008, "order_failed", Warning, "order rejected or failed";
    UPSTREAM_CLOSED = 2009, "upstream_closed", Info, "new requests are rejected";
    UPSTREAM_OPENED = 2010, "upstream_opened", Info, "new requests are accepted";
    REQUEST_CANCELLED = 2011, "request_cancelled", Debug, "running request cancelled";
    PEER_REFUSED = 2012, "peer_refused", Warning, "a peer sent a request that its role does not permit";
    RECORDS_HANDED_OVER = 2013, "records_handed_over", Info, "execution records transferred to the next home agent";
    HAND_OVER_FAILED = 2014, "hand_over_failed", Error, "cannot transfer execution records to the next home agent";
    /// A finished sample was evicted for lack of memory before it was released.
    SAMPLE_DROPPED = 2015, "sample_dropped", Warning, "a finished sample was evicted before it was released";
    LEFT_UNCOLLECTED = 2016, "left_uncollected", Error, "the agent exits with uncollected usage lines or samples";
    SERVICE_MISMATCH = 2017, "service_mismatch", Error, "the configuration lists this upstream under a different service than the settings";
    HOST_LIST_UNREADABLE = 2018, "host_list_unreadable", Warning, "cannot read the host list";
}
