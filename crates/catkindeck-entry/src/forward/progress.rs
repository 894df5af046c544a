//! The part of a response that has been received so far.

use {
    crate::http::CallerDisconnected,
    catkindeck::{
        message::{CompletionBody, ExecutionRecord},
        token::{VersionLabels, WeightVersion},
    },
};

/// Receives a response part by part.
pub trait ResponseSink {
    /// Receives the status and headers of a plain service's response.
    ///
    /// They are sent to the caller with the first bytes, so that an attempt that fails earlier can
    /// be retried without an effect on the caller.
    fn head(&mut self, status: u16, headers: Vec<(String, String)>);

    /// Receives the next bytes.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the caller closed the connection.
    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected>;

    /// Returns whether the caller closed the connection.
    fn is_disconnected(&self) -> bool;
}

/// The part of a response that was received over all attempts.
#[derive(Debug, Clone, Default)]
pub struct ResponseProgress {
    bytes: Vec<u8>,
    labels: VersionLabels,
    keeps_bytes: bool,
    is_started: bool,
}

impl ResponseProgress {
    /// Creates the progress of a response of which nothing was received.
    ///
    /// `keeps_bytes` is set if the bytes may be needed again, to resume the response or compare it
    /// with a stored one.
    pub fn new(keeps_bytes: bool) -> Self {
        Self {
            keeps_bytes,
            ..Self::default()
        }
    }

    /// Appends a validated chunk.
    pub fn push(&mut self, bytes: &[u8], tokens: u32, version: Option<WeightVersion>) {
        self.is_started = true;
        self.labels.push(tokens, version);
        if self.keeps_bytes {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Returns whether any part of the response was received.
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    /// Returns the version labels of the received tokens.
    pub fn labels(&self) -> &VersionLabels {
        &self.labels
    }

    /// Returns the body that resumes the completion, or `None` if the received bytes end in the
    /// middle of a UTF-8 character.
    pub fn resume(&self, body: &CompletionBody) -> Option<CompletionBody> {
        let text = String::from_utf8(self.bytes.clone()).ok()?;
        Some(CompletionBody {
            resume_text: text,
            resume_tokens: self.labels.token_count(),
            ..body.clone()
        })
    }

    /// Returns the part of a stored response that was not received yet, or `None` if the received
    /// part is not a prefix of it.
    pub fn remaining_bytes<'a>(&self, record: &'a ExecutionRecord) -> Option<&'a [u8]> {
        if !self.is_started {
            return Some(&record.answer);
        }
        if !self.keeps_bytes {
            return None;
        }
        record.answer.strip_prefix(self.bytes.as_slice())
    }
}
