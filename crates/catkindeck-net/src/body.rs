//! The body of a response to a caller.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc::{Receiver, Sender, channel},
};

/// The number of parts of a streamed response that are buffered for a slow caller.
const STREAM_CAPACITY: usize = 32;

/// The body of a response, either complete or streamed.
pub enum ResponseBody {
    /// A complete body, which is sent with its length.
    Whole(Option<Bytes>),
    /// A streamed body. An error closes the connection, so that the caller does not take the
    /// response for complete.
    Stream(Receiver<Result<Bytes, io::Error>>),
}

/// The sender of a streamed body.
#[derive(Clone)]
pub struct BodySender(Sender<Result<Bytes, io::Error>>);

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(content: impl Into<Bytes>) -> Self {
        Self::Whole(Some(content.into()))
    }

    /// Creates a streamed body and its sender; dropping the sender ends the body normally.
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = channel(STREAM_CAPACITY);
        (BodySender(sender), Self::Stream(receiver))
    }
}

impl BodySender {
    /// Sends a part and returns whether the caller is still connected.
    pub async fn send(&self, part: Bytes) -> bool {
        self.0.send(Ok(part)).await.is_ok()
    }

    /// Closes the connection before the response is complete.
    pub async fn abort(&self, reason: &str) {
        // If the receiver is gone, the connection is closed already.
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(content) => Poll::Ready(content.take().map(|part| Ok(Frame::data(part)))),
            Self::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |content| content.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
