//! A fair queue that shares service among customers by weight.

use {
    catkindeck::{SortedMap, id::ObjectName, key},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// The counter units per unit of service at weight 1, large enough for weights of up to a million.
const COUNTER_SCALE: u64 = 1 << 20;

/// The initial virtual time, from which the credit of the first customers is subtracted.
const INITIAL_VIRTUAL_TIME: u64 = 1 << 50;

/// A customer's account in one queue.
#[key]
pub struct AccountKey(u32);

/// The position of a request in its customer's queue: by priority, then by arrival.
pub type QueuePosition = (Reverse<u8>, u64);

/// A fair queue with a virtual counter of service per customer (`docs/design.md`, decision 13).
///
/// The next request is the first one of the backlogged customer with the lowest counter. A counter
/// grows by the service received divided by the customer's weight. When a customer returns from
/// idling, its counter is raised to the lowest counter of the others minus a bounded credit, so
/// that it cannot monopolize the queue after a long idle time.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    names: SortedMap<Option<ObjectName>, AccountKey>,
    accounts: BTreeMap<AccountKey, FairAccount<T>>,
    backlogged: BTreeSet<(u64, AccountKey)>,
    next_account: u32,
    virtual_time: u64,
    idle_credit: u64,
    length: usize,
    backlogged_weight: u64,
}

#[derive(Debug, Clone)]
struct FairAccount<T> {
    weight: u64,
    counter: u64,
    queue: BTreeMap<QueuePosition, T>,
}

impl<T: Copy> FairQueue<T> {
    /// Creates an empty queue; `idle_credit` is in units of service at weight 1.
    pub fn new(idle_credit: u64) -> Self {
        Self {
            names: SortedMap::new(),
            accounts: BTreeMap::new(),
            backlogged: BTreeSet::new(),
            next_account: 0,
            virtual_time: INITIAL_VIRTUAL_TIME,
            idle_credit,
            length: 0,
            backlogged_weight: 0,
        }
    }

    /// Sets the credit of idle customers, in units of service at weight 1.
    pub fn set_idle_credit(&mut self, idle_credit: u64) {
        self.idle_credit = idle_credit;
    }

    /// Returns the account of a customer and opens it with `weight` if there is none.
    pub fn account(&mut self, customer: &Option<ObjectName>, weight: u32) -> AccountKey {
        if let Some(account) = self.names.get(customer) {
            return *account;
        }
        let account = AccountKey(self.next_account);
        self.next_account += 1;
        self.names.insert(customer.clone(), account);
        // A new customer counts as idle until now; without the credit its first burst would wait.
        let weight = u64::from(weight.max(1));
        let opened = FairAccount {
            weight,
            counter: self
                .virtual_time
                .saturating_sub(self.idle_credit_limit(weight)),
            queue: BTreeMap::new(),
        };
        self.accounts.insert(account, opened);
        account
    }

    /// Applies new weights and closes empty accounts for which `weight_of` returns `None`.
    pub fn configure(&mut self, weight_of: impl Fn(&Option<ObjectName>) -> Option<u32>) {
        let accounts = &mut self.accounts;
        self.names.retain(|name, key| {
            let Some(account) = accounts.get_mut(key) else {
                return false;
            };
            if let Some(weight) = weight_of(name) {
                let weight = u64::from(weight.max(1));
                if !account.queue.is_empty() {
                    self.backlogged_weight = self.backlogged_weight - account.weight + weight;
                }
                account.weight = weight;
                return true;
            }
            let keep = !account.queue.is_empty();
            if !keep {
                accounts.remove(key);
            }
            keep
        });
    }

    pub fn push(&mut self, account: AccountKey, order: QueuePosition, item: T) {
        let floor = self.lowest_counter();
        let full_credit = self.idle_credit_limit(1);
        let Some(entry) = self.accounts.get_mut(&account) else {
            return;
        };
        if entry.queue.is_empty() {
            let credit = full_credit / entry.weight;
            entry.counter = entry.counter.max(floor.saturating_sub(credit));
            self.backlogged.insert((entry.counter, account));
            self.backlogged_weight += entry.weight;
        }
        entry.queue.insert(order, item);
        self.length += 1;
    }

    /// Returns the next request to start, which the caller then removes.
    pub fn first(&mut self) -> Option<T> {
        let (counter, account) = self.backlogged.first().copied()?;
        self.virtual_time = self.virtual_time.max(counter);
        let (_, item) = self.accounts.get(&account)?.queue.first_key_value()?;
        Some(*item)
    }

    pub fn remove(&mut self, account: AccountKey, order: QueuePosition) -> Option<T> {
        let entry = self.accounts.get_mut(&account)?;
        let item = entry.queue.remove(&order)?;
        if entry.queue.is_empty() {
            self.backlogged.remove(&(entry.counter, account));
            self.backlogged_weight -= entry.weight;
        }
        self.length -= 1;
        Some(item)
    }

    /// Charges a customer for service received.
    pub fn charge(&mut self, account: AccountKey, service: u64) {
        self.update_counter(account, |counter, weight| {
            counter.saturating_add(service.saturating_mul(COUNTER_SCALE) / weight)
        });
    }

    /// Refunds service that was charged in advance and not received.
    pub fn refund(&mut self, account: AccountKey, service: u64) {
        self.update_counter(account, |counter, weight| {
            counter.saturating_sub(service.saturating_mul(COUNTER_SCALE) / weight)
        });
    }

    /// Returns the account with the longest queue relative to its weight, and its last request.
    pub fn longest_queue(&self) -> Option<(AccountKey, T)> {
        let backlogged = self.backlogged.iter();
        let (key, account) = backlogged
            .filter_map(|(_, key)| Some((*key, self.accounts.get(key)?)))
            .max_by_key(|(key, account)| (account.queue.len() as u64 / account.weight, *key))?;
        let (_, last) = account.queue.last_key_value()?;
        Some((key, *last))
    }

    /// Returns the number of requests queued by a customer.
    pub fn backlog(&self, account: AccountKey) -> usize {
        self.accounts
            .get(&account)
            .map_or(0, |entry| entry.queue.len())
    }

    /// Returns a customer's weight and the total weight of all backlogged customers and this one.
    pub fn weights(&self, account: AccountKey) -> (u64, u64) {
        let Some(entry) = self.accounts.get(&account) else {
            return (1, self.backlogged_weight + 1);
        };
        let counted = !entry.queue.is_empty();
        let added = if counted { 0 } else { entry.weight };
        (entry.weight, self.backlogged_weight + added)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn idle_credit_limit(&self, weight: u64) -> u64 {
        self.idle_credit.saturating_mul(COUNTER_SCALE) / weight
    }

    fn update_counter(&mut self, account: AccountKey, change: impl Fn(u64, u64) -> u64) {
        let Some(entry) = self.accounts.get_mut(&account) else {
            return;
        };
        let counter = change(entry.counter, entry.weight);
        if !entry.queue.is_empty() {
            self.backlogged.remove(&(entry.counter, account));
            self.backlogged.insert((counter, account));
        }
        entry.counter = counter;
    }

    /// Returns the lowest counter of a backlogged customer, or the virtual time if there is none.
    fn lowest_counter(&self) -> u64 {
        self.backlogged
            .first()
            .map_or(self.virtual_time, |(counter, _)| *counter)
    }
}
