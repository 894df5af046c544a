//! Length-prefixed postcard frames.

use {
    catkindeck::{ErrorKind, ServiceError, message::MESSAGE_LIMIT},
    serde::{Serialize, de::DeserializeOwned},
};

/// The size of the length prefix, a big-endian `u32` that counts the bytes after it.
const PREFIX_BYTES: usize = 4;

/// Encodes a message with its length prefix.
///
/// # Errors
///
/// Returns `too_large` with `not_run` if the message exceeds [`MESSAGE_LIMIT`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ServiceError> {
    let internal =
        |error: postcard::Error| ServiceError::not_run(ErrorKind::Internal, error.to_string());
    let mut bytes = postcard::to_extend(message, vec![0; PREFIX_BYTES]).map_err(internal)?;
    let length = bytes.len() - PREFIX_BYTES;
    let prefix = u32::try_from(length)
        .ok()
        .filter(|_| length <= MESSAGE_LIMIT)
        .ok_or_else(|| {
            ServiceError::not_run(
                ErrorKind::TooLarge,
                format!("a message of {length} bytes exceeds the limit of {MESSAGE_LIMIT} bytes"),
            )
        })?;
    bytes[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes)
}

/// Buffers the bytes of a stream and splits them into messages.
///
/// Bytes that arrive before a timeout stay in the buffer, so a receiver can retry.
#[derive(Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
}

impl FrameBuffer {
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether the buffer holds part of a message.
    pub fn is_partial(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Removes and decodes the next complete message, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `unknown` if the peer violated the protocol.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, ServiceError> {
        let protocol_error =
            |detail: String| ServiceError::unknown(ErrorKind::PeerUnavailable, detail);
        let Some(prefix) = self.bytes.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        if length > MESSAGE_LIMIT {
            return Err(protocol_error(format!(
                "the peer announced a message of {length} bytes, the limit is {MESSAGE_LIMIT}"
            )));
        }
        let end = PREFIX_BYTES + length;
        if self.bytes.len() < end {
            return Ok(None);
        }
        let (message, rest) =
            postcard::take_from_bytes(&self.bytes[PREFIX_BYTES..end]).map_err(|error| {
                protocol_error(format!("the peer sent an unreadable message: {error}"))
            })?;
        if !rest.is_empty() {
            return Err(protocol_error(format!(
                "the peer sent {} bytes after the end of a message",
                rest.len()
            )));
        }
        self.bytes.drain(..end);
        Ok(Some(message))
    }
}
