//! The daemon beside each upstream: admission, fairness, fencing, execution records and usage counters.
