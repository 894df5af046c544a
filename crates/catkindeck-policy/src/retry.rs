//! The retry budget of each customer and route.

use catkindeck::{ErrorKind, Moment, ServiceError, SortedMap, id::ObjectName};

/// The time over which unused retries accumulate, in milliseconds.
///
/// A fixed number of saved retries would be a large share of a small customer's requests, and it
/// would add up over the entries, each of which has its own budget. With ten saved retries, the
/// loss of a zone caused 1.13 attempts per request in the worst 10 s.
const ACCRUAL_WINDOW_MS: f64 = 5_000.0;

/// How long an unused budget is kept, in milliseconds.
const IDLE_BUDGET_MS: u64 = 600_000;

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// Retries funded by first attempts, for each customer and route (`docs/design.md`, decision 5).
///
/// Each first attempt deposits the customer's percentage, and each retry costs 100. The budget
/// starts empty, so attempts never exceed `1 + percent / 100` times the requests. The balance is
/// limited to the deposits of about five seconds of requests, but at least to one retry.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    balances: SortedMap<(Option<ObjectName>, ObjectName), RetryBalance>,
}

#[derive(Debug, Clone, Copy)]
struct RetryBalance {
    saved: u64,
    /// The number of requests in about the last [`ACCRUAL_WINDOW_MS`].
    recent: f64,
    used_at: Moment,
}

impl RetryBudget {
    pub fn new() -> Self {
        Self::default()
    }

    /// Deposits `percent` hundredths of a retry for a first attempt.
    pub fn deposit(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        percent: u32,
    ) {
        let key = (customer.cloned(), route.clone());
        let balance = self.balances.get_or_insert_with(key, || RetryBalance {
            saved: 0,
            recent: 0.0,
            used_at: now,
        });
        let passed = now.since(balance.used_at) as f64;
        balance.recent = balance.recent * ACCRUAL_WINDOW_MS / (ACCRUAL_WINDOW_MS + passed) + 1.0;
        let bound = (balance.recent * f64::from(percent)) as u64;
        balance.saved = (balance.saved + u64::from(percent)).min(bound.max(RETRY_COST));
        balance.used_at = now;
    }

    /// Spends one retry.
    ///
    /// # Errors
    ///
    /// Returns `retry_budget_spent` with `not_run` if the balance is below one retry. If an earlier
    /// attempt of the request has an `unknown` outcome, the caller must report that instead.
    pub fn spend(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
    ) -> Result<(), ServiceError> {
        let key = (customer.cloned(), route.clone());
        let balance = self.balances.get_mut(&key);
        match balance {
            Some(balance)
                if balance.saved >= RETRY_COST && now.since(balance.used_at) < IDLE_BUDGET_MS =>
            {
                balance.saved -= RETRY_COST;
                Ok(())
            }
            _ => Err(ServiceError::not_run(
                ErrorKind::RetryBudgetSpent,
                "the retry budget of this customer and route is exhausted",
            )),
        }
    }

    /// Removes budgets unused for ten minutes; must be called about once a minute.
    pub fn sweep(&mut self, now: Moment) {
        self.balances
            .retain(|_, balance| now.since(balance.used_at) < IDLE_BUDGET_MS);
    }
}
