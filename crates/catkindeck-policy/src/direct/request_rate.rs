//! Rates of requests, and the bucket that keeps requests within one.

use {
    catkindeck::{ErrorKind, Moment, ServiceError, key},
    std::fmt,
};

/// The credit for one request. A bucket counts in millionths of a request, so that a rate in requests
/// per 1,000 s adds a whole number each millisecond.
const REQUEST_CREDIT: i64 = 1_000_000;

/// The time for which unused credit is kept at high rates, in milliseconds.
const BURST_MS: i64 = 50;

/// How many requests an upstream takes, in requests per 1,000 s.
#[key]
pub struct RequestRate {
    pub per_ks: u32,
}

impl RequestRate {
    /// Returns a share of the rate, in percent.
    pub fn share(self, percent: u64) -> Self {
        let per_ks = u64::from(self.per_ks) * percent / 100;
        Self {
            per_ks: u32::try_from(per_ks).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = ServiceError;

    /// Reads a decimal number of requests per second.
    ///
    /// # Errors
    ///
    /// Returns `upstream_failed` unless the text is a finite number that is not negative.
    fn try_from(text: &str) -> Result<Self, ServiceError> {
        let per_s: Option<f64> = text.trim().parse().ok();
        let valid = per_s.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let Some(rate) = valid else {
            return Err(ServiceError::unknown(
                ErrorKind::UpstreamFailed,
                format!("`{text}` is not a number of requests per second"),
            ));
        };
        let per_ks = (rate * 1_000.0).floor().min(f64::from(u32::MAX));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is within the range of u32"
        )]
        let per_ks = per_ks as u32;
        Ok(Self { per_ks })
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.per_ks / 1_000, self.per_ks % 1_000);
        write!(formatter, "{whole}.{rest:03}")
    }
}

/// A token bucket: credit for requests that grows at a rate.
///
/// The rate is passed to each call, because upstreams change it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateBucket {
    credit: i64,
    updated: Moment,
    /// The number of requests for which credit is kept at any rate.
    burst: u32,
}

impl RateBucket {
    /// Creates a bucket without credit, because it is unknown what was sent before.
    pub fn empty(now: Moment, burst: u32) -> Self {
        Self {
            credit: 0,
            updated: now,
            burst: burst.max(1),
        }
    }

    /// Changes the number of requests for which credit is kept.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = burst.max(1);
    }

    /// Takes credit for up to `wanted` requests and returns for how many there was some.
    pub fn take(&mut self, now: Moment, rate: RequestRate, wanted: u32) -> u32 {
        self.refill(now, rate);
        let available = (self.credit / REQUEST_CREDIT).max(0);
        let taken = wanted.min(u32::try_from(available).unwrap_or(u32::MAX));
        self.credit -= i64::from(taken) * REQUEST_CREDIT;
        taken
    }

    /// Takes credit for one request even if there is none, so that later requests wait for it.
    pub fn charge(&mut self, now: Moment, rate: RequestRate) {
        self.refill(now, rate);
        self.credit -= REQUEST_CREDIT;
    }

    /// Returns the time until there is credit for one request, in milliseconds; `None` if there will be
    /// none at this rate.
    pub fn wait_ms(&mut self, now: Moment, rate: RequestRate) -> Option<u64> {
        self.refill(now, rate);
        let missing = u64::try_from(REQUEST_CREDIT - self.credit).unwrap_or(0);
        match (missing, rate.per_ks) {
            (0, _) => Some(0),
            (_, 0) => None,
            (missing, per_ks) => Some(missing.div_ceil(u64::from(per_ks))),
        }
    }

    fn refill(&mut self, now: Moment, rate: RequestRate) {
        let elapsed_ms = i64::try_from(now.since(self.updated)).unwrap_or(i64::MAX);
        let per_ms = i64::from(rate.per_ks);
        let most = (per_ms * BURST_MS).max(REQUEST_CREDIT * i64::from(self.burst));
        let gained = per_ms.saturating_mul(elapsed_ms);
        self.credit = self.credit.saturating_add(gained).min(most);
        self.updated = self.updated.max(now);
    }
}
