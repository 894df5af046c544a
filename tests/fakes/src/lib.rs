//! Fakes of the external systems that catkindeck talks to, with fault injection through a control
//! address.

pub mod control;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod http;
pub mod service;
pub mod store;
pub mod stream;
pub mod trainer;
pub mod usage;
pub mod weights;
pub mod zones;

mod engine_state;

pub use engine_state::EngineSettings;
