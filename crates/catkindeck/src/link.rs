//! The border between the transport and the processes that use it.

use {
    crate::{
        ServiceError,
        message::{PeerFrame, PeerRequest},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Calls other processes of the system.
pub trait PeerLink: Send + Sync {
    /// Opens a stream to `address` and sends `request`.
    ///
    /// The sender's configuration revision is added by the implementation.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `not_run` if the request was certainly not sent whole, and
    /// with `unknown` otherwise.
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError>;
}

/// The answer to a call; dropping it resets the stream, which tells the peer to stop.
pub trait FrameStream: Send {
    /// Waits for the next frame, or returns `None` after the peer ended the stream.
    ///
    /// # Errors
    ///
    /// Returns `deadline_exceeded` when `timeout` passed and `peer_unavailable` when the connection
    /// was lost, both with `unknown`.
    fn receive(&mut self, timeout: Duration) -> Result<Option<PeerFrame>, ServiceError>;
}

/// The roles that a certificate names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// An entry process.
    Entry,
    /// An agent process.
    Agent,
    /// An operator's command.
    Operator,
}

/// Who is at the other end of a connection, as its certificate proves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The role.
    pub role: PeerRole,
    /// The name of the host.
    pub host: String,
}

/// Serves calls of other processes; each call runs on a thread of its own.
pub trait PeerHandler: Send + Sync {
    /// Handles `request`, writes frames to `reply` and returns when the answer is complete.
    fn handle(&self, peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>);
}

/// Where a handler writes its answer.
pub trait FrameSink: Send + Sync {
    /// Sends one frame and waits while the peer's flow-control window is full.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` when the caller reset the stream or the connection was lost.
    fn send(&self, frame: PeerFrame) -> Result<(), ServiceError>;

    /// Tells whether the caller reset the stream or the connection was lost.
    fn is_closed(&self) -> bool;
}
