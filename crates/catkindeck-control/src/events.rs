//! Log events of the control work, numbers 4000 to 4999.

catkindeck::log_events! {
    CONFIG_COMMITTED = 4001, "config_committed", Info, "configuration was committed";
    CONFIG_UNKNOWN = 4002, "config_commit_unknown", Warning, "outcome of a configuration change is unknown";
    CONFIG_SPREAD = 4003, "config_spread", Info, "propagation of a configuration was measured";
    CONFIG_USED = 4004, "config_used", Info, "switched to a newer configuration";
    CONFIG_WATCH_FAILED = 4005, "config_watch_failed", Warning, "head of the configuration could not be read from the store";
    CONFIG_FETCH_FAILED = 4006, "config_fetch_failed", Warning, "newer configuration could not be fetched";
    HOSTS_FAILED = 4007, "hosts_failed", Warning, "host list could not be read; the previous one stays in use";
    PLAN_JUDGED = 4020, "plan_judged", Info, "operator's plan was applied or refused, or its outcome is unknown";
    OPERATOR_REFUSED = 4021, "operator_refused", Warning, "operator's request was refused";
    USAGE_SEALED = 4101, "usage_sealed", Info, "usage window was sealed";
    USAGE_UNREPORTED = 4102, "usage_unreported", Warning, "usage window could not be reported; will retry";
    USAGE_CONFLICT = 4103, "usage_conflict", Error, "usage window was already reported with different content";
    ZONE_ORDERED = 4201, "zone_ordered", Info, "upstreams were ordered for a zone";
    ZONE_ORDER_FAILED = 4202, "zone_order_failed", Warning, "order for upstreams failed or its response was lost";
    ZONE_RESOLVED = 4203, "zone_resolved", Info, "outcome of an order was determined from the zone's upstream counts";
    ZONE_ROUND_FAILED = 4204, "zone_round_failed", Warning, "control loop iteration for a zone failed; will retry";
    ZONE_ANNOUNCED = 4205, "zone_announced", Info, "agents were notified of the state of their zone";
    ROLLOUT_DONE = 4301, "rollout_done", Info, "weights are active on all upstreams";
    ROLLOUT_PARTIAL = 4302, "rollout_partial", Warning, "weights are not active on all upstreams";
    LEAVE_ORDERED = 4303, "leave_ordered", Info, "agent of a draining upstream was told to accept no new work";
}
