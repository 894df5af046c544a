//! Rate limiting of log lines per event.

use {
    crate::{SortedMap, events::LINES_SUPPRESSED, time::Moment},
    slog::{Drain, KV, Key, OwnedKVList, Record, Serializer, b, record},
    std::{
        fmt,
        sync::{Mutex, PoisonError},
        time::Instant,
    },
};

/// The burst of lines allowed for one event, enough for one line per item of a large job.
const BURST_LINES: u32 = 2_000;

/// The sustained number of lines per second allowed for one event. Ten events at this rate produce
/// 1 MB per second.
const LINES_PER_SECOND: u32 = 400;

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write {
        /// The number of lines of the event suppressed since the last one that was written.
        suppressed: u64,
    },
    /// The line is suppressed.
    Suppress,
}

/// A token bucket for each event, keyed by the event's number.
#[derive(Debug, Default)]
pub struct LineLimiter {
    events: SortedMap<u16, EventBucket>,
}

#[derive(Debug)]
struct EventBucket {
    /// The lines that may be written now, in thousandths.
    level: u64,
    refilled_at: Moment,
    suppressed: u64,
}

impl LineLimiter {
    /// Decides whether a line of `event` is written at `now`.
    pub fn decide(&mut self, now: Moment, event: u16) -> LineDecision {
        let capacity = u64::from(BURST_LINES) * 1_000;
        let bucket = self.events.get_or_insert_with(event, || EventBucket {
            level: capacity,
            refilled_at: now,
            suppressed: 0,
        });
        // One line per second is one thousandth of a line per millisecond.
        let refill = now.since(bucket.refilled_at) * u64::from(LINES_PER_SECOND);
        bucket.level = bucket.level.saturating_add(refill).min(capacity);
        bucket.refilled_at = now;
        if bucket.level < 1_000 {
            bucket.suppressed += 1;
            return LineDecision::Suppress;
        }
        bucket.level -= 1_000;
        LineDecision::Write {
            suppressed: std::mem::take(&mut bucket.suppressed),
        }
    }
}

/// A drain that forwards lines within the rate limit and reports how many were suppressed.
pub struct LimiterDrain<D> {
    inner: D,
    limiter: Mutex<LineLimiter>,
    started: Instant,
}

impl<D> LimiterDrain<D> {
    /// Wraps a drain in a rate limit.
    pub fn new(inner: D) -> Self {
        Self {
            inner,
            limiter: Mutex::new(LineLimiter::default()),
            started: Instant::now(),
        }
    }
}

impl<D: Drain> Drain for LimiterDrain<D> {
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        let number = event_number(line);
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let decision = {
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            limiter.decide(Moment(elapsed), number)
        };
        let LineDecision::Write { suppressed } = decision else {
            return Ok(None);
        };
        if suppressed > 0 {
            self.inner.log(
                &record!(
                    LINES_SUPPRESSED.level,
                    "",
                    &format_args!("{}", LINES_SUPPRESSED.text),
                    b!("event" => LINES_SUPPRESSED.number, "name" => LINES_SUPPRESSED.name,
                        "of" => number, "lines" => suppressed)
                ),
                values,
            )?;
        }
        self.inner.log(line, values).map(Some)
    }
}

/// Returns the number of a line's event, or zero if the line has none.
fn event_number(line: &Record<'_>) -> u16 {
    let mut finder = EventNumberExtractor(0);
    // `EventNumberExtractor` itself never returns an error.
    let _ = line.kv().serialize(line, &mut finder);
    finder.0
}

struct EventNumberExtractor(u16);

impl Serializer for EventNumberExtractor {
    fn emit_arguments(&mut self, _: Key, _: &fmt::Arguments<'_>) -> slog::Result {
        Ok(())
    }

    fn emit_u16(&mut self, key: Key, value: u16) -> slog::Result {
        if AsRef::<str>::as_ref(&key) == "event" {
            self.0 = value;
        }
        Ok(())
    }
}
