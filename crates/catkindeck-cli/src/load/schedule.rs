//! The schedule of requests, as a function of the request index.

use super::profile::{LoadProfile, LoopKind};

/// The side of a comparison that a request measures; without `--compare`, always `Entry`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ComparedSide {
    /// Through an entry and an agent.
    Entry,
    /// Directly to the upstream.
    Direct,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// The number of the request, or of the pair of requests when sides are compared.
    pub number: u64,
    pub side: ComparedSide,
    /// The index of the customer in the profile.
    pub customer: usize,
    /// The start time since the beginning of the run, in microseconds; `None` means immediately.
    pub due_us: Option<u64>,
}

/// The order of requests, which is the same in every run of a profile.
#[derive(Debug, Clone)]
pub struct LoadSchedule {
    /// For each customer, the sum of the shares up to and including its own.
    cumulative_shares: Vec<u64>,
    loop_kind: LoopKind,
    compare: bool,
}

impl LoadSchedule {
    pub fn new(profile: &LoadProfile, compare: bool) -> Self {
        let cumulative_shares = profile.customers.iter().scan(0, |sum, customer| {
            *sum += customer.share;
            Some(*sum)
        });
        Self {
            cumulative_shares: cumulative_shares.collect(),
            loop_kind: profile.loop_kind,
            compare,
        }
    }

    /// Returns the request with an index.
    ///
    /// When sides are compared, requests alternate between them with the same customer and prompt, so
    /// that both sides are measured under the same conditions.
    pub fn request(&self, index: u64) -> ScheduledRequest {
        let (number, side) = match (self.compare, index % 2) {
            (false, _) => (index, ComparedSide::Entry),
            (true, 0) => (index / 2, ComparedSide::Entry),
            (true, _) => (index / 2, ComparedSide::Direct),
        };
        let total = self.cumulative_shares.last().copied().unwrap_or(1).max(1);
        // A stride that is coprime to the total spreads the requests of a customer evenly.
        let position = (number % total) * coprime_stride(total) % total;
        let due_us = match self.loop_kind {
            LoopKind::Open(rate) => {
                let due = u128::from(index) * 1_000_000 / u128::from(rate.max(1));
                Some(u64::try_from(due).unwrap_or(u64::MAX))
            }
            LoopKind::Closed => None,
        };
        ScheduledRequest {
            number,
            side,
            customer: self
                .cumulative_shares
                .partition_point(|end| *end <= position),
            due_us,
        }
    }
}

/// Returns a number near `total` divided by the golden ratio that is coprime to `total`.
fn coprime_stride(total: u64) -> u64 {
    let mut stride = (total * 618 / 1000).max(1);
    while greatest_common_divisor(stride, total) != 1 {
        stride += 1;
    }
    stride
}

fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        return left;
    }
    greatest_common_divisor(right, left % right)
}
