//! The mark in the store that says that the deployment has had customers.
//!
//! A configuration that names no customers at all leaves a deployment open that never had any. Where there were some,
//! their keys were taken away, and what they protected must not be open to everybody. The mark tells this to processes
//! that start later and have not seen the earlier configuration.

use {
    crate::{
        core::GatewayCore,
        events::{CUSTOMERS_GONE, MAINTENANCE_FAILED},
        keys::CUSTOMER_MARK_KEY,
        port::{CommitOutcome, KeyPolicy, StoreCondition, StoreWrite, Transaction},
    },
    catkindeck::{ServiceError, log_event},
    std::{cell::Cell, rc::Rc},
};

/// What this process knows of the mark.
#[derive(Debug, Default)]
pub struct CustomerMark {
    is_stored: Cell<bool>,
    is_settling: Cell<bool>,
}

impl GatewayCore {
    /// Reads or writes the mark if the configuration in use makes it necessary. A failure is repeated with the next call.
    pub async fn settle_customer_mark(self: Rc<Self>) {
        if self.customer_mark.is_settling.replace(true) {
            return;
        }
        if let Err(error) = self.try_settle_customer_mark().await {
            log_event!(self.logger, MAINTENANCE_FAILED;
                "work" => "customers", "key" => CUSTOMER_MARK_KEY, "detail" => error.detail);
        }
        self.customer_mark.is_settling.set(false);
    }

    async fn try_settle_customer_mark(&self) -> Result<(), ServiceError> {
        let (policy, requires_key, revision) = {
            let view = self.intent.borrow();
            (
                view.key_policy(),
                view.requires_key(),
                view.store_revision(),
            )
        };
        match requires_key {
            None if policy == KeyPolicy::Open => {
                let read = self.ports.store.read(CUSTOMER_MARK_KEY).await?;
                let had_customers = read.item.is_some();
                let mut view = self.intent.borrow_mut();
                // A configuration that came meanwhile may be the first with customers.
                if view.store_revision() == revision {
                    view.set_had_customers(had_customers);
                }
                if had_customers {
                    log_event!(self.logger, CUSTOMERS_GONE; "revision" => revision);
                }
                Ok(())
            }
            Some(true) if self.is_leader() && !self.customer_mark.is_stored.get() => {
                let transaction = Transaction {
                    conditions: vec![StoreCondition {
                        key: CUSTOMER_MARK_KEY.to_owned(),
                        revision: 0,
                    }],
                    writes: vec![StoreWrite {
                        key: CUSTOMER_MARK_KEY.to_owned(),
                        value: Vec::new(),
                        lease: None,
                    }],
                    removals: Vec::new(),
                };
                let outcome = self.ports.store.commit(&transaction).await?;
                // A conflict shows that there is one.
                let is_stored = outcome != CommitOutcome::LeaseGone;
                self.customer_mark.is_stored.set(is_stored);
                Ok(())
            }
            _ => Ok(()),
        }
    }
}
