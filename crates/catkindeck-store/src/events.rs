//! Log events of the platform clients and leases, numbers 3000 to 3999.

catkindeck::log_events! {
    /// A call failed after all attempts.
    CALL_FAILED = 3001, "platform_call_failed", Warning, "call to the platform failed after all attempts";
    /// A call was not sent because the rate budget was used up.
    BUDGET_SPENT = 3002, "platform_budget_spent", Warning, "call to the platform was not sent because the rate budget is used up";
    /// A write whose answer was lost was found in the store.
    WRITE_RECOGNISED = 3003, "store_write_recognised", Info, "write to the store was recognised after its answer was lost";
    /// The outcome of a write stays unknown.
    WRITE_UNKNOWN = 3004, "store_write_unknown", Warning, "outcome of a write to the store is unknown";
    /// A lease was granted.
    LEASE_GRANTED = 3101, "lease_granted", Info, "lease was granted";
    /// A lease was lost to another holder.
    LEASE_LOST = 3102, "lease_lost", Warning, "lease was lost";
    /// A lease could not be renewed.
    LEASE_UNRENEWED = 3103, "lease_unrenewed", Warning, "lease could not be renewed because the store is unavailable";
    /// A lease was given back.
    LEASE_RELEASED = 3104, "lease_released", Info, "lease was released";
}
