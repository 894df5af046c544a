//! Stand-ins for the systems around catkindeck, with faults ordered through a control address.

pub mod fault;
pub mod hosts;
pub mod http;
pub mod store;
pub mod usage;
pub mod weights;
pub mod zones;
