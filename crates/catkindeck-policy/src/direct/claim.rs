//! Election of the process that holds the control role.

use catkindeck::{Moment, id::ObjectName};

/// What a process does to obtain the control role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The process writes its own claim.
    Claim,
    /// The process waits until another process's claim expires.
    Wait,
    /// No process holds the role, but this one is still in its cooldown.
    CoolDown,
}

/// Decides what to do about the control role from the claim in the store (`docs/platform.md`).
///
/// A claim of this host is replaced at once, whichever incarnation of the process wrote it. It was
/// either written by an earlier incarnation, which is gone, or by this one, which gave the claim up
/// because its renewals were late while the store kept it. Waiting for the process's own claim to
/// expire would leave the role vacant for good.
///
/// `released` is when this process last gave up the role. Another process may have acted since, and
/// two holders within `cooldown_ms` count as two processes in charge, so this one waits that long.
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
