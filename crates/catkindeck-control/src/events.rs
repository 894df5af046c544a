//! Log events of the control work, numbers 4000 to 4999.

catkindeck::log_events! {
    /// A configuration was committed.
    CONFIG_COMMITTED = 4001, "config_committed", Info, "configuration was committed";
    /// The outcome of a commit is unknown.
    CONFIG_UNKNOWN = 4002, "config_commit_unknown", Warning, "outcome of a configuration change is unknown";
    /// Nodes were asked whether they use a revision.
    CONFIG_SPREAD = 4003, "config_spread", Info, "spread of a configuration was determined";
    /// A configuration is used from now on.
    CONFIG_USED = 4004, "config_used", Info, "configuration is used";
    /// The store could not be asked for the configuration's head.
    CONFIG_WATCH_FAILED = 4005, "config_watch_failed", Warning, "head of the configuration could not be read";
    /// A wanted configuration could not be fetched.
    CONFIG_FETCH_FAILED = 4006, "config_fetch_failed", Warning, "newer configuration could not be fetched";
    /// The host list could not be read.
    HOSTS_FAILED = 4007, "hosts_failed", Warning, "host list could not be read; the last one stays in use";
    /// An operator's plan was applied, refused or left in doubt.
    PLAN_JUDGED = 4020, "plan_judged", Info, "operator's plan was applied, refused or left in doubt";
    /// An operator's call was refused.
    OPERATOR_REFUSED = 4021, "operator_refused", Warning, "operator's call was refused";
    /// A usage window was sealed.
    USAGE_SEALED = 4101, "usage_sealed", Info, "usage window was sealed";
    /// A usage window could not be reported and is reported again.
    USAGE_UNREPORTED = 4102, "usage_unreported", Warning, "usage window could not be reported and is reported again";
    /// A usage window was reported before with other figures.
    USAGE_CONFLICT = 4103, "usage_conflict", Error, "usage window was reported before with other figures";
    /// Upstreams were ordered for a zone.
    ZONE_ORDERED = 4201, "zone_ordered", Info, "upstreams were ordered for a zone";
    /// An order for upstreams failed or its answer was lost.
    ZONE_ORDER_FAILED = 4202, "zone_order_failed", Warning, "order for upstreams failed or its answer was lost";
    /// An order in doubt was resolved by the actual counts.
    ZONE_RESOLVED = 4203, "zone_resolved", Info, "order in doubt was resolved by the actual counts";
    /// A round of a zone's control work failed.
    ZONE_ROUND_FAILED = 4204, "zone_round_failed", Warning, "round of a zone's control work failed and is repeated";
    /// A zone's state was told to its agents.
    ZONE_ANNOUNCED = 4205, "zone_announced", Info, "state of a zone was told to its agents";
    /// Weights are active on all upstreams.
    ROLLOUT_DONE = 4301, "rollout_done", Info, "weights are active on all upstreams";
    /// Weights are not active on all upstreams.
    ROLLOUT_PARTIAL = 4302, "rollout_partial", Warning, "weights are not active on all upstreams";
    /// A leaving upstream was told to take no new work.
    LEAVE_ORDERED = 4303, "leave_ordered", Info, "leaving upstream was told to take no new work";
}
