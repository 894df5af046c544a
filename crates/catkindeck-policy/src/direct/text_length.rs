//! The lengths of texts, learned from those that are complete.

use {catkindeck::key, std::collections::VecDeque};

/// The number of complete texts that are remembered.
const TEXT_LIMIT: usize = 256;

/// The number of complete texts from which lengths are predicted.
const MIN_TEXTS: usize = 8;

/// The number of texts with the most similar estimates from which a length is predicted.
const SIMILAR_TEXTS: usize = 32;

/// The number of longer texts from which the remaining length is an average over them.
const MIN_LONGER_TEXTS: usize = 3;

/// The expected remaining length of a text that is longer than almost all similar ones, in percent of
/// the length so far.
const LONG_TAIL_PERCENT: f64 = 50.0;

/// What is known about the length of a text.
#[key]
pub struct TextDemand {
    /// The number of tokens that the caller expects, or zero.
    pub expected_tokens: u32,
    /// The number of events so far.
    pub events: u64,
}

/// The lengths of the texts that a service completed last.
///
/// An event may hold several tokens, and callers' estimates are right at the median but often far
/// off: texts with a high estimate are usually shorter than it, and those with a low one longer. A
/// length is therefore predicted from complete texts with similar estimates.
#[derive(Debug, Clone, Default)]
pub struct TextLengths {
    /// Complete texts in order of completion.
    recent: VecDeque<TextDemand>,
    /// The same texts in order of their estimates.
    sorted: Vec<TextDemand>,
    mean_events: f64,
}

impl TextLengths {
    /// Records a complete text.
    pub fn record(&mut self, text: TextDemand) {
        if self.recent.len() == TEXT_LIMIT {
            self.recent.pop_front();
        }
        self.recent.push_back(text);
        self.sorted = self.recent.iter().copied().collect();
        self.sorted.sort_unstable();
        let events = self.recent.iter().map(|text| text.events);
        self.mean_events = events.sum::<u64>() as f64 / self.recent.len() as f64;
    }

    /// Returns the mean number of events of a text.
    pub fn mean_events(&self) -> f64 {
        self.mean_events
    }

    /// Returns the expected number of further events of a text that is not complete, or `None` if
    /// too few texts are known.
    ///
    /// A text that outlives its estimate is expected to go on as long as similar texts that did.
    pub fn remaining_events(&self, text: TextDemand) -> Option<f64> {
        if self.sorted.len() < MIN_TEXTS {
            return None;
        }
        let events = text.events as f64;
        let lengths = self.similar(text.expected_tokens).iter().map(|similar| {
            // With the same estimate the lengths compare as they are; others are scaled to it.
            let scale =
                f64::from(text.expected_tokens.max(1)) / f64::from(similar.expected_tokens.max(1));
            similar.events as f64 * scale
        });
        let longer = lengths.filter(|length| *length > events);
        let (count, sum) = longer.fold((0_usize, 0.0), |(count, sum), length| {
            (count + 1, sum + length - events)
        });
        let remaining = match count >= MIN_LONGER_TEXTS {
            true => sum / count as f64,
            false => events * LONG_TAIL_PERCENT / 100.0,
        };
        Some(remaining.max(1.0))
    }

    /// Returns the complete texts with the most similar estimates.
    fn similar(&self, expected_tokens: u32) -> &[TextDemand] {
        let middle = self
            .sorted
            .partition_point(|text| text.expected_tokens < expected_tokens);
        let last_start = self.sorted.len().saturating_sub(SIMILAR_TEXTS);
        let start = middle.saturating_sub(SIMILAR_TEXTS / 2).min(last_start);
        let end = self.sorted.len().min(start + SIMILAR_TEXTS);
        &self.sorted[start..end]
    }
}
