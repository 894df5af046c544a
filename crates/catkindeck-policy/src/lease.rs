//! The decisions of a lease holder, without clock, thread or socket.

use catkindeck::{Moment, message, platform::LeaseGrant};

/// What a lease holder is told.
#[derive(Debug, Clone)]
pub struct LeaseSettings {
    /// The lease's name.
    pub name: String,
    /// The name of this holder, which differs between processes and between their runs.
    pub holder: String,
    /// The time to live that is asked for, in milliseconds.
    pub ttl_ms: u64,
    /// The time before expiry from which no order is sent any more, in milliseconds.
    pub margin_ms: u64,
    /// The longest time that an order takes to arrive, in milliseconds; the lease is given back
    /// only this long after the last check.
    pub order_ms: u64,
}

/// A call to the store that the holder makes.
#[message]
#[derive(Copy)]
pub enum LeaseCall {
    /// Asks for the lease.
    Acquire,
    /// Renews the lease with this number.
    Renew(u64),
    /// Gives back the lease with this number.
    Release(u64),
}

/// The proof that a lease was held when an order was checked.
#[message]
#[derive(Copy)]
pub struct LeaseProof {
    /// The fencing number.
    pub number: u64,
    /// The time by which an order must have arrived, in milliseconds: the time that orders take,
    /// or the time until the safety margin begins if that is shorter.
    pub remaining_ms: u64,
}

/// The state of one lease in one process.
///
/// The lease is measured from before the call that obtained it was sent. The store's own
/// measurement starts later, so this process stops before the store gives the lease to another
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
    /// Makes a state that asks for the lease at once.
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
    /// A host of rank n waits half a time to live n times longer before it asks for a lease that
    /// another holds, so the calls for one lease grow with the logarithm of the number of hosts.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns the call to make now; its outcome is reported by one of the `on_` methods.
    pub fn poll(&mut self, now: Moment) -> Option<LeaseCall> {
        if self.pending.is_some() {
            return None;
        }
        if self.held.is_some_and(|held| now >= held.expires) {
            self.held = None;
            self.next_at = now;
        }
        let call = match self.held {
            // An order still on its way must arrive before a successor's.
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

    /// Returns when [`Self::poll`] has something to do, apart from the outcome of a pending call.
    pub fn next_at(&self) -> Moment {
        match self.held {
            Some(_) if self.draining => self.release_at(),
            Some(held) => self.next_at.min(held.expires),
            None => self.next_at,
        }
    }

    /// The pending call obtained or renewed the lease.
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

    /// Another process holds the lease for at most `remaining_ms`.
    pub fn on_held(&mut self, remaining_ms: u64, now: Moment) {
        self.pending = None;
        self.held = None;
        let rank_delay_ms = u64::from(self.rank).saturating_mul(self.ttl_ms / 2);
        self.next_at = now + remaining_ms.saturating_add(rank_delay_ms).max(1);
    }

    /// The lease is no longer held under its number.
    pub fn on_fenced(&mut self, now: Moment) {
        self.pending = None;
        self.held = None;
        self.next_at = now + 1;
    }

    /// The pending call had no answer; the lease lasts until its expiry.
    pub fn on_unavailable(&mut self, now: Moment) {
        self.pending = None;
        self.next_at = now + (self.ttl_ms / 10).max(1);
    }

    /// The pending release is done, with or without an answer.
    pub fn on_released(&mut self) {
        self.pending = None;
    }

    /// Stops the use of the lease; the next [`Self::poll`] gives it back.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Tells whether the lease was drained and nothing is left to do.
    pub fn is_drained(&self) -> bool {
        self.draining && self.pending.is_none() && self.held.is_none()
    }

    /// Returns the proof that the lease is held now, called directly before each order.
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
