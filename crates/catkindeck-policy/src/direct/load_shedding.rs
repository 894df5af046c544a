//! What a host that nears its memory or link bound still takes on.
//!
//! The load pattern: slow callers, large bodies or relayed calls fill one small host, while others have room. Work
//! that another host can do at once is refused first, so that the host keeps what callers gave it.

use {
    super::selection::rendezvous_score,
    catkindeck::{Moment, key},
};

/// The use from which relayed work is refused, in percent of the bound.
const RELAYED_PERCENT: u32 = 70;

/// The use from which new requests and jobs are refused, in percent of the bound.
const NEW_WORK_PERCENT: u32 = 90;

/// The use below which a stage may end, in percent of the use at which it begins.
const END_PERCENT: u32 = 75;

/// How long the use must stay below that before a stage ends, in milliseconds. One more stage takes as long.
const END_HOLD_MS: u64 = 1_000;

/// How long new work has been refused before the host says that it is not ready, in milliseconds. Refusals alone end
/// a short peak, and a load balancer checks less often.
const UNREADY_DELAY_MS: u64 = 500;

/// The age of the list of processes up to which it tells who may be unready, in milliseconds. It is
/// longer than the time between two of the leader's reads of the processes.
const MAX_LIST_AGE_MS: u64 = 3_000;

/// The divisor of the entries of an availability zone that may be unready.
const UNREADY_DIVISOR: usize = 2;

/// The weight of the latest second in the average use of a link, as a divisor. One large transfer uses the link fully
/// for a moment on any host.
const LINK_SAMPLE_DIVISOR: u64 = 3;

/// What a host refuses.
#[key]
#[derive(Default)]
pub enum ShedStage {
    #[default]
    Open,
    /// It refuses work that other processes relay through it.
    RelayedWork,
    /// It refuses new requests and jobs as well.
    NewWork,
    /// It says that it is not ready as well.
    Unready,
}

impl ShedStage {
    /// Returns the value in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::RelayedWork => "relayed_work",
            Self::NewWork => "new_work",
            Self::Unready => "unready",
        }
    }

    /// Returns the use at which the stage begins, in percent of the bound.
    fn begin_percent(self) -> u32 {
        match self {
            Self::Open => 0,
            Self::RelayedWork => RELAYED_PERCENT,
            Self::NewWork | Self::Unready => NEW_WORK_PERCENT,
        }
    }

    fn previous(self) -> Self {
        match self {
            Self::Open | Self::RelayedWork => Self::Open,
            Self::NewWork => Self::RelayedWork,
            Self::Unready => Self::NewWork,
        }
    }
}

/// Decides what this host refuses, with hysteresis.
#[derive(Debug, Clone, Default)]
pub struct ShedGuard {
    stage: ShedStage,
    since: Moment,
    /// Since when the use has been so low that the stage may end.
    low_since: Option<Moment>,
}

impl ShedGuard {
    /// Records the use of the fullest resource, in percent of its bound, and returns the stage.
    ///
    /// `may_be_unready` tells whether enough other entries of the availability zone stay ready.
    pub fn observe(&mut self, now: Moment, use_percent: u32, may_be_unready: bool) -> ShedStage {
        let is_high = use_percent >= NEW_WORK_PERCENT;
        let reached = match self.stage {
            ShedStage::NewWork | ShedStage::Unready
                if is_high && may_be_unready && self.lasted(now, UNREADY_DELAY_MS) =>
            {
                ShedStage::Unready
            }
            ShedStage::Unready if !may_be_unready => return self.enter(now, ShedStage::NewWork),
            _ if is_high => ShedStage::NewWork,
            _ if use_percent >= RELAYED_PERCENT => ShedStage::RelayedWork,
            _ => ShedStage::Open,
        };
        if reached > self.stage {
            return self.enter(now, reached);
        }
        if use_percent >= self.stage.begin_percent() * END_PERCENT / 100 {
            self.low_since = None;
            return self.stage;
        }
        let low_since = *self.low_since.get_or_insert(now);
        if self.stage != ShedStage::Open && now.since(low_since) >= END_HOLD_MS {
            return self.enter(now, self.stage.previous());
        }
        self.stage
    }

