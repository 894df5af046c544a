//! Applies orders to the agent and its upstream after checking their fencing tokens.

use {
    crate::{core::AgentCore, events, metrics::error_label},
    catkindeck::{
        ServiceError, log_event,
        message::{OrderKind, UpstreamOrder},
    },
    catkindeck_policy::FenceDecision,
    std::sync::PoisonError,
};

impl AgentCore {
    /// Applies an order, unless it was applied before.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if a higher fencing token is known, or the upstream's error. After an error
    /// of the upstream, the order can be sent again with the same ID.
    pub fn order(&self, order: &UpstreamOrder) -> Result<(), ServiceError> {
        let outcome = match &order.kind {
            OrderKind::Leave | OrderKind::SetZone(_) => self.apply_to_agent(order),
            OrderKind::Stage(_) | OrderKind::Activate(_) | OrderKind::ChangeRole(_) => {
                self.send_to_upstream(order)
            }
        };
        let label = match &outcome {
            Ok(FenceDecision::Apply) => "applied",
            Ok(FenceDecision::Repeat) => "repeated",
            Err(error) => error_label(error.kind),
        };
        self.metrics.orders.with_label_values(&[label]).inc();
        match outcome {
            Ok(FenceDecision::Repeat) => Ok(()),
            Ok(FenceDecision::Apply) => {
                log_event!(
                    self.logger, events::ORDER_APPLIED;
                    "order" => order.order.to_string(), "lease" => order.lease.as_str(),
                    "fence" => order.fence, "kind" => kind_name(&order.kind),
                );
                Ok(())
            }
            Err(error) => {
                log_event!(
                    self.logger, events::ORDER_FAILED;
                    "order" => order.order.to_string(), "lease" => order.lease.as_str(),
                    "fence" => order.fence, "kind" => kind_name(&order.kind),
                    "reason" => error.to_string(),
                );
                Err(error)
            }
        }
    }

    /// Applies an order that concerns only the agent. This never waits for the upstream, so that a
    /// zone can be taken out of service immediately, even during a weight swap.
    fn apply_to_agent(&self, order: &UpstreamOrder) -> Result<FenceDecision, ServiceError> {
        let now = self.now();
        let decision = {
            let mut state = self.lock();
            let decision = state.fence.admit(order)?;
            match (&order.kind, decision) {
                (OrderKind::Leave, FenceDecision::Apply) => state.drain_ordered = true,
                (OrderKind::SetZone(zone), FenceDecision::Apply) => {
                    state.announce_zone(now, *zone);
                }
                _ => {}
            }
            decision
        };
        self.update_queue_closed();
        Ok(decision)
    }

    fn send_to_upstream(&self, order: &UpstreamOrder) -> Result<FenceDecision, ServiceError> {
        // The fencing token is checked while the lock is held, because an order with a higher one
        // may have been applied during the wait.
        let _guard = self
            .order_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let decision = self.lock().fence.admit(order)?;
        if decision == FenceDecision::Repeat {
            return Ok(decision);
        }
        match self.upstream.order(&order.kind, order.fence) {
            Ok(()) => Ok(decision),
            Err(error) => {
                self.lock().fence.forget(order);
                Err(error)
            }
        }
    }
}

fn kind_name(kind: &OrderKind) -> &'static str {
    match kind {
        OrderKind::Stage(_) => "stage",
        OrderKind::Activate(_) => "activate",
        OrderKind::ChangeRole(_) => "change_role",
        OrderKind::Leave => "leave",
        OrderKind::SetZone(_) => "set_zone",
    }
}
