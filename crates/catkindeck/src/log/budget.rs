//! Bounds how many lines of each event a process writes.

use {
    crate::{SortedMap, events::LINES_SUPPRESSED, time::Moment},
    slog::{Drain, KV, Key, OwnedKVList, Record, Serializer, b, record},
    std::{
        fmt,
        sync::{Mutex, PoisonError},
        time::Instant,
    },
};

/// The lines of one event that are written at once after a quiet time: all items of a large job.
const BURST_LINES: u32 = 2_000;

/// The lines of one event that are written each second for as long as it lasts. Ten events that are
/// as frequent fill 1 MB a second.
const LINES_PER_SECOND: u32 = 400;

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written. Since the last one so many were left out.
    Write {
        /// The number of lines that were left out.
        left_out: u64,
    },
    /// The line is left out.
    LeaveOut,
}

/// Counts the lines of each event, by its number.
#[derive(Debug, Default)]
pub struct LineLimiter {
    events: SortedMap<u16, EventLines>,
}

#[derive(Debug)]
struct EventLines {
    /// The lines that may be written now, in thousandths.
    credit: u64,
    counted_at: Moment,
    left_out: u64,
}

impl LineLimiter {
    /// Decides about a line of an event.
    pub fn decide(&mut self, now: Moment, event: u16) -> LineDecision {
        let most = u64::from(BURST_LINES) * 1_000;
        let lines = self.events.get_or_insert_with(event, || EventLines {
            credit: most,
            counted_at: now,
            left_out: 0,
        });
        // One line a second is one thousandth of a line a millisecond.
        let gained = now.since(lines.counted_at) * u64::from(LINES_PER_SECOND);
        lines.credit = lines.credit.saturating_add(gained).min(most);
        lines.counted_at = now;
        if lines.credit < 1_000 {
            lines.left_out += 1;
            return LineDecision::LeaveOut;
        }
        lines.credit -= 1_000;
        LineDecision::Write {
            left_out: std::mem::take(&mut lines.left_out),
        }
    }
}

/// Passes on the lines that are within the budget, and tells how many were left out.
pub struct LimiterDrain<D> {
    inner: D,
    budget: Mutex<LineLimiter>,
    started: Instant,
}

impl<D> LimiterDrain<D> {
    /// Puts the budget in front of a drain.
    pub fn new(inner: D) -> Self {
        Self {
            inner,
            budget: Mutex::new(LineLimiter::default()),
            started: Instant::now(),
        }
    }
}

impl<D: Drain> Drain for LimiterDrain<D> {
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        let number = event_of(line);
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let verdict = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.decide(Moment(elapsed), number)
        };
        let LineDecision::Write { left_out } = verdict else {
            return Ok(None);
        };
        if left_out > 0 {
            self.inner.log(
                &record!(
                    LINES_SUPPRESSED.level,
                    "",
                    &format_args!("{}", LINES_SUPPRESSED.text),
                    b!("event" => LINES_SUPPRESSED.number, "name" => LINES_SUPPRESSED.name,
                        "of" => number, "lines" => left_out)
                ),
                values,
            )?;
        }
        self.inner.log(line, values).map(Some)
    }
}

/// Finds the number of a line's event; zero for a line without one.
fn event_of(line: &Record<'_>) -> u16 {
    let mut finder = EventFinder(0);
    // The finder itself returns no error.
    let _ = line.kv().serialize(line, &mut finder);
    finder.0
}

struct EventFinder(u16);

impl Serializer for EventFinder {
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
