//! TCP sockets with the options shared by all connections of the event loop.

use {
    rustix::net::sockopt,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        time::timeout,
    },
};

/// The time after which unacknowledged data closes a connection, in milliseconds.
///
/// A host behind a network partition or without power does not respond, and the system's default is
/// minutes. Three seconds exceed the longest round trip plus two retransmissions. The limit also counts while a window
/// is closed, so it suits data that the receiver's buffer takes at once.
const USER_TIMEOUT_MS: u32 = 3_000;

/// The same time for a connection whose other side may read slowly, in milliseconds: an accepted one, or one that
/// carries a large request.
///
/// Data is also unacknowledged while the other side does not read, which may last as long as the longest deadline of
/// callers. How long a response may wait unread is the server's own limit, and a link that carries a large request is
/// probed (`link.rs`).
const SLOW_USER_TIMEOUT_MS: u32 = 15_000;

/// The idle time before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// The length of a listener's queue of connections that have not been accepted.
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
    set_options(&stream)?;
    Ok(stream)
}

/// Binds a listener, if necessary to an address that was closed a moment ago.
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

/// Sets the options of a connection that this process has opened.
///
/// # Errors
///
/// Returns the system's error.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    set_limited_options(stream, USER_TIMEOUT_MS)
}

/// Sets the options of an accepted connection.
///
/// # Errors
///
/// Returns the system's error.
pub fn set_accepted_options(stream: &TcpStream) -> io::Result<()> {
    set_limited_options(stream, SLOW_USER_TIMEOUT_MS)
}

/// Sets whether the other side of a connection that this process has opened may read slowly.
///
/// # Errors
///
/// Returns the system's error.
pub fn set_slow_reader(stream: &TcpStream, is_slow: bool) -> io::Result<()> {
    let timeout_ms = match is_slow {
        true => SLOW_USER_TIMEOUT_MS,
        false => USER_TIMEOUT_MS,
    };
    Ok(sockopt::set_tcp_user_timeout(stream, timeout_ms)?)
}

fn set_limited_options(stream: &TcpStream, user_timeout_ms: u32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}
