//! The body of a response to a caller.

use {
    crate::held::{HeldBytes, HeldPart},
    bytes::{Buf, Bytes},
    http_body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::sync::{
        Semaphore,
        mpsc::{Receiver, Sender, channel},
    },
};

/// The number of parts of a streamed response that are buffered for a slow caller.
const STREAM_CAPACITY: usize = 32;

/// The bytes of a streamed response that are buffered for a slow caller. They bridge a pause of a few hundred
/// milliseconds at the speed of a host's link, and hundreds of slow callers fit into the memory of a small host.
const STREAM_BYTES: u32 = 256 << 10;

/// The body of a response, either complete or streamed.
pub struct ResponseBody {
    content: BodyContent,
    /// Counts the bytes that the caller has not taken.
    held: HeldBytes,
}

enum BodyContent {
    /// A complete body, which is sent with its length.
    Whole(Option<HeldPart>),
    /// A streamed body. An error closes the connection, so that the caller does not take the
    /// response for complete.
    Stream(Receiver<Result<HeldPart, io::Error>>),
}

/// The sender of a streamed body.
#[derive(Clone)]
pub struct BodySender {
    parts: Sender<Result<HeldPart, io::Error>>,
    room: Arc<Semaphore>,
    held: HeldBytes,
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(content: impl Into<Bytes>) -> Self {
        let held = HeldBytes::default();
        let part = HeldPart::new(content.into(), held.clone(), None);
        Self {
            content: BodyContent::Whole(Some(part)),
            held,
        }
    }

    /// Creates a streamed body and its sender; dropping the sender ends the body normally.
    pub fn stream() -> (BodySender, Self) {
        let (parts, receiver) = channel(STREAM_CAPACITY);
        let held = HeldBytes::default();
        let sender = BodySender {
            parts,
            room: Arc::new(Semaphore::new(STREAM_BYTES as usize)),
            held: held.clone(),
        };
        let content = BodyContent::Stream(receiver);
        (sender, Self { content, held })
    }

    /// Counts the bytes that wait for the caller in those of a server.
    pub(crate) fn count_in(self, total: &HeldBytes) -> Self {
        self.held.count_in(total);
        self
    }
}

impl BodySender {
    /// Sends a part, once the caller has taken enough of the earlier ones, and returns whether the caller is
    /// still connected.
    pub async fn send(&self, part: Bytes) -> bool {
        // A part larger than the room is sent when the room is empty.
        let size = u32::try_from(part.len()).map_or(STREAM_BYTES, |size| size.min(STREAM_BYTES));
        let room = Arc::clone(&self.room);
        tokio::select! {
            room = room.acquire_many_owned(size) => match room {
                Ok(room) => {
                    let part = HeldPart::new(part, self.held.clone(), Some(room));
                    self.parts.send(Ok(part)).await.is_ok()
                }
                Err(_) => false,
            },
            () = self.parts.closed() => false,
        }
    }

    /// Closes the connection before the response is complete.
    pub async fn abort(&self, reason: &str) {
        // If the receiver is gone, the connection is closed already.
        let error = io::Error::other(reason.to_owned());
        let _ = self.parts.send(Err(error)).await;
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

impl Body for ResponseBody {
    type Data = HeldPart;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldPart>, io::Error>>> {
        match &mut self.content {
            BodyContent::Whole(part) => Poll::Ready(part.take().map(|part| Ok(Frame::data(part)))),
            BodyContent::Stream(parts) => parts
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, BodyContent::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            BodyContent::Whole(part) => {
                SizeHint::with_exact(part.as_ref().map_or(0, |part| part.remaining() as u64))
            }
            BodyContent::Stream(_) => SizeHint::default(),
        }
    }
}
