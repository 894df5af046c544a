//! Measurements of the decision logic in virtual time, with baselines beside each policy.
