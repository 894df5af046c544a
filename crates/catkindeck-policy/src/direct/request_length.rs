//! How long the recent requests of each service took.

use catkindeck::{Moment, SortedMap, id::ObjectName};

/// The length of a period of which the longest request is kept, in milliseconds.
const PERIOD_MS: u64 = 60_000;

/// The longest requests of each service, of the present period and of the one before.
#[derive(Debug, Clone, Default)]
pub struct RequestLengths(SortedMap<ObjectName, LengthPeriods>);

#[derive(Debug, Clone, Copy, Default)]
struct LengthPeriods {
    since: Moment,
    current_ms: u64,
    previous_ms: Option<u64>,
}

impl RequestLengths {
    /// Records a request that ended after `length_ms` milliseconds, or was given up after them.
    pub fn record(&mut self, now: Moment, service: &ObjectName, length_ms: u64) {
        let first = LengthPeriods {
            since: now,
            ..LengthPeriods::default()
        };
        let periods = self.0.get_or_insert_with(service.clone(), || first);
        let age_ms = now.since(periods.since);
        if age_ms >= PERIOD_MS {
            *periods = LengthPeriods {
                previous_ms: (age_ms < 2 * PERIOD_MS).then_some(periods.current_ms),
                ..first
            };
        }
        periods.current_ms = periods.current_ms.max(length_ms);
    }

    /// Returns how long the longest recent request of a service took, in milliseconds; `None` if there was none.
    pub fn longest_ms(&self, now: Moment, service: &ObjectName) -> Option<u64> {
        let periods = self.0.get(service)?;
        let is_recent = now.since(periods.since) < 2 * PERIOD_MS;
        is_recent.then(|| periods.current_ms.max(periods.previous_ms.unwrap_or(0)))
    }

    /// Drops the services without a recent request.
    pub fn drop_idle(&mut self, now: Moment) {
        self.0
            .retain(|_, periods| now.since(periods.since) < 2 * PERIOD_MS);
    }
}
