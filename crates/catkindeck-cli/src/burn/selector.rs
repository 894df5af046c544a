//! Selects counters on a metrics page.

use {
    super::sample::EventCounts,
    prometheus_parse::{Sample, Scrape, Value},
};

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LabelMatcher {
    /// The label has one of these values.
    OneOf(Vec<String>),
    /// The label has none of these values.
    NoneOf(Vec<String>),
}

/// Selects the series of a counter, or one bucket of the series of a histogram.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterSelector {
    /// The metric name; for histograms, without `_bucket`.
    pub metric: String,
    pub labels: Vec<(String, LabelMatcher)>,
    /// For a histogram, the upper bound of the bucket, in seconds; infinite for all observations.
    pub bucket_bound: Option<f64>,
}

impl CounterSelector {
    /// Creates a selector for a counter by the values of one label.
    pub fn counter(metric: &str, label: &str, values: &[String]) -> Self {
        Self {
            metric: metric.to_owned(),
            labels: vec![(label.to_owned(), LabelMatcher::OneOf(values.to_vec()))],
            bucket_bound: None,
        }
    }

    /// Adds a condition on a label.
    pub fn with_label(mut self, label: &str, matcher: LabelMatcher) -> Self {
        self.labels.push((label.to_owned(), matcher));
        self
    }

    /// Selects the histogram bucket up to a bound, in seconds, instead of a counter.
    pub fn with_bucket_bound(mut self, bucket_bound: f64) -> Self {
        self.bucket_bound = Some(bucket_bound);
        self
    }

    /// Returns the sum over the selected series.
    pub fn sum(&self, scrape: &Scrape) -> u64 {
        let selected = scrape.samples.iter().filter(|sample| self.matches(sample));
        let values = selected.filter_map(|sample| self.value(sample));
        values.fold(0, |sum: u64, value| sum.saturating_add(to_count(value)))
    }

    fn matches(&self, sample: &Sample) -> bool {
        let label_matches = self.labels.iter().all(|(label, matcher)| {
            let value = sample.labels.get(label).unwrap_or("");
            match matcher {
                LabelMatcher::OneOf(values) => values.iter().any(|other| other == value),
                LabelMatcher::NoneOf(values) => values.iter().all(|other| other != value),
            }
        });
        sample.metric == self.metric && label_matches
    }

    fn value(&self, sample: &Sample) -> Option<f64> {
        match (&sample.value, self.bucket_bound) {
            (Value::Counter(value) | Value::Untyped(value), None) => Some(*value),
            (Value::Histogram(buckets), Some(bucket_bound)) => {
                // Buckets are cumulative. The largest one within the bound is used, so that no
                // request above the threshold counts as good.
                let buckets_within = buckets
                    .iter()
                    .filter(|bucket| bucket.less_than <= bucket_bound);
                buckets_within.map(|bucket| bucket.count).reduce(f64::max)
            }
            _ => None,
        }
    }
}

pub fn count_events(
    good: &CounterSelector,
    total: &CounterSelector,
    scrape: &Scrape,
) -> EventCounts {
    EventCounts {
        good: good.sum(scrape),
        total: total.sum(scrape),
    }
}

/// Converts a sample value to a count; values that are not finite and positive count as zero.
fn to_count(value: f64) -> u64 {
    if value.is_finite() && value > 0.0 {
        // The conversion saturates.
        value as u64
    } else {
        0
    }
}
