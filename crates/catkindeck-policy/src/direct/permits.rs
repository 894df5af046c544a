//! Permits to send requests to upstreams that limit the requests of all processes together
//! (`docs/platform.md`, "Named limits").
//!
//! One process, the leader, divides each limit: it grants permits from a bucket that fills at the named
//! rate, and a request to the upstream uses one permit. A fixed share for each process would waste most
//! of a limit, because few processes send to an upstream at a time.

use {
    super::{
        request_rate::{RateBucket, RequestRate},
        upstream::UpstreamKey,
    },
    catkindeck::{Moment, SortedMap},
    std::collections::VecDeque,
};

/// How long a permit may be used, in milliseconds. Permits that are not used are lost, and those that
/// were granted before a window count within it.
const PERMIT_LIFETIME_MS: u64 = 250;

/// The number of requests that may follow each other at once after a pause. An upstream tolerates five
/// more than its limit allows.
const LEADER_BURST: u32 = 4;

/// The share of a limit that a process grants if it is not known to be the leader, in percent. The leader
/// may grant the whole limit at the same time, and an upstream tolerates half more.
const STAND_IN_PERCENT: u64 = 40;

/// The permits of this process for one upstream.
#[derive(Debug, Clone, Default)]
pub struct PermitPool {
    /// When each permit expires.
    permits: VecDeque<Moment>,
    /// No permit is available before this moment, according to the leader.
    denied_until: Moment,
}

impl PermitPool {
    pub fn has_permit(&self, now: Moment) -> bool {
        self.permits.back().is_some_and(|expires| now < *expires)
    }

    /// Returns whether a permit may be requested.
    pub fn may_request(&self, now: Moment) -> bool {
        !self.has_permit(now) && now >= self.denied_until
    }

    /// Returns the moment before which no permit is available.
    pub fn denied_until(&self) -> Moment {
        self.denied_until
    }

    /// Uses a permit, if there is one.
    pub fn take(&mut self, now: Moment) {
        self.permits.retain(|expires| now < *expires);
        self.permits.pop_front();
    }

    /// Applies the leader's answer; it grants nothing before `wait_ms` if `count` is zero.
    pub fn apply_grant(&mut self, now: Moment, count: u32, wait_ms: u64) {
        self.permits.retain(|expires| now < *expires);
        for _ in 0..count {
            self.permits.push_back(now + PERMIT_LIFETIME_MS);
        }
        if count == 0 {
            self.denied_until = now + wait_ms;
        }
    }
}

/// Divides the limits of upstreams, in the leader or in a process that stands in for it.
#[derive(Debug, Clone, Default)]
pub struct PermitAllocator {
    buckets: SortedMap<UpstreamKey, RateBucket>,
    /// When this process began to divide limits; `None` if it never did.
    since: Option<Moment>,
    /// Until when this process is known to be the leader.
    confirmed_until: Moment,
}

impl PermitAllocator {
    /// Starts to divide limits as the leader. Former leaders may have granted all there was, so nothing is available
    /// yet.
    pub fn start(&mut self, now: Moment) {
        self.buckets = SortedMap::new();
        self.since = Some(now);
    }

    /// Starts to divide limits in place of a leader that cannot be reached, unless this process already does.
    pub fn stand_in(&mut self, now: Moment) {
        if self.since.is_none() {
            self.start(now);
        }
    }

    /// Records that this process is the leader until a moment.
    pub fn confirm(&mut self, until: Moment) {
        self.confirmed_until = until;
    }

    /// Returns whether this process is or was the leader.
    pub fn is_started(&self) -> bool {
        self.since.is_some()
    }

    /// Grants up to `wanted` permits for an upstream whose limit is `rate` since `limited_since`.
    /// Returns the number granted, and the time until the next one in milliseconds if there are none.
    pub fn grant(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        (rate, limited_since): (RequestRate, Moment),
        wanted: u32,
    ) -> (u32, u64) {
        let (rate, burst) = match now < self.confirmed_until {
            true => (rate, LEADER_BURST),
            false => (rate.share(STAND_IN_PERCENT), 1),
        };
        let Some(bucket) = self.bucket(key, limited_since) else {
            return (0, PERMIT_LIFETIME_MS);
        };
        bucket.set_burst(burst);
        match bucket.take(now, rate, wanted) {
            0 => (0, bucket.wait_ms(now, rate).unwrap_or(u64::MAX)),
            count => (count, 0),
        }
    }

    /// Charges an upstream's limit for a request that is sent whether or not a permit is available; later
    /// permits wait for it.
    pub fn charge(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        (rate, limited_since): (RequestRate, Moment),
    ) {
        if let Some(bucket) = self.bucket(key, limited_since) {
            bucket.charge(now, rate);
        }
    }

    fn bucket(&mut self, key: UpstreamKey, limited_since: Moment) -> Option<&mut RateBucket> {
        let start = self.since?.max(limited_since);
        Some(
            self.buckets
                .get_or_insert_with(key, || RateBucket::empty(start, 1)),
        )
    }
}
