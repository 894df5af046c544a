//! Errors at the start of the transport and in its certificates.

use {std::path::PathBuf, thiserror::Error};

/// Why the transport could not be started or a certificate could not be made.
#[derive(Debug, Error)]
pub enum WireError {
    /// A PEM file cannot be read.
    #[error("{path}: expected {expected} in PEM form: {reason}")]
    Pem {
        /// The file.
        path: PathBuf,
        /// What the file should hold.
        expected: &'static str,
        /// The reader's error.
        reason: String,
    },
    /// The certificate, its key and the authority do not go together.
    #[error("the TLS settings cannot be used: {0}")]
    Tls(String),
    /// A certificate's DNS name does not name a role and a host.
    #[error(
        "a certificate needs exactly one DNS name as role.host.catkindeck.internal, where role is \
         entry, agent or operator: {0}"
    )]
    Name(String),
    /// A certificate could not be issued.
    #[error("the certificate cannot be issued: {0}")]
    Issue(#[from] rcgen::Error),
    /// The socket cannot be opened.
    #[error("the peer address {address} cannot be used: {reason}")]
    Socket {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        reason: std::io::Error,
    },
    /// The threads cannot be started.
    #[error("the transport's threads cannot be started: {0}")]
    Threads(std::io::Error),
}
