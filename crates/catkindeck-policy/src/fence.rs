//! Rejection of orders from former lease holders by an agent.

use {
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        id::{ObjectName, RequestId},
        message::UpstreamOrder,
    },
    std::collections::VecDeque,
};

/// The number of applied orders remembered for each lease.
///
/// A sender retries an order only until its deadline, and a lease holder sends few orders in that
/// time.
const REMEMBERED_ORDERS: usize = 64;

/// What to do with an order that passed the fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceDecision {
    /// The order is new and must be applied.
    Apply,
    /// The order was applied or is in progress; the sender gets a response but nothing is applied
    /// again.
    Repeat,
}

/// The highest fencing token seen for each lease (`docs/design.md`, decision 7).
///
/// It protects engines that ignore fencing tokens, because the agent is the only path to its
/// upstream.
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
    pub fn new() -> Self {
        Self::default()
    }

    /// Checks an order and records its fencing token and ID.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if a higher token was seen for this lease.
    pub fn admit(&mut self, order: &UpstreamOrder) -> Result<FenceDecision, ServiceError> {
        let fence = self
            .leases
            .get_or_insert_with(order.lease.clone(), LeaseFence::default);
        if order.fence < fence.highest {
            return Err(ServiceError::not_run(
                ErrorKind::Fenced,
                format!(
                    "fencing token {} is lower than {}, the highest seen for the lease",
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

    /// Forgets an order that the upstream rejected, so that a retry is applied.
    pub fn forget(&mut self, order: &UpstreamOrder) {
        if let Some(fence) = self.leases.get_mut(&order.lease) {
            fence.orders.retain(|known| *known != order.order);
        }
    }

    /// Returns the highest fencing token seen for a lease.
    pub fn highest(&self, lease: &ObjectName) -> Option<u64> {
        self.leases.get(lease).map(|fence| fence.highest)
    }
}
