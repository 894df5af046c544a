//! Usage counters by window, customer and service.

use {
    catkindeck::{
        id::ObjectName,
        message::{USAGE_WINDOW_MS, UsageLine},
    },
    std::collections::BTreeMap,
};

type UsageLineKey = (u64, Option<ObjectName>, ObjectName);

/// Counts delivered requests and tokens in windows of 60 s (`docs/design.md`, decision 19).
///
/// A window that was returned to a collector does not change any more: later counts go into a later
/// window, even if the host's clock is set back. Otherwise two collectors could seal different
/// totals for the same window (G8).
#[derive(Debug, Clone, Default)]
pub struct UsageMeter {
    lines: BTreeMap<UsageLineKey, (u64, u64)>,
    /// The first window that has not been returned to a collector.
    first_open_window: u64,
}

impl UsageMeter {
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts requests and tokens that were delivered at `unix_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn count(
        &mut self,
        unix_ms: u64,
        customer: Option<&ObjectName>,
        service: &ObjectName,
        requests: u64,
        tokens: u64,
    ) {
        if requests == 0 && tokens == 0 {
            return;
        }
        let window = (unix_ms / USAGE_WINDOW_MS).max(self.first_open_window);
        let key = (window, customer.cloned(), service.clone());
        let line = self.lines.entry(key).or_default();
        line.0 += requests;
        line.1 += tokens;
    }

    /// Removes the windows up to `sealed_through` and returns the lines of all other closed
    /// windows.
    ///
    /// If `finalized` is true, nothing is counted any more, so the current window is closed too.
    pub fn collect(
        &mut self,
        unix_ms: u64,
        sealed_through: Option<u64>,
        finalized: bool,
    ) -> Vec<UsageLine> {
        let closed_before = match finalized {
            true => u64::MAX,
            false => (unix_ms / USAGE_WINDOW_MS).max(self.first_open_window),
        };
        if let Some(sealed) = sealed_through {
            // A window that is still open cannot be sealed, whatever the collector says.
            let sealed = sealed.min(closed_before.saturating_sub(1));
            self.lines.retain(|(window, ..), _| *window > sealed);
        }
        let lines: Vec<UsageLine> = self
            .lines
            .iter()
            .filter(|((window, ..), _)| *window < closed_before)
            .map(
                |((window, customer, service), (requests, tokens))| UsageLine {
                    window: *window,
                    customer: customer.clone(),
                    service: service.clone(),
                    requests: *requests,
                    tokens: *tokens,
                },
            )
            .collect();
        if let Some(last) = lines.last() {
            self.first_open_window = self.first_open_window.max(last.window + 1);
        }
        self.first_open_window = self.first_open_window.max(match finalized {
            true => 0,
            false => closed_before,
        });
        lines
    }

    /// Returns the number of lines that are not known to be sealed.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether all lines are known to be sealed.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}
