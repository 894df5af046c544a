//! The interface between the transport and the processes that use it.

use {
    crate::{
        ServiceError,
        message::{PeerFrame, PeerRequest},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A client for calls to other processes of the system.
pub trait PeerLink: Send + Sync {
    /// Opens a stream to `address` and sends `request`.
    ///
    /// The implementation adds the sender's configuration revision.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `not_run` if the request was certainly not sent completely,
    /// and with `unknown` otherwise.
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError>;
}

/// The response to a call; dropping it resets the stream, which tells the peer to stop.
pub trait FrameStream: Send {
    /// Waits for the next frame, or returns `None` once the peer has ended the stream.
    ///
    /// # Errors
    ///
    /// Returns `deadline_exceeded` if `timeout` has passed and `peer_unavailable` if the connection
    /// was lost, both with `unknown`.
    fn receive(&mut self, timeout: Duration) -> Result<Option<PeerFrame>, ServiceError>;
}

/// The role of a peer, as named in its certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    Entry,
    Agent,
    /// An operator's command-line tool.
    Operator,
}

/// The identity of a peer, as proven by its certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    pub role: PeerRole,
    pub host: String,
}

/// Handles calls from other processes; each call runs on its own thread.
pub trait PeerHandler: Send + Sync {
    /// Handles `request`, sends the frames of the response to `reply` and returns once the response
    /// is complete.
    fn handle(&self, peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>);
}

/// The destination of a handler's response.
pub trait FrameSink: Send + Sync {
    /// Sends one frame, blocking while the peer's flow-control window is full.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the caller reset the stream or the connection was lost.
    fn send(&self, frame: PeerFrame) -> Result<(), ServiceError>;

    /// Returns whether the caller reset the stream or the connection was lost.
    fn is_closed(&self) -> bool;
}
