//! The fence of an agent against orders from former lease holders.

use {
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        id::{ObjectName, RequestId},
        message::UpstreamOrder,
    },
    std::collections::VecDeque,
};

/// The number of carried-out orders remembered for each lease.
///
/// A sender repeats an order only until its deadline, during which a lease gives few orders.
const REMEMBERED_ORDERS: usize = 64;

/// What to do with an order that passed the fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceDecision {
    /// The order is new and must be carried out.
    Apply,
    /// The order was carried out or is in progress; the sender is answered without a second one.
    Repeat,
}

/// The highest fencing number seen for each lease (`docs/design.md`, decision 7).
///
/// Engines that ignore fencing numbers are protected by this fence, because the agent is the only
/// path to its upstream.
#[derive(Debug, Clone, Default)]
pub struct OrderFence {
    leases: SortedMap<ObjectName, LeaseFence>,
}

#[derive(Debug, Clone, Default)]
struct LeaseFence {
    highest: u64,
    orders: VecDeque<RequestId>,
}

impl OrderFence {
    /// Makes a fence that has seen no order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Checks an order and remembers its number and identity.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if a higher number was seen for this lease.
    pub fn admit(&mut self, order: &UpstreamOrder) -> Result<FenceDecision, ServiceError> {
        let fence = self
            .leases
            .get_or_insert_with(order.lease.clone(), LeaseFence::default);
        if order.fence < fence.highest {
            return Err(ServiceError::not_run(
                ErrorKind::Fenced,
                format!(
                    "the order has fencing number {} and {} was seen",
                    order.fence, fence.highest
                ),
            ));
        }
        if fence.orders.contains(&order.order) {
            fence.highest = order.fence;
            return Ok(FenceDecision::Repeat);
        }
        fence.highest = order.fence;
        if fence.orders.len() == REMEMBERED_ORDERS {
            fence.orders.pop_front();
        }
        fence.orders.push_back(order.order);
        Ok(FenceDecision::Apply)
    }

    /// Forgets an order that the upstream refused, so that its repetition is carried out.
    pub fn forget(&mut self, order: &UpstreamOrder) {
        if let Some(fence) = self.leases.get_mut(&order.lease) {
            fence.orders.retain(|known| *known != order.order);
        }
    }

    /// Returns the highest number seen for a lease.
    pub fn highest(&self, lease: &ObjectName) -> Option<u64> {
        self.leases.get(lease).map(|fence| fence.highest)
    }
}
