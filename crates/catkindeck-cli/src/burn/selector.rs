//! Selection of counters at `/metrics`.

use {
    super::sample::CountPair,
    prometheus_parse::{Sample, Scrape, Value},
};

/// A condition on a label.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LabelTest {
    /// The label has one of these values.
    OneOf(Vec<String>),
    /// The label has none of these values.
    NoneOf(Vec<String>),
}

/// Selects series of a counter or a bucket of a histogram.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterSelector {
    /// The metric's name; for histograms, without `_bucket`.
    pub metric: String,
    /// The conditions on labels.
    pub labels: Vec<(String, LabelTest)>,
    /// For a histogram, the bound of the bucket that counts, in seconds; infinite for all.
    pub bound: Option<f64>,
}

impl CounterSelector {
    /// Makes a selector of a counter with one label.
    pub fn counter(metric: &str, label: &str, values: &[String]) -> Self {
        Self {
            metric: metric.to_owned(),
            labels: vec![(label.to_owned(), LabelTest::OneOf(values.to_vec()))],
            bound: None,
        }
    }

    /// Adds a condition.
    pub fn with(mut self, label: &str, test: LabelTest) -> Self {
        self.labels.push((label.to_owned(), test));
        self
    }

    /// Counts the bucket up to a bound in place of a counter.
    pub fn up_to(mut self, bound: f64) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Returns the sum of the selected series.
    pub fn sum(&self, scrape: &Scrape) -> u64 {
        let selected = scrape.samples.iter().filter(|sample| self.matches(sample));
        let values = selected.filter_map(|sample| self.value(sample));
        values.fold(0, |sum: u64, value| sum.saturating_add(whole(value)))
    }

    fn matches(&self, sample: &Sample) -> bool {
        let tests = self.labels.iter().all(|(label, test)| {
            let value = sample.labels.get(label).unwrap_or("");
            match test {
                LabelTest::OneOf(values) => values.iter().any(|other| other == value),
                LabelTest::NoneOf(values) => values.iter().all(|other| other != value),
            }
        });
        sample.metric == self.metric && tests
    }

    fn value(&self, sample: &Sample) -> Option<f64> {
        match (&sample.value, self.bound) {
            (Value::Counter(value) | Value::Untyped(value), None) => Some(*value),
            (Value::Histogram(buckets), Some(bound)) => {
                // Buckets count cumulatively; the largest bound within the threshold is taken, so
                // that no request above the threshold counts as good.
                let within = buckets.iter().filter(|bucket| bucket.less_than <= bound);
                within.map(|bucket| bucket.count).reduce(f64::max)
            }
            _ => None,
        }
    }
}

/// Sums up the good and all events of one objective.
pub fn count_pair(good: &CounterSelector, total: &CounterSelector, scrape: &Scrape) -> CountPair {
    CountPair {
        good: good.sum(scrape),
        total: total.sum(scrape),
    }
}

/// Counters are whole numbers; anything else counts as nothing.
fn whole(value: f64) -> u64 {
    if value.is_finite() && value > 0.0 {
        // The conversion of a finite positive number saturates.
        value as u64
    } else {
        0
    }
}
