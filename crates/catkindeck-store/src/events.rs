//! Log events 3000 to 3999, see `docs/events.md`: platform clients and leases.

catkindeck::log_events! {
    CALL_FAILED = 3001, "platform_call_failed", Warning, "call to the platform failed after all attempts";
    RATE_LIMIT_REACHED = 3002, "platform_budget_spent", Warning, "call to the platform was not sent because the client's rate limit was reached";
    WRITE_RECOGNISED = 3003, "store_write_recognised", Info, "write to the store was found to have taken effect after its response was lost";
    WRITE_UNKNOWN = 3004, "store_write_unknown", Warning, "outcome of a write to the store is unknown";
    LEASE_GRANTED = 3101, "lease_granted", Info, "lease was granted";
    LEASE_LOST = 3102, "lease_lost", Warning, "lease was lost";
    LEASE_UNRENEWED = 3103, "lease_unrenewed", Warning, "lease could not be acquired or renewed because the store is unavailable";
    LEASE_RELEASED = 3104, "lease_released", Info, "lease was released";
}
