//! How many engines have which version of a model, for operators.

use {
    super::{
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
        weights::{MAX_VERSION_LAG, TargetVersion},
    },
    catkindeck::{Moment, token::WeightVersion},
};

/// How many engines have which versions of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// The engines with the named version or a newer one.
    pub current: usize,
    /// The engines with an older version that the next step will allow.
    pub behind: usize,
    /// The engines that load the model's weights.
    pub loading: usize,
}

/// Counts the engines that accept work by the version that they have of a target's model.
pub fn count_versions(
    now: Moment,
    table: &UpstreamTable,
    target: &TargetVersion,
    oldest_allowed: WeightVersion,
) -> VersionCounts {
    let mut counts = VersionCounts::default();
    for (key, state) in table.iter() {
        if !table.accepts_work(key) {
            continue;
        }
        let version = state.version(&target.model);
        if state.is_loading(now, &target.model) {
            counts.loading += 1;
        } else if version >= Some(target.version) {
            counts.current += 1;
        } else if version >= Some(oldest_allowed) {
            counts.behind += 1;
        }
    }
    counts
}

/// Returns how many upstreams have weights that the allowed lag permits for the target's next step.
pub fn current_engines(table: &UpstreamTable, target: &TargetVersion) -> usize {
    let oldest_allowed = WeightVersion(target.version.0.saturating_sub(MAX_VERSION_LAG));
    let is_current = |(key, state): &(UpstreamKey, &UpstreamState)| {
        table.accepts_work(*key) && state.version(&target.model) >= Some(oldest_allowed)
    };
    table.iter().filter(is_current).count()
}
