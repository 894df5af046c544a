//! Control work under leases: training runs, availability zones, usage windows, configuration spread.

pub mod intent;
