//! A queue that is fair by service received.

use {
    catkindeck::{SortedMap, id::ObjectName, key},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// The counter units for one unit of service at weight 1; large enough for weights up to a million.
const COUNTER_SCALE: u64 = 1 << 20;

/// The counter at which a queue begins, from which the credit of the first customers is taken.
const INITIAL_VIRTUAL_TIME: u64 = 1 << 50;

/// A customer's account in one queue.
#[key]
pub struct AccountKey(u32);

/// The position of a request within its customer's queue: priority first, then arrival.
pub type QueuePosition = (Reverse<u8>, u64);

/// Virtual counters of service for each customer (`docs/design.md`, decision 13).
///
/// The request to start is the first one of the backlogged customer whose counter is lowest. A
/// counter grows by the service received divided by the customer's weight. A customer that comes
/// back after idling is lifted to the others' level less a bounded credit, so that idling cannot be
/// turned into a later monopoly.
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
    /// Makes an empty queue; `idle_credit` is in units of service at weight 1.
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

    /// Sets the credit that an idle customer keeps.
    pub fn set_idle_credit(&mut self, idle_credit: u64) {
        self.idle_credit = idle_credit;
    }

    /// Returns the account of a customer, opening it with `weight` if it is new.
    pub fn account(&mut self, customer: &Option<ObjectName>, weight: u32) -> AccountKey {
        if let Some(account) = self.names.get(customer) {
            return *account;
        }
        let account = AccountKey(self.next_account);
        self.next_account += 1;
        self.names.insert(customer.clone(), account);
        // A new customer has idled so far; without the credit its first burst would wait.
        let weight = u64::from(weight.max(1));
        let opened = FairAccount {
            weight,
            counter: self.virtual_time.saturating_sub(self.credit(weight)),
            queue: BTreeMap::new(),
        };
        self.accounts.insert(account, opened);
        account
    }

    /// Applies new weights and closes idle accounts that `weight_of` does not know.
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

    /// Queues a request.
    pub fn push(&mut self, account: AccountKey, order: QueuePosition, item: T) {
        let floor = self.lowest_counter();
        let full_credit = self.credit(1);
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

    /// Returns the request that shall start next; the caller removes it.
    pub fn first(&mut self) -> Option<T> {
        let (counter, account) = self.backlogged.first().copied()?;
        self.virtual_time = self.virtual_time.max(counter);
        let (_, item) = self.accounts.get(&account)?.queue.first_key_value()?;
        Some(*item)
    }

    /// Takes a certain request out.
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

    /// Adds service received by a customer.
    pub fn charge(&mut self, account: AccountKey, service: u64) {
        self.adjust(account, |counter, weight| {
            counter.saturating_add(service.saturating_mul(COUNTER_SCALE) / weight)
        });
    }

    /// Gives back service that was charged in advance and not received.
    pub fn refund(&mut self, account: AccountKey, service: u64) {
        self.adjust(account, |counter, weight| {
            counter.saturating_sub(service.saturating_mul(COUNTER_SCALE) / weight)
        });
    }

    /// Returns the account with the longest queue by weight and its last request.
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

    /// Returns a customer's weight and the sum of the weights of all backlogged customers and it.
    pub fn weights(&self, account: AccountKey) -> (u64, u64) {
        let Some(entry) = self.accounts.get(&account) else {
            return (1, self.backlogged_weight + 1);
        };
        let counted = !entry.queue.is_empty();
        let added = if counted { 0 } else { entry.weight };
        (entry.weight, self.backlogged_weight + added)
    }

    /// Returns the number of requests queued.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Tells whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn credit(&self, weight: u64) -> u64 {
        self.idle_credit.saturating_mul(COUNTER_SCALE) / weight
    }

    fn adjust(&mut self, account: AccountKey, change: impl Fn(u64, u64) -> u64) {
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

    /// The lowest counter of a backlogged customer, or the last one served if there is none.
    fn lowest_counter(&self) -> u64 {
        self.backlogged
            .first()
            .map_or(self.virtual_time, |(counter, _)| *counter)
    }
}
