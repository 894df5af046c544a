//! The bytes of responses that wait for slow callers.

use {
    bytes::{Buf, Bytes},
    std::{
        cell::{Cell, OnceCell},
        rc::Rc,
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// The bytes of responses that their callers have not taken yet: of one response, or of all of a server.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes(Rc<HeldCount>);

#[derive(Debug, Default)]
struct HeldCount {
    bytes: Cell<u64>,
    /// The count that includes this one.
    total: OnceCell<HeldBytes>,
}

impl HeldBytes {
    pub fn total(&self) -> u64 {
        self.0.bytes.get()
    }

    /// Includes the bytes of a response in those of its server. A response has one server.
    pub(crate) fn count_in(&self, total: &Self) {
        if self.0.total.set(total.clone()).is_ok() {
            total.add(self.total());
        }
    }

    fn add(&self, bytes: u64) {
        self.0.bytes.set(self.total() + bytes);
        if let Some(total) = self.0.total.get() {
            total.add(bytes);
        }
    }

    fn subtract(&self, bytes: u64) {
        self.0.bytes.set(self.total().saturating_sub(bytes));
        if let Some(total) = self.0.total.get() {
            total.subtract(bytes);
        }
    }
}

/// A part of a body that counts as held until the connection has written or dropped it.
#[derive(Debug)]
pub struct HeldPart {
    content: Bytes,
    size: u64,
    held: HeldBytes,
    /// The part's share of the room of its stream.
    _room: Option<OwnedSemaphorePermit>,
}

impl HeldPart {
    pub(crate) fn new(content: Bytes, held: HeldBytes, room: Option<OwnedSemaphorePermit>) -> Self {
        let size = content.len() as u64;
        held.add(size);
        Self {
            content,
            size,
            held,
            _room: room,
        }
    }
}

impl Buf for HeldPart {
    fn remaining(&self) -> usize {
        self.content.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.content.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.content.advance(count);
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        self.held.subtract(self.size);
    }
}
