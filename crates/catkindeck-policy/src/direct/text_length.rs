//! The lengths of texts, learned from those that are complete.

use std::collections::VecDeque;

/// The number of complete texts that are remembered.
const TEXT_LIMIT: usize = 128;

/// The number of complete texts from which lengths are predicted.
const MIN_TEXTS: usize = 8;

/// The number of longer texts from which the remaining length is an average over them.
const MIN_LONGER_TEXTS: usize = 3;

/// The expected remaining length of a text that is longer than almost all before it, in percent of
/// the length so far.
const LONG_TAIL_PERCENT: f64 = 50.0;

/// What is known about the length of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TextDemand {
    /// The number of tokens that the caller expects, or zero.
    pub expected_tokens: u32,
    /// The number of events so far.
    pub events: u64,
}

/// The lengths of the texts that a service completed last.
///
/// An event may hold several tokens, and callers' estimates are right at the median but often far
/// off. What is learned is the number of events for each expected token, so both are covered.
#[derive(Debug, Clone, Default)]
pub struct TextLengths {
    /// Events for each expected token.
    ratios: VecDeque<f64>,
    /// Events of texts without an estimate.
    lengths: VecDeque<f64>,
    mean_events: f64,
}

impl TextLengths {
    /// Records a complete text.
    pub fn record(&mut self, text: TextDemand) {
        let events = text.events as f64;
        let history = match text.expected_tokens {
            0 => &mut self.lengths,
            _ => &mut self.ratios,
        };
        if history.len() == TEXT_LIMIT {
            history.pop_front();
        }
        history.push_back(events / scale(text));
        let weight = 1.0 / (self.ratios.len() + self.lengths.len()) as f64;
        self.mean_events += (events - self.mean_events) * weight;
    }

    /// Returns the mean number of events of a text.
    pub fn mean_events(&self) -> f64 {
        self.mean_events
    }

    /// Returns the expected number of further events of a text that is not complete, or `None` if
    /// too few texts are known.
    ///
    /// A text that outlives its estimate is expected to go on as long as earlier texts that did.
    pub fn remaining_events(&self, text: TextDemand) -> Option<f64> {
        let history = match text.expected_tokens {
            0 => &self.lengths,
            _ => &self.ratios,
        };
        if history.len() < MIN_TEXTS {
            return None;
        }
        let reached = text.events as f64 / scale(text);
        let longer = history.iter().filter(|length| **length > reached);
        let (count, sum) = longer.fold((0, 0.0), |(count, sum), length| {
            (count + 1, sum + length - reached)
        });
        let remaining = match count >= MIN_LONGER_TEXTS {
            true => sum / count as f64 * scale(text),
            false => text.events as f64 * LONG_TAIL_PERCENT / 100.0,
        };
        Some(remaining.max(1.0))
    }
}

/// Returns the unit in which the lengths of texts like this one are compared, in events.
fn scale(text: TextDemand) -> f64 {
    f64::from(text.expected_tokens.max(1))
}
