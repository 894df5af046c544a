//! Starts the daemons and the fakes as separate processes on loopback, for the system tests of this
//! package.
//!
//! Tests assert counts and contents, not durations. The only wall-clock limit is
//! [`http::WAIT_TIMEOUT`], which ends a test that would otherwise hang.

pub mod deployment;
pub mod http;
pub mod platform;
pub mod process;
pub mod spec;

pub use {
    deployment::TestDeployment,
    process::ChildProcess,
    spec::{DeploymentSpec, UpstreamSpec},
};
