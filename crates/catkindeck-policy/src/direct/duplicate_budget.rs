//! How many requests to a plain service may run twice.

/// The requests that fund one duplicate.
const REQUESTS_PER_DUPLICATE: u32 = 2;

/// The number of duplicates that are saved at most, and at first. A process that sends few requests
/// needs some until it knows which upstream does not answer.
const SAVED_LIMIT: u32 = 4;

/// Duplicates of requests that may still be running: hedges, and retries after a lost response.
///
/// Requests fund them, so that a service that turns slow never gets twice its load
/// (`docs/design/room.md`).
#[derive(Debug, Clone)]
pub struct DuplicateBudget {
    /// The saved requests; each duplicate costs [`REQUESTS_PER_DUPLICATE`].
    saved: u32,
}

impl Default for DuplicateBudget {
    fn default() -> Self {
        Self {
            saved: SAVED_LIMIT * REQUESTS_PER_DUPLICATE,
        }
    }
}

impl DuplicateBudget {
    /// Records a request, which funds a part of a duplicate.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + 1).min(SAVED_LIMIT * REQUESTS_PER_DUPLICATE);
    }

    /// Spends a duplicate, and returns whether one was saved.
    pub fn spend(&mut self) -> bool {
        let rest = self.saved.checked_sub(REQUESTS_PER_DUPLICATE);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
