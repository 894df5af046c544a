//! Where the parts of an answer go, for each form of answer.

use {
    crate::{
        forward::AnswerSink,
        http::{CallerGone, ReplySink},
        metrics::EntryMetrics,
    },
    catkindeck::{Moment, id::ObjectName},
    std::time::Duration,
};

/// Measures the time to the first part of an answer.
pub(super) struct FirstPart<'a> {
    pub(super) metrics: &'a EntryMetrics,
    pub(super) route: ObjectName,
    pub(super) started: Moment,
    pub(super) now: &'a dyn Fn() -> Moment,
    pub(super) seen: bool,
}

impl FirstPart<'_> {
    fn note(&mut self) {
        if !self.seen {
            self.seen = true;
            let elapsed = (self.now)().since(self.started);
            self.metrics
                .observe_first(&self.route, Duration::from_millis(elapsed));
        }
    }
}

/// Turns bytes into text and keeps back a character that is not whole yet.
#[derive(Debug, Default)]
pub(super) struct TextCarry {
    held: Vec<u8>,
}

impl TextCarry {
    /// Returns the text that is whole; bytes that cannot become text are replaced.
    pub(super) fn push(&mut self, bytes: &[u8]) -> String {
        self.held.extend_from_slice(bytes);
        let mut text = String::new();
        loop {
            match std::str::from_utf8(&self.held) {
                Ok(whole) => {
                    text.push_str(whole);
                    self.held.clear();
                    return text;
                }
                Err(error) => {
                    let valid = error.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&self.held[..valid]));
                    let Some(invalid) = error.error_len() else {
                        self.held.drain(..valid);
                        return text;
                    };
                    text.push(char::REPLACEMENT_CHARACTER);
                    self.held.drain(..valid + invalid);
                }
            }
        }
    }

    /// Returns what was kept back, replaced, because no more bytes follow.
    pub(super) fn flush(&mut self) -> String {
        let held = std::mem::take(&mut self.held);
        String::from_utf8_lossy(&held).into_owned()
    }
}

/// Collects an answer that is sent whole.
pub(super) struct WholeSink<'a> {
    pub(super) reply: &'a mut dyn ReplySink,
    pub(super) first: FirstPart<'a>,
    pub(super) bytes: Vec<u8>,
}

impl AnswerSink for WholeSink<'_> {
    fn head(&mut self, _status: u16, _headers: Vec<(String, String)>) {}

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        self.first.note();
        self.bytes.extend_from_slice(bytes);
        match self.reply.is_gone() {
            true => Err(CallerGone),
            false => Ok(()),
        }
    }

    fn is_gone(&self) -> bool {
        self.reply.is_gone()
    }
}

/// Sends an answer as server-sent events.
pub(super) struct EventSink<'a> {
    pub(super) reply: &'a mut dyn ReplySink,
    pub(super) first: FirstPart<'a>,
    pub(super) carry: TextCarry,
    pub(super) event: &'a dyn Fn(&str) -> Vec<u8>,
}

impl EventSink<'_> {
    /// Sends the headers if they were not sent yet.
    pub(super) fn open(&mut self) -> Result<(), CallerGone> {
        if self.reply.is_opened() {
            return Ok(());
        }
        let headers = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        self.reply.open(200, &headers)
    }
}

impl AnswerSink for EventSink<'_> {
    fn head(&mut self, _status: u16, _headers: Vec<(String, String)>) {}

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        self.first.note();
        let text = self.carry.push(bytes);
        if text.is_empty() {
            return Ok(());
        }
        self.open()?;
        self.reply.write((self.event)(&text))
    }

    fn is_gone(&self) -> bool {
        self.reply.is_gone()
    }
}

/// Passes a plain service's answer on.
pub(super) struct CallSink<'a> {
    pub(super) reply: &'a mut dyn ReplySink,
    pub(super) first: FirstPart<'a>,
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

impl AnswerSink for CallSink<'_> {
    fn head(&mut self, status: u16, headers: Vec<(String, String)>) {
        // Interim and unknown statuses cannot be passed on as an answer.
        self.status = if (200..600).contains(&status) {
            status
        } else {
            502
        };
        self.headers = crate::headers::pass_answer_headers(&headers);
    }

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        self.first.note();
        if !self.reply.is_opened() {
            self.reply.open(self.status, &self.headers)?;
        }
        self.reply.write(bytes.to_vec())
    }

    fn is_gone(&self) -> bool {
        self.reply.is_gone()
    }
}
