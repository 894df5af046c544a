//! Starts the daemons and the stand-ins as separate processes on loopback, for the tests beside it.
//!
//! Assertions are on counts and contents. The only wall-clock limit is [`http::PATIENCE`], which
//! ends a test that would never end.

pub mod deployment;
pub mod http;
pub mod platform;
pub mod process;
pub mod shape;

pub use {
    deployment::TestDeployment,
    process::ChildProcess,
    shape::{DeploymentShape, UpstreamShape},
};
