//! The request limit that an upstream in need names (`docs/platform.md`, "Named limits").

use {super::request_rate::RequestRate, catkindeck::Moment};

/// The lowest rate at which an upstream is used. Only a response shows that a limit has ended, so even
/// an upstream that takes nothing gets a request now and then.
const PROBE_RATE: RequestRate = RequestRate { per_ks: 250 };

/// What an upstream's response says about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitHeader {
    /// The response names no limit.
    #[default]
    Absent,
    /// The response names a limit that cannot be read, which changes nothing.
    Unreadable,
    Named(RequestRate),
}

/// The limit of one instance of an upstream as known to this process.
///
/// Processes learn of limits independently and in any order, so the most recent evidence decides. A
/// response that names a limit is evidence for the time at which it arrived. One without a limit is
/// evidence only for the time at which its request was sent: it may have been under way when a limit was
/// named on another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamLimit {
    rate: Option<RequestRate>,
    evidence_at: Moment,
    changed_at: Moment,
}

impl UpstreamLimit {
    /// Returns the limit that is in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the rate at which requests may be sent, with the moment since which it is in force.
    pub fn in_force(&self) -> Option<(RequestRate, Moment)> {
        let rate = self.rate?.max(PROBE_RATE);
        Some((rate, self.changed_at))
    }

    /// Returns the time of the most recent evidence.
    pub fn evidence_at(&self) -> Moment {
        self.evidence_at
    }

    /// Applies a response to a request that was sent at `sent`. Returns whether the limit changed.
    pub fn observe(&mut self, now: Moment, sent: Moment, header: LimitHeader) -> bool {
        match header {
            LimitHeader::Unreadable => false,
            LimitHeader::Named(rate) => self.apply(now, Some(rate)),
            LimitHeader::Absent => self.rate.is_some() && self.apply(sent, None),
        }
    }

    /// Applies evidence from another process. Returns whether the limit changed.
    pub fn apply(&mut self, at: Moment, rate: Option<RequestRate>) -> bool {
        if at <= self.evidence_at && self.evidence_at != Moment(0) {
            return false;
        }
        self.evidence_at = at;
        let is_changed = std::mem::replace(&mut self.rate, rate) != rate;
        if is_changed {
            self.changed_at = at;
        }
        is_changed
    }
}