    pub fn stage(&self) -> ShedStage {
        self.stage
    }

    /// Returns the time until new work can be taken again at the earliest, in milliseconds.
    pub fn return_ms(&self, now: Moment) -> u64 {
        let low_ms = self.low_since.map_or(0, |since| now.since(since));
        let stages = match self.stage {
            ShedStage::Open | ShedStage::RelayedWork => return 0,
            ShedStage::NewWork => 1,
            ShedStage::Unready => 2,
        };
        (stages * END_HOLD_MS).saturating_sub(low_ms).max(1)
    }

    fn lasted(&self, now: Moment, time_ms: u64) -> bool {
        self.stage == ShedStage::Unready || now.since(self.since) >= time_ms
    }

    fn enter(&mut self, now: Moment, stage: ShedStage) -> ShedStage {
        (self.stage, self.since, self.low_since) = (stage, now, None);
        stage
    }
}

/// An entry of the same availability zone.
#[derive(Debug, Clone, Copy)]
pub struct ZoneEntry<'a> {
    pub host: &'a str,
    /// Whether the host is being drained, so that it takes no new callers anyway.
    pub is_draining: bool,
}

/// Decides whether this entry may be unready while it is full, so that at least half of the entries of its
/// availability zone stay ready, without a message between them.
///
/// All entries order the list of processes alike, and only the first half in that order may be unready. As lists
/// reach processes at different times, an entry counts on its place only after all lists without it are too old to
/// be counted on.
#[derive(Debug, Clone, Default)]
pub struct UnreadyAllowance {
    allowed_since: Option<Moment>,
}

impl UnreadyAllowance {
    /// Records the entries of the zone, this one included, as listed `list_age_ms` ago, and returns the decision.
    pub fn observe(
        &mut self,
        now: Moment,
        own: &str,
        entries: &[ZoneEntry<'_>],
        list_age_ms: u64,
    ) -> bool {
        if list_age_ms >= MAX_LIST_AGE_MS || !is_in_first_half(own, entries) {
            self.allowed_since = None;
            return false;
        }
        let since = *self.allowed_since.get_or_insert(now);
        now.since(since) >= MAX_LIST_AGE_MS
    }
}

fn is_in_first_half(own: &str, entries: &[ZoneEntry<'_>]) -> bool {
    let mut others: Vec<&ZoneEntry<'_>> =
        entries.iter().filter(|entry| !entry.is_draining).collect();
    let draining = entries.len() - others.len();
    others.sort_by_cached_key(|entry| rendezvous_score(&[entry.host.as_bytes()]));
    let allowed = (entries.len() / UNREADY_DIVISOR).saturating_sub(draining);
    let mut first = others.iter().take(allowed);
    first.any(|entry| entry.host == own)
}

/// Averages the use of the host's link over the last seconds.
#[derive(Debug, Clone, Default)]
pub struct LinkMeter {
    last: Option<(Moment, u64)>,
    bytes_per_s: u64,
}

impl LinkMeter {
    /// Records the bytes that the link has carried so far in its busier direction.
    pub fn record(&mut self, now: Moment, total_bytes: u64) {
        if let Some((at, bytes)) = self.last {
            let elapsed_ms = now.since(at).max(1);
            let rate = total_bytes.saturating_sub(bytes) * 1_000 / elapsed_ms;
            let rest = self.bytes_per_s * (LINK_SAMPLE_DIVISOR - 1);
            self.bytes_per_s = (rest + rate) / LINK_SAMPLE_DIVISOR;
        }
        self.last = Some((now, total_bytes));
    }

    /// Returns the average use of a link with this rate in megabits per second, in percent; zero if it is unknown.
    pub fn use_percent(&self, link_mbps: u32) -> u32 {
        let limit = u64::from(link_mbps) * 1_000_000 / 8;
        let percent = (self.bytes_per_s * 100).checked_div(limit).unwrap_or(0);
        u32::try_from(percent).unwrap_or(u32::MAX)
    }
}
