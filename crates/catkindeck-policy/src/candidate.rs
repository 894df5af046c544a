//! The state of one upstream in an entry.

use {
    crate::{hash, router::RouterSettings},
    catkindeck::{
        Moment,
        config::UpstreamRecord,
        id::{IncarnationId, ObjectName},
        message::LoadReport,
    },
};

/// An upstream in the subset of an entry.
#[derive(Debug, Clone)]
pub(crate) struct RouteCandidate {
    pub(crate) name: ObjectName,
    pub(crate) service: ObjectName,
    pub(crate) hash: u64,
    pub(crate) draining: bool,
    zone_out: bool,
    report: Option<ReportedLoad>,
    sent_since_report: u64,
    in_flight: u64,
    prefixes: Vec<u64>,
    failures: u32,
    failure_backoff_until: Moment,
    closed_until: Moment,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    at: Moment,
    incarnation: IncarnationId,
    limit: u64,
    busy: u64,
    credits: u64,
}

/// The estimated load of an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamLoad {
    pub(crate) used: u64,
    pub(crate) limit: u64,
    pub(crate) credits: u64,
}

impl UpstreamLoad {
    /// Compares by available credit, then by utilization of the limit.
    pub(crate) fn is_less_loaded(&self, other: &Self) -> bool {
        let (own, theirs) = (self.credits > 0, other.credits > 0);
        if own != theirs {
            return own;
        }
        let own = u128::from(self.used + 1) * u128::from(other.limit);
        own < u128::from(other.used + 1) * u128::from(self.limit)
    }
}

impl RouteCandidate {
    pub(crate) fn new(upstream: &UpstreamRecord) -> Self {
        Self {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            hash: hash::digest64(&[upstream.name.as_str().as_bytes()]),
            draining: false,
            zone_out: false,
            report: None,
            sent_since_report: 0,
            in_flight: 0,
            prefixes: Vec::new(),
            failures: 0,
            failure_backoff_until: Moment(0),
            closed_until: Moment(0),
        }
    }

    /// Applies the configuration. When a zone accepts work again, its upstreams leave their
    /// backoffs.
    pub(crate) fn set_zone(&mut self, upstream: &UpstreamRecord, out: bool) {
        self.service.clone_from(&upstream.service);
        if self.zone_out && !out {
            self.failure_backoff_until = Moment(0);
            self.closed_until = Moment(0);
            self.report = None;
            self.sent_since_report = 0;
        }
        self.zone_out = out;
    }

    pub(crate) fn accepts_work(&self, now: Moment) -> bool {
        self.is_available(now) && self.failure_backoff_until <= now
    }

    /// Returns whether the upstream would accept work if its failures are ignored, so that it may
    /// be used as a last resort.
    pub(crate) fn is_available(&self, now: Moment) -> bool {
        !self.draining && !self.zone_out && self.closed_until <= now
    }

    /// Estimates the load from the last report, its age and the requests sent since.
    pub(crate) fn load(&self, now: Moment, settings: &RouterSettings) -> UpstreamLoad {
        let Some(report) = &self.report else {
            // An upstream without a report may be cold, so it gets one request at a time.
            return UpstreamLoad {
                used: self.in_flight,
                limit: 1,
                credits: u64::from(self.in_flight == 0),
            };
        };
        let age = now.since(report.at);
        let mut used = report.busy + self.sent_since_report;
        let mut credits = report.credits.saturating_sub(self.sent_since_report);
        if age > settings.report_lifetime_ms {
            // Requests of other entries have probably ended by now; this entry's own in-flight
            // requests have not.
            used = (used * settings.report_lifetime_ms / age).max(self.in_flight);
            credits = credits.max(u64::from(used < report.limit));
        }
        UpstreamLoad {
            used,
            limit: report.limit,
            credits,
        }
    }

    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    pub(crate) fn incarnation(&self) -> Option<IncarnationId> {
        self.report.map(|report| report.incarnation)
    }

    pub(crate) fn record_sent(&mut self) {
        self.sent_since_report += 1;
        self.in_flight += 1;
    }

    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn record_report(&mut self, now: Moment, report: &LoadReport, closed_until: Moment) {
        self.report = Some(ReportedLoad {
            at: now,
            incarnation: report.incarnation,
            limit: u64::from(report.limit.max(1)),
            busy: u64::from(report.in_flight) + u64::from(report.queued),
            credits: u64::from(report.credits),
        });
        self.sent_since_report = 0;
        self.prefixes.clone_from(&report.prefixes);
        self.failures = 0;
        self.failure_backoff_until = Moment(0);
        self.closed_until = match report.closed {
            true => closed_until,
            false => Moment(0),
        };
    }

    pub(crate) fn record_failure(&mut self, now: Moment, settings: &RouterSettings) {
        let doubled = settings
            .failure_backoff_ms
            .saturating_mul(1 << self.failures.min(16));
        self.failure_backoff_until = now + doubled.min(settings.max_backoff_ms);
        self.failures += 1;
        // The agent may have restarted, which invalidates its last report.
        self.report = None;
        self.sent_since_report = 0;
        self.prefixes.clear();
    }
}
