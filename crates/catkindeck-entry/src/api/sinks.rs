//! Sinks that write the parts of a response to the caller, one for each response form.

use {
    crate::{
        forward::ResponseSink,
        http::{CallerDisconnected, ResponseWriter},
        metrics::EntryMetrics,
    },
    catkindeck::{Moment, id::ObjectName},
    std::time::Duration,
};

/// Measures the time to the first bytes of a response.
pub(super) struct FirstByteTimer<'a> {
    pub(super) metrics: &'a EntryMetrics,
    pub(super) route: ObjectName,
    pub(super) started: Moment,
    pub(super) now: &'a dyn Fn() -> Moment,
    pub(super) is_recorded: bool,
}

impl FirstByteTimer<'_> {
    fn record(&mut self) {
        if !self.is_recorded {
            self.is_recorded = true;
            let elapsed = (self.now)().since(self.started);
            self.metrics
                .observe_first_byte(&self.route, Duration::from_millis(elapsed));
        }
    }
}

/// Decodes a byte stream to text, buffering an incomplete character at the end.
#[derive(Debug, Default)]
pub(super) struct Utf8Decoder {
    pending: Vec<u8>,
}

impl Utf8Decoder {
    /// Adds bytes and returns the text that they complete; invalid bytes are replaced.
    pub(super) fn push(&mut self, bytes: &[u8]) -> String {
        self.pending.extend_from_slice(bytes);
        let mut text = String::new();
        loop {
            match std::str::from_utf8(&self.pending) {
                Ok(complete) => {
                    text.push_str(complete);
                    self.pending.clear();
                    return text;
                }
                Err(error) => {
                    let valid = error.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&self.pending[..valid]));
                    let Some(invalid) = error.error_len() else {
                        self.pending.drain(..valid);
                        return text;
                    };
                    text.push(char::REPLACEMENT_CHARACTER);
                    self.pending.drain(..valid + invalid);
                }
            }
        }
    }

    /// Returns the buffered bytes with replacement, at the end of the stream.
    pub(super) fn flush(&mut self) -> String {
        let pending = std::mem::take(&mut self.pending);
        String::from_utf8_lossy(&pending).into_owned()
    }
}

/// Buffers a response that is sent complete.
pub(super) struct BufferedSink<'a> {
    pub(super) writer: &'a mut dyn ResponseWriter,
    pub(super) timer: FirstByteTimer<'a>,
    pub(super) bytes: Vec<u8>,
}

impl ResponseSink for BufferedSink<'_> {
    fn head(&mut self, _status: u16, _headers: Vec<(String, String)>) {}

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        self.timer.record();
        self.bytes.extend_from_slice(bytes);
        match self.writer.is_disconnected() {
            true => Err(CallerDisconnected),
            false => Ok(()),
        }
    }

    fn is_disconnected(&self) -> bool {
        self.writer.is_disconnected()
    }
}

/// Streams a response as server-sent events.
pub(super) struct EventSink<'a> {
    pub(super) writer: &'a mut dyn ResponseWriter,
    pub(super) timer: FirstByteTimer<'a>,
    pub(super) decoder: Utf8Decoder,
    pub(super) event: &'a dyn Fn(&str) -> Vec<u8>,
}

impl EventSink<'_> {
    /// Sends the headers unless they were sent already.
    pub(super) fn open(&mut self) -> Result<(), CallerDisconnected> {
        if self.writer.headers_sent() {
            return Ok(());
        }
        let headers = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        self.writer.open(200, &headers)
    }
}

impl ResponseSink for EventSink<'_> {
    fn head(&mut self, _status: u16, _headers: Vec<(String, String)>) {}

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        self.timer.record();
        let text = self.decoder.push(bytes);
        if text.is_empty() {
            return Ok(());
        }
        self.open()?;
        self.writer.write((self.event)(&text))
    }

    fn is_disconnected(&self) -> bool {
        self.writer.is_disconnected()
    }
}

/// Streams the response of a plain service.
pub(super) struct PlainSink<'a> {
    pub(super) writer: &'a mut dyn ResponseWriter,
    pub(super) timer: FirstByteTimer<'a>,
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

impl ResponseSink for PlainSink<'_> {
    fn head(&mut self, status: u16, headers: Vec<(String, String)>) {
        // Interim and invalid status codes cannot be the status of a final response.
        self.status = if (200..600).contains(&status) {
            status
        } else {
            502
        };
        self.headers = crate::headers::filter_response_headers(&headers);
    }

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        self.timer.record();
        if !self.writer.headers_sent() {
            self.writer.open(self.status, &self.headers)?;
        }
        self.writer.write(bytes.to_vec())
    }

    fn is_disconnected(&self) -> bool {
        self.writer.is_disconnected()
    }
}
