//! TCP sockets with the options that every connection of the event loop has.

use {
    rustix::net::sockopt,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        time::timeout,
    },
};

/// The time after which unacknowledged data ends a connection, in milliseconds.
///
/// A host behind a partition or without power answers nothing, and the system's own default is
/// minutes. Three seconds is above the longest round trip plus two retransmissions.
const USER_TIMEOUT_MS: u32 = 3_000;

/// The idle time before the first keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes that end a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// The length of a listener's queue of connections that are not accepted yet.
const LISTEN_BACKLOG: u32 = 1_024;

/// Opens a connection within `limit`.
///
/// # Errors
///
/// Returns the system's error, or `TimedOut`.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Opens a listener that can take over an address that was just closed.
///
/// # Errors
///
/// Returns the system's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Sets the options of an open connection.
///
/// # Errors
///
/// Returns the system's error.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}
