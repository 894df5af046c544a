//! Tells a server that reads slowly from a link that is dead.
//!
//! Both take no byte of a request. The host of a slow server still answers attempts to connect
//! (`docs/design/slow-readers.md`).
//!
//! The connection also asks whether a request may still be sent when its bytes are written: on a busy event loop that
//! is later than the request was handed to the connection.

use {
    crate::{
        intake::{ReadTurn, ResponseIntake},
        socket, traffic,
    },
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::sleep,
    },
};

/// The size of a body from which a server may read it slowly, in bytes. The receive buffer of a server takes a smaller
/// one at once, so that only a dead link leaves it unacknowledged.
pub const LARGE_BODY_BYTES: usize = 16 << 10;

/// The time without a response before the link is probed.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// The pause after a probe that was answered.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// The timeout of a probe: a round trip and one retransmission of the opening packet.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of unanswered probes after which the link is dead. One may be lost, or meet a full queue of new
/// connections.
const MAX_LOST_PROBES: u32 = 2;

/// Whether the server of a connection may leave a request unread for some seconds. Shared by the user of the
/// connection, which sets it, and the connection, which applies it before it writes.
#[derive(Debug, Clone, Default)]
pub struct ReaderPatience(Rc<Cell<bool>>);

impl ReaderPatience {
    pub fn set(&self, is_patient: bool) {
        self.0.set(is_patient);
    }
}

/// Returns whether a request may still be sent; asked again by the connection directly before bytes are written.
pub type SendGuard = Rc<dyn Fn() -> bool>;

/// The guard of the request that a connection sends. Shared by the user of the connection, which sets it, and the
/// connection, which asks it before it writes.
#[derive(Clone, Default)]
pub struct WriteGuard(Rc<GuardedWrite>);

#[derive(Default)]
struct GuardedWrite {
    guard: RefCell<Option<SendGuard>>,
    is_written: Cell<bool>,
}

impl WriteGuard {
    /// Guards the next request; `None` lets all bytes pass.
    pub fn set(&self, guard: Option<SendGuard>) {
        *self.0.guard.borrow_mut() = guard;
        self.0.is_written.set(false);
    }

    /// Returns whether a byte was handed to the system since the guard was set.
    pub fn is_written(&self) -> bool {
        self.0.is_written.get()
    }

    fn check(&self) -> io::Result<()> {
        let guard = self.0.guard.borrow().clone();
        match guard.is_none_or(|guard| guard()) {
            true => {
                self.0.is_written.set(true);
                Ok(())
            }
            false => Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "the permission to send the request has ended",
            )),
        }
    }
}

/// Waits until the host of a server answers no attempts to connect.
pub async fn await_dead_link(address: SocketAddr) {
    let mut lost = 0;
    let mut pause = PROBE_DELAY;
    while lost < MAX_LOST_PROBES {
        sleep(pause).await;
        lost = match is_answered(address).await {
            true => 0,
            false => lost + 1,
        };
        pause = match lost {
            0 => PROBE_INTERVAL,
            _ => Duration::ZERO,
        };
    }
}

async fn is_answered(address: SocketAddr) -> bool {
    match socket::connect(address, PROBE_TIMEOUT).await {
        Ok(_) => true,
        // A host that runs, but not the server, has already reset the connection in question.
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    }
}

/// A connection to a server, with the limits that its [`ReaderPatience`], its [`WriteGuard`] and its [`ResponseIntake`]
/// demand.
pub struct PatientStream {
    stream: TcpStream,
    patience: ReaderPatience,
    is_patient: bool,
    write_guard: WriteGuard,
    intake: ResponseIntake,
    turn: ReadTurn,
}

impl PatientStream {
    pub fn new(
        stream: TcpStream,
        patience: ReaderPatience,
        write_guard: WriteGuard,
        intake: ResponseIntake,
    ) -> Self {
        Self {
            stream,
            patience,
            is_patient: false,
            write_guard,
            intake,
            turn: ReadTurn::default(),
        }
    }

    fn apply_patience(&mut self) -> io::Result<()> {
        let is_patient = self.patience.0.get();
        if is_patient != self.is_patient {
            socket::set_slow_reader(&self.stream, is_patient)?;
            self.is_patient = is_patient;
        }
        Ok(())
    }
}

impl AsyncRead for PatientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.turn.poll_next(context));
        self.intake.check()?;
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.turn.record(&read, count);
        self.intake.count_received(count);
        traffic::count_received(count);
        read
    }
}

impl AsyncWrite for PatientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_patience()?;
        self.write_guard.check()?;
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        traffic::count_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_patience()?;
        self.write_guard.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        traffic::count_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
