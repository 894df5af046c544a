//! Which request starts when, as a function of its number.

use super::profile::{LoadProfile, LoopKind};

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallSide {
    /// Through an entry and an agent.
    Entry,
    /// Straight to the upstream.
    Direct,
}

/// One request of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSlot {
    /// The number of the request, or of the pair of requests when sides are compared.
    pub number: u64,
    /// Where it goes.
    pub side: CallSide,
    /// The position of the customer in the profile.
    pub customer: usize,
    /// The start after the run's beginning, in microseconds; `None` means at once.
    pub due_us: Option<u64>,
}

/// The order of requests, the same in every run of a profile.
#[derive(Debug, Clone)]
pub struct LoadSchedule {
    /// For each customer, the sum of the shares up to and including its own.
    ends: Vec<u64>,
    loop_kind: LoopKind,
    compare: bool,
}

impl LoadSchedule {
    /// Makes the schedule of a profile.
    pub fn new(profile: &LoadProfile, compare: bool) -> Self {
        let ends = profile.customers.iter().scan(0, |sum, customer| {
            *sum += customer.share;
            Some(*sum)
        });
        Self {
            ends: ends.collect(),
            loop_kind: profile.loop_kind,
            compare,
        }
    }

    /// Returns the request with a number.
    ///
    /// Compared sides alternate with the same customer and prompt, so that both meet the same
    /// conditions of the machine.
    pub fn slot(&self, index: u64) -> LoadSlot {
        let (number, side) = match (self.compare, index % 2) {
            (false, _) => (index, CallSide::Entry),
            (true, 0) => (index / 2, CallSide::Entry),
            (true, _) => (index / 2, CallSide::Direct),
        };
        let total = self.ends.last().copied().unwrap_or(1).max(1);
        // Multiplying by a number without common factors spreads a customer's requests out.
        let point = (number % total) * spread_factor(total) % total;
        let due_us = match self.loop_kind {
            LoopKind::Open(rate) => {
                let due = u128::from(index) * 1_000_000 / u128::from(rate.max(1));
                Some(u64::try_from(due).unwrap_or(u64::MAX))
            }
            LoopKind::Closed => None,
        };
        LoadSlot {
            number,
            side,
            customer: self.ends.partition_point(|end| *end <= point),
            due_us,
        }
    }
}

/// Returns a number near the golden section of `total` that has no common factor with it.
fn spread_factor(total: u64) -> u64 {
    let mut factor = (total * 618 / 1000).max(1);
    while greatest_divisor(factor, total) != 1 {
        factor += 1;
    }
    factor
}

fn greatest_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        return left;
    }
    greatest_divisor(right, left % right)
}
