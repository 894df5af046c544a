//! Tests claims to leadership.

use {
    catkindeck::{Moment, id::ObjectName},
    catkindeck_policy::direct::{ClaimDecision, decide_claim},
};

const COOLDOWN_MS: u64 = 3_000;

fn host(name: &str) -> ObjectName {
    ObjectName::try_from(name).expect("the name is valid")
}

fn step(holder: Option<&str>, now: u64, released: Option<u64>) -> ClaimDecision {
    let holder = holder.map(host);
    let released = released.map(Moment);
    decide_claim(
        Moment(now),
        &host("one"),
        holder.as_ref(),
        released,
        COOLDOWN_MS,
    )
}

/// Guards against a process that waits for its own claim to expire, which leaves the gateway
/// without a leader.
#[test]
fn a_claim_of_this_host_is_replaced_at_once() {
    assert_eq!(step(Some("one"), 10_000, Some(9_900)), ClaimDecision::Claim);
    assert_eq!(step(Some("one"), 10_000, None), ClaimDecision::Claim);
}

/// Guards against two successive leaders within the cooldown, which count as simultaneous.
#[test]
fn a_former_leader_waits_for_the_cooldown() {
    assert_eq!(step(None, 10_000, Some(7_000)), ClaimDecision::CoolDown);
    assert_eq!(step(None, 10_001, Some(7_000)), ClaimDecision::Claim);
    assert_eq!(step(None, 10_000, None), ClaimDecision::Claim);
    assert_eq!(step(Some("two"), 20_000, Some(7_000)), ClaimDecision::Wait);
}
