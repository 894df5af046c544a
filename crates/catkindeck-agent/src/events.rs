//! Log events 2000 to 2999, see `docs/events.md`.

catkindeck::log_events! {
    /// The agent started.
    AGENT_STARTED = 2000, "agent_started", Info, "the agent started";
    /// A configuration came into use.
    CONFIGURATION_APPLIED = 2001, "configuration_applied", Info, "a configuration came into use";
    /// A configuration could not be fetched from a peer.
    CONFIGURATION_NOT_FETCHED = 2002, "configuration_not_fetched", Warning, "a configuration could not be fetched from a peer";
    /// The upstream has a new boot identity.
    UPSTREAM_BOOTED = 2003, "upstream_booted", Info, "the upstream has a new boot identity and counts as cold";
    /// The upstream failed while it handled a request.
    UPSTREAM_FAILED = 2004, "upstream_failed", Warning, "the upstream failed while it handled a request";
    /// The upstream does not answer reports.
    UPSTREAM_UNREACHABLE = 2005, "upstream_unreachable", Warning, "the upstream does not answer";
    /// The upstream answers reports again.
    UPSTREAM_REACHABLE = 2006, "upstream_reachable", Info, "the upstream answers again";
    /// An order was carried out.
    ORDER_APPLIED = 2007, "order_applied", Info, "an order was carried out";
    /// An order was refused or failed.
    ORDER_FAILED = 2008, "order_failed", Warning, "an order was refused or failed";
    /// New work is refused from now on.
    UPSTREAM_CLOSED = 2009, "upstream_closed", Info, "new work is refused";
    /// New work is taken again.
    UPSTREAM_OPENED = 2010, "upstream_opened", Info, "new work is taken";
    /// A running request was cancelled.
    REQUEST_CANCELLED = 2011, "request_cancelled", Debug, "a running request was cancelled";
    /// A peer asked for something that its role may not ask.
    PEER_REFUSED = 2012, "peer_refused", Warning, "a peer asked for something that its role does not allow";
    /// Execution records were handed over.
    RECORDS_HANDED_OVER = 2013, "records_handed_over", Info, "execution records were handed over to the next home agent";
    /// Execution records could not be handed over.
    HAND_OVER_FAILED = 2014, "hand_over_failed", Error, "execution records could not be handed over";
    /// A finished sample was dropped for lack of memory before it was released.
    SAMPLE_DROPPED = 2015, "sample_dropped", Warning, "a finished sample was dropped before it was released";
    /// The process ends with usage or samples that nobody collected.
    LEFT_UNCOLLECTED = 2016, "left_uncollected", Error, "the agent ends with usage lines or samples that were not collected";
    /// The settings name a service that the configuration contradicts.
    SERVICE_MISMATCH = 2017, "service_mismatch", Error, "the configuration lists this upstream under another service than the settings";
    /// The host list could not be read.
    HOST_LIST_UNREADABLE = 2018, "host_list_unreadable", Warning, "the host list could not be read";
}
