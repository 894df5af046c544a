//! Election of the leader, the process that does the gateway's control work.

use catkindeck::{Moment, id::ObjectName};

/// What a process does about leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The process claims leadership.
    Claim,
    /// The process waits until another process's claim expires.
    Wait,
    /// No process is the leader, but this one gave up leadership too recently to claim it again.
    CoolDown,
}

/// Decides what to do about leadership from the claim in the store (`docs/platform.md`).
///
/// A claim of this host is replaced at once, whichever incarnation of the process wrote it. It was
/// written either by an earlier incarnation, which no longer runs, or by this one, which gave the
/// claim up because its renewals were late while the store kept it. Waiting for the process's own
/// claim to expire would leave the gateway without a leader forever.
///
/// `released` is when this process last gave up leadership. Another process may have been the
/// leader since, and two leaders within `cooldown_ms` count as simultaneous, so this process waits
/// that long.
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
