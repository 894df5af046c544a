//! How much of an answer the caller has.

use {
    crate::http::CallerDisconnected,
    catkindeck::{
        message::{CompletionBody, ExecutionRecord},
        token::{VersionLabels, WeightVersion},
    },
};

/// Where an answer goes, part by part.
pub trait ResponseSink {
    /// Takes status and headers of a plain service's answer; they reach the caller with the first
    /// bytes, so that an attempt that fails before leaves no trace.
    fn head(&mut self, status: u16, headers: Vec<(String, String)>);

    /// Takes the next bytes.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the caller closed the connection.
    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected>;

    /// Tells whether the caller closed the connection.
    fn is_disconnected(&self) -> bool;
}

/// The part of an answer that was received over all attempts.
#[derive(Debug, Clone, Default)]
pub struct ResponseProgress {
    bytes: Vec<u8>,
    labels: VersionLabels,
    keeps_bytes: bool,
    started: bool,
}

impl ResponseProgress {
    /// Makes the progress of an answer of which nothing was received.
    ///
    /// `keeps_bytes` is set where the bytes may be needed again, to resume or to compare.
    pub fn new(keeps_bytes: bool) -> Self {
        Self {
            keeps_bytes,
            ..Self::default()
        }
    }

    /// Appends a chunk that was checked.
    pub fn push(&mut self, bytes: &[u8], tokens: u32, version: Option<WeightVersion>) {
        self.started = true;
        self.labels.push(tokens, version);
        if self.keeps_bytes {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Tells whether any part of the answer was received.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Returns the labels of the tokens received.
    pub fn labels(&self) -> &VersionLabels {
        &self.labels
    }

    /// Returns the completion that goes on from here, or `None` if the cut is within a character.
    pub fn resume(&self, body: &CompletionBody) -> Option<CompletionBody> {
        let text = String::from_utf8(self.bytes.clone()).ok()?;
        Some(CompletionBody {
            resume_text: text,
            resume_tokens: self.labels.token_count(),
            ..body.clone()
        })
    }

    /// Returns the part of a stored answer that was not received yet, or `None` if what was
    /// received is not its beginning.
    pub fn rest_of<'a>(&self, record: &'a ExecutionRecord) -> Option<&'a [u8]> {
        if !self.started {
            return Some(&record.answer);
        }
        if !self.keeps_bytes {
            return None;
        }
        record.answer.strip_prefix(self.bytes.as_slice())
    }
}
