//! The body of an answer to a caller.

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

/// The number of parts of a streamed answer that wait for a slow caller.
const STREAM_DEPTH: usize = 32;

/// The body of an answer, whole or streamed.
pub enum ResponseBody {
    /// Known as a whole; sent with its length.
    Whole(Option<Bytes>),
    /// Sent part by part; an error ends the connection so that the answer does not look complete.
    Stream(Receiver<Result<Bytes, io::Error>>),
}

/// The sending side of a streamed answer.
#[derive(Clone)]
pub struct BodySender(Sender<Result<Bytes, io::Error>>);

impl ResponseBody {
    /// Makes a body that is known as a whole.
    pub fn whole(content: impl Into<Bytes>) -> Self {
        Self::Whole(Some(content.into()))
    }

    /// Makes a streamed body with its sending side; dropping the sender ends the body normally.
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = channel(STREAM_DEPTH);
        (BodySender(sender), Self::Stream(receiver))
    }
}

impl BodySender {
    /// Sends a part and returns whether the caller is still there.
    pub async fn send(&self, part: Bytes) -> bool {
        self.0.send(Ok(part)).await.is_ok()
    }

    /// Ends the connection before the answer is complete.
    pub async fn abort(&self, reason: &str) {
        // The caller is gone if the body is not read any more, which is what an abort is for.
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Waits until the caller is gone.
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
