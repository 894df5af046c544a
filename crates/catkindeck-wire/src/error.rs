//! Errors of the transport's start and of certificates.

use {std::path::PathBuf, thiserror::Error};

/// An error of starting the transport or of creating a certificate.
#[derive(Debug, Error)]
pub enum WireError {
    #[error("{path}: expected {expected} in PEM form: {reason}")]
    Pem {
        path: PathBuf,
        expected: &'static str,
        reason: String,
    },
    /// The certificate, its key and the authority do not match, or a limit is invalid.
    #[error("invalid TLS settings: {0}")]
    Tls(String),
    /// A certificate's DNS name does not identify a role and a host.
    #[error(
        "a certificate must have exactly one DNS name of the form role.host.catkindeck.internal, \
         where role is entry, agent or operator: {0}"
    )]
    Name(String),
    #[error("cannot issue the certificate: {0}")]
    Issue(#[from] rcgen::Error),
    #[error("cannot bind the peer address {address}: {reason}")]
    Socket {
        address: std::net::SocketAddr,
        reason: std::io::Error,
    },
    #[error("cannot start the transport's threads: {0}")]
    Threads(std::io::Error),
}
