//! Whether a process may claim the control work.

use catkindeck::{Moment, id::ObjectName};

/// What a process does about the control work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// It writes its own claim.
    Claim,
    /// It waits until the claim of another process ends.
    Wait,
    /// It may not claim yet, although nobody holds the work.
    CoolDown,
}

/// Decides about a claim from what the store holds (`docs/platform.md`).
///
/// A claim of this host is replaced whatever run of the process wrote it: an earlier run is gone, and
/// this run may have taken its own claim for lost, because its renewals were late, while the store
/// kept it. Waiting for the end of its own claim would leave the work undone for good.
///
/// After a process ceased to do the work another may have acted, so it must not act again within
/// `cooldown_ms`, in which turns count as two processes in charge.
pub fn decide_claim(
    now: Moment,
    own: &ObjectName,
    holder: Option<&ObjectName>,
    released: Option<Moment>,
    cooldown_ms: u64,
) -> ClaimDecision {
    match holder {
        Some(holder) if holder == own => ClaimDecision::Claim,
        Some(_) => ClaimDecision::Wait,
        None if released.is_some_and(|at| now.since(at) <= cooldown_ms) => ClaimDecision::CoolDown,
        None => ClaimDecision::Claim,
    }
}
