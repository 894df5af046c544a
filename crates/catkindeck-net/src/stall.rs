//! Detection of callers that do not read.

use {
    crate::{intake::ReadTurn, traffic},
    std::{
        cell::Cell,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
        time::{Instant, sleep_until},
    },
};

/// Tells since when a connection has had data to write that its caller did not take.
#[derive(Debug, Clone, Default)]
pub struct StallClock(Rc<StallState>);

#[derive(Debug, Default)]
struct StallState {
    since: Cell<Option<Instant>>,
    begun: Notify,
}

impl StallClock {
    /// Waits until the caller has taken no byte for `limit`. Nothing wakes up while the caller keeps reading.
    pub async fn await_stall(&self, limit: Duration) {
        loop {
            match self.0.since.get() {
                None => self.0.begun.notified().await,
                Some(since) if since.elapsed() >= limit => return,
                Some(since) => sleep_until(since + limit).await,
            }
        }
    }

    fn observe<T>(&self, written: &Poll<io::Result<T>>) {
        match written {
            Poll::Pending if self.0.since.get().is_none() => {
                self.0.since.set(Some(Instant::now()));
                self.0.begun.notify_one();
            }
            Poll::Pending => {}
            Poll::Ready(_) => self.0.since.set(None),
        }
    }
}

/// A connection whose writes are observed by a [`StallClock`].
#[derive(Debug)]
pub struct ObservedStream {
    stream: TcpStream,
    clock: StallClock,
    turn: ReadTurn,
}

impl ObservedStream {
    pub fn new(stream: TcpStream, clock: StallClock) -> Self {
        Self {
            stream,
            clock,
            turn: ReadTurn::default(),
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.turn.poll_next(context));
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.turn.record(&read, count);
        traffic::count_received(count);
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.clock.observe(&written);
        traffic::count_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.clock.observe(&written);
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
