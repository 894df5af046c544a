//! Limits on what a connection takes in: how much in one turn of the event loop, and how much beside the content of a
//! response.
//!
//! The HTTP library bounds what it buffers, but not what it reads and discards: responses that only announce another one,
//! the digits of a chunk's length, trailers. A faulty server can send these without end, and as fast as they are read.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    task::{Context, Poll},
};

/// The bytes that a connection reads in one turn of the event loop before it lets other tasks run.
const TURN_BYTES: usize = 64 << 10;

/// The bytes beside the content that a response may have in any case: its head, and what is read ahead.
const OVERHEAD_BYTES: u64 = 256 << 10;

/// The bytes that a response may have for each byte of its content; chunks of a single byte have six.
const BYTES_PER_CONTENT: u64 = 8;

/// Counts the bytes of one response. Shared by the user of the connection, which tells how much content it took, and the
/// connection, which checks the count when it reads.
#[derive(Debug, Clone, Default)]
pub struct ResponseIntake(Rc<IntakeCount>);

#[derive(Debug, Default)]
struct IntakeCount {
    received: Cell<u64>,
    content: Cell<u64>,
}

impl ResponseIntake {
    /// Starts the count of the next response.
    pub fn begin(&self) {
        self.0.received.set(0);
        self.0.content.set(0);
    }

    /// Counts bytes of the response's content that its reader has taken.
    pub fn count_content(&self, bytes: usize) {
        self.0.content.set(self.0.content.get() + bytes as u64);
    }

    /// Counts bytes that were read from the connection.
    pub fn count_received(&self, bytes: usize) {
        self.0.received.set(self.0.received.get() + bytes as u64);
    }

    /// Checks that the bytes so far are mostly content.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` if they are not.
    pub fn check(&self) -> io::Result<()> {
        let (received, content) = (self.0.received.get(), self.0.content.get());
        let allowed = OVERHEAD_BYTES.saturating_add(content.saturating_mul(BYTES_PER_CONTENT));
        if received <= allowed {
            return Ok(());
        }
        let detail = format!("{received} bytes of a response have only {content} bytes of content");
        Err(io::Error::new(io::ErrorKind::InvalidData, detail))
    }
}

/// The bytes that a connection has read in the present turn of the event loop.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadTurn(usize);

impl ReadTurn {
    /// Ends the turn if enough was read in it: the task is woken again after the others.
    pub fn poll_next(&mut self, context: &Context<'_>) -> Poll<()> {
        if self.0 < TURN_BYTES {
            return Poll::Ready(());
        }
        self.0 = 0;
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Counts the bytes of a read. One that has to wait ends the turn.
    pub fn record<T>(&mut self, read: &Poll<T>, bytes: usize) {
        self.0 = match read {
            Poll::Ready(_) => self.0 + bytes,
            Poll::Pending => 0,
        };
    }
}
