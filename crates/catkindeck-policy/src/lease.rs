//! The state machine of a lease holder.

use catkindeck::{Moment, message, platform::LeaseGrant};

/// The parameters of a lease holder.
#[derive(Debug, Clone)]
pub struct LeaseSettings {
    pub name: String,
    /// The name of this holder, which is unique to the process and its incarnation.
    pub holder: String,
    /// The requested time to live, in milliseconds.
    pub ttl_ms: u64,
    /// The time before expiry at which the holder stops sending orders, in milliseconds.
    pub margin_ms: u64,
    /// The maximum time that an order takes to arrive, in milliseconds; the lease is released no
    /// earlier than this after the last check.
    pub order_ms: u64,
}

/// A call of the holder to the store.
#[message]
#[derive(Copy)]
pub enum LeaseCall {
    /// Requests the lease.
    Acquire,
    /// Renews the lease with this fencing token.
    Renew(u64),
    /// Releases the lease with this fencing token.
    Release(u64),
}

/// The proof that the lease was held when an order was checked.
#[message]
#[derive(Copy)]
pub struct LeaseProof {
    /// The fencing token.
    pub number: u64,
    /// The time within which the order must arrive, in milliseconds: the order timeout, or the time
    /// until the safety margin begins if that is shorter.
    pub remaining_ms: u64,
}

/// The state of one lease in one process.
///
/// The time to live is measured from the moment before the granting call was sent. The store starts
/// measuring later, so this process stops using the lease before the store grants it to another
/// (`docs/design.md`, decision 7).
#[derive(Debug, Clone)]
pub struct LeaseState {
    ttl_ms: u64,
    margin_ms: u64,
    order_ms: u64,
    last_check: Option<Moment>,
    rank: u32,
    held: Option<HeldLease>,
    pending: Option<(LeaseCall, Moment)>,
    next_at: Moment,
    draining: bool,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    number: u64,
    expires: Moment,
}

impl LeaseState {
    /// Creates a state that requests the lease immediately.
    pub fn new(ttl_ms: u64, margin_ms: u64, order_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms,
            order_ms,
            last_check: None,
            rank: 0,
            held: None,
            pending: None,
            next_at: Moment::default(),
            draining: false,
        }
    }

    /// Sets this host's position among the hosts that may hold the lease, counted from zero.
    ///
    /// While another process holds the lease, a host of rank n delays its request by n times half
    /// the time to live, so the calls for one lease grow with the logarithm of the number of hosts.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns the call to make now; its outcome must be reported by one of the `on_` methods.
    pub fn poll(&mut self, now: Moment) -> Option<LeaseCall> {
        if self.pending.is_some() {
            return None;
        }
        if self.held.is_some_and(|held| now >= held.expires) {
            self.held = None;
            self.next_at = now;
        }
        let call = match self.held {
            // An order in transit must arrive before an order of the next holder.
            Some(_) if self.draining && now < self.release_at() => return None,
            Some(held) if self.draining => LeaseCall::Release(held.number),
            None if self.draining => return None,
            _ if now < self.next_at => return None,
            Some(held) => LeaseCall::Renew(held.number),
            None => LeaseCall::Acquire,
        };
        if matches!(call, LeaseCall::Release(_)) {
            self.held = None;
        }
        self.pending = Some((call, now));
        Some(call)
    }

    /// Returns when [`Self::poll`] next has something to do, apart from the outcome of a pending
    /// call.
    pub fn next_at(&self) -> Moment {
        match self.held {
            Some(_) if self.draining => self.release_at(),
            Some(held) => self.next_at.min(held.expires),
            None => self.next_at,
        }
    }

    /// Handles a pending call that obtained or renewed the lease.
    pub fn on_granted(&mut self, grant: &LeaseGrant) {
        let Some((call, sent)) = self.pending.take() else {
            return;
        };
        if matches!(call, LeaseCall::Release(_)) {
            return;
        }
        let ttl_ms = grant.ttl_ms.min(self.ttl_ms);
        self.held = Some(HeldLease {
            number: grant.number,
            expires: sent + ttl_ms,
        });
        self.next_at = sent + ttl_ms / 3;
    }

    /// Handles a rejection because another process holds the lease for at most `remaining_ms`.
    pub fn on_held(&mut self, remaining_ms: u64, now: Moment) {
        self.pending = None;
        self.held = None;
        let rank_delay_ms = u64::from(self.rank).saturating_mul(self.ttl_ms / 2);
        self.next_at = now + remaining_ms.saturating_add(rank_delay_ms).max(1);
    }

    /// Handles a rejection because the lease is no longer held with this fencing token.
    pub fn on_fenced(&mut self, now: Moment) {
        self.pending = None;
        self.held = None;
        self.next_at = now + 1;
    }

    /// Handles a pending call without response; the lease remains valid until it expires.
    pub fn on_unavailable(&mut self, now: Moment) {
        self.pending = None;
        self.next_at = now + (self.ttl_ms / 10).max(1);
    }

    /// Handles the end of a pending release, with or without a response.
    pub fn on_released(&mut self) {
        self.pending = None;
    }

    /// Stops using the lease; [`Self::poll`] releases it once orders in transit have arrived.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether the lease is drained and nothing is left to do.
    pub fn is_drained(&self) -> bool {
        self.draining && self.pending.is_none() && self.held.is_none()
    }

    /// Returns the proof that the lease is held now; must be called directly before each order.
    pub fn check(&mut self, now: Moment) -> Option<LeaseProof> {
        let held = self.held.filter(|_| !self.draining)?;
        let remaining_ms = held.expires.since(now + self.margin_ms);
        if remaining_ms == 0 {
            return None;
        }
        self.last_check = Some(now);
        Some(LeaseProof {
            number: held.number,
            remaining_ms: remaining_ms.min(self.order_ms),
        })
    }

    fn release_at(&self) -> Moment {
        self.last_check
            .map_or_else(Moment::default, |checked| checked + self.order_ms)
    }
}
