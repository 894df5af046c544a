//! The retry budget of each customer and route.

use catkindeck::{ErrorKind, Moment, ServiceError, SortedMap, id::ObjectName};

/// The most retries that a budget saves up.
///
/// It bounds the burst when a zone fails after a long quiet time; ten cover one failed first
/// attempt for each upstream of a small deployment's zone.
const SAVED_RETRIES: u64 = 10;

/// How long an unused budget is kept, in milliseconds.
const IDLE_BUDGET_MS: u64 = 600_000;

/// The cost of one retry in the unit in which first attempts pay a percentage.
const RETRY_COST: u64 = 100;

/// Retries paid for by first attempts, for each customer and route (`docs/design.md`, decision 5).
///
/// Each first attempt pays the customer's percentage; each retry costs 100. The budget starts
/// empty, so attempts never exceed `1 + percent / 100` times the requests.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    balances: SortedMap<(Option<ObjectName>, ObjectName), RetryBalance>,
}

#[derive(Debug, Clone, Copy)]
struct RetryBalance {
    saved: u64,
    used_at: Moment,
}

impl RetryBudget {
    /// Makes an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Pays for a first attempt with `percent` hundredths of a retry.
    pub fn pay(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        percent: u32,
    ) {
        let key = (customer.cloned(), route.clone());
        let balance = self.balances.get_or_insert_with(key, || RetryBalance {
            saved: 0,
            used_at: now,
        });
        balance.saved = (balance.saved + u64::from(percent)).min(SAVED_RETRIES * RETRY_COST);
        balance.used_at = now;
    }

    /// Spends one retry.
    ///
    /// # Errors
    ///
    /// Returns `retry_budget_spent` with `not_run` if less than one retry is saved. The caller
    /// states the outcome of the request's earlier attempts instead where one is `unknown`.
    pub fn spend(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
    ) -> Result<(), ServiceError> {
        let key = (customer.cloned(), route.clone());
        let balance = self.balances.get_mut(&key);
        match balance {
            Some(balance) if balance.saved >= RETRY_COST => {
                balance.saved -= RETRY_COST;
                balance.used_at = now;
                Ok(())
            }
            _ => Err(ServiceError::not_run(
                ErrorKind::RetryBudgetSpent,
                "the retry budget of this customer and route is used up",
            )),
        }
    }

    /// Removes budgets that were not used for ten minutes; called about once a minute.
    pub fn sweep(&mut self, now: Moment) {
        self.balances
            .retain(|_, balance| now.since(balance.used_at) < IDLE_BUDGET_MS);
    }
}
