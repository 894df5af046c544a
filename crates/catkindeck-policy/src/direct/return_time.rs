//! When a refused caller should return.

use {
    super::rate::RateWindow,
    crate::hash,
    catkindeck::{Moment, SortedMap, id::ObjectName},
};

/// The shortest return time, in milliseconds. A busy upstream is not asked again for this time.
pub const MIN_RETURN_MS: u64 = 50;

/// The time until a changed list of upstreams is known, in milliseconds; lists are read every 750
/// ms.
const LIST_READ_MS: u64 = 1_000;

/// The time after which another process is asked, in milliseconds. A process that has just started
/// reads its first list within this time.
const OTHER_PROCESS_MS: u64 = 100;

/// The rate at which callers return to a service that has answered less within the last second, per
/// second. A service that does not answer at all needs requests that show when it does.
const MIN_RETURNS_PER_S: u64 = 10;

/// The shortest time over which returns are spread, in milliseconds. Other processes tell the same
/// return times at the same moment.
const MIN_SPREAD_MS: u64 = 100;

/// How long a customer keeps its place in the order after its last refusal, in milliseconds.
const ORDER_RETENTION_MS: u64 = 10_000;

/// The number of customers of a service whose order is kept; further ones come last.
const CUSTOMER_LIMIT: usize = 256;

/// The number of expected returns of one customer that are remembered.
const RETURN_LIMIT: usize = 1_024;

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// All usable upstreams of the service are busy.
    Busy,
    /// All usable upstreams refused or failed recently; the first of them is asked again after this
    /// time, in milliseconds.
    Pause(u64),
    /// Only permits are missing; the next one is due after this time, in milliseconds.
    Permit(u64),
    /// No upstream of the service is listed, or all of them leave.
    NoneListed,
    /// This process has no current list of upstreams, but others may have one.
    NoList,
    /// No process reaches the store, which is called again after this time, in milliseconds.
    StoreAway(u64),
}

impl RefusalCause {
    /// Returns the value of the `cause` label in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Pause(_) => "pause",
            Self::Permit(_) => "permit",
            Self::NoneListed => "none_listed",
            Self::NoList => "no_list",
            Self::StoreAway(_) => "store_away",
        }
    }

    /// Returns the time until the first request may be served, in milliseconds.
    fn wait_ms(self) -> u64 {
        let wait_ms = match self {
            Self::Busy => 0,
            Self::Pause(wait_ms) | Self::Permit(wait_ms) | Self::StoreAway(wait_ms) => wait_ms,
            Self::NoneListed => LIST_READ_MS,
            Self::NoList => OTHER_PROCESS_MS,
        };
        wait_ms.max(MIN_RETURN_MS)
    }
}

/// A request that is refused.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    pub customer: Option<&'a ObjectName>,
    /// The request's ID, which spreads the returns of requests that are refused together.
    pub id: &'a str,
    pub cause: RefusalCause,
}

/// The customers of one service that one process has refused, and when they return.
///
/// Returns are spread at the rate at which the service answers this process. In each round every
/// customer has one return, and the customer that has been refused longest comes first, so that one
/// with many requests delays the others by one request each. A return time reserves nothing
/// (`docs/design/room.md`).
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    answered: RateWindow,
    customers: SortedMap<Option<ObjectName>, RefusedCustomer>,
}

#[derive(Debug, Clone, Default)]
struct RefusedCustomer {
    /// The first refusal since a request of the customer was last served.
    since: Moment,
    last: Moment,
    /// The return times that have not passed.
    returns: Vec<Moment>,
}

impl ReturnSchedule {
    /// Records that a request was served.
    pub fn record_served(&mut self, now: Moment, customer: Option<&ObjectName>) {
        self.answered.count(now);
        // The order changes, but the returns that others already expect do not.
        if let Some(state) = self.customers.get_mut(&customer.cloned()) {
            state.since = now;
        }
    }

    /// Returns the time after which the caller of a refused request should return, in milliseconds.
    pub fn return_ms(&mut self, now: Moment, request: &RefusedRequest<'_>) -> u64 {
        self.forget_past(now);
        let key = request.customer.cloned();
        let is_known = self.customers.contains_key(&key);
        let position = self.position(&key);
        let rate = (self.answered.recent(now) as u64).max(MIN_RETURNS_PER_S);
        let slot_ms = (1_000 / rate).max(1);
        let turn_ms = position * 1_000 / rate;
        let spread_ms = slot_ms.max(MIN_SPREAD_MS);
        let jitter_ms = hash::digest64(&[request.id.as_bytes()]) % spread_ms;
        let return_ms = request.cause.wait_ms() + turn_ms + jitter_ms;
        if is_known || self.customers.len() < CUSTOMER_LIMIT {
            let state = self.customers.get_or_insert_with(key, || RefusedCustomer {
                since: now,
                ..RefusedCustomer::default()
            });
            state.last = now;
            if state.returns.len() < RETURN_LIMIT {
                state.returns.push(now + return_ms);
            }
        }
        return_ms
    }

    /// Returns the number of returns that precede a further one of a customer.
    fn position(&self, key: &Option<ObjectName>) -> u64 {
        let own = self.customers.get(key);
        let round = own.map_or(0, |state| state.returns.len());
        let order = own.map(|state| (state.since, key));
        let before = self.customers.iter().map(|(other, state)| {
            let is_earlier = order.is_none_or(|order| (state.since, other) < order);
            let in_round = is_earlier && other != key && state.returns.len() > round;
            state.returns.len().min(round) + usize::from(in_round)
        });
        before.sum::<usize>() as u64
    }

    fn forget_past(&mut self, now: Moment) {
        self.customers.retain(|_, state| {
            state.returns.retain(|at| *at > now);
            now.since(state.last) < ORDER_RETENTION_MS
        });
    }
}
