//! Counters of delivered service by customer and window.

use {
    catkindeck::{
        id::ObjectName,
        message::{USAGE_WINDOW_MS, UsageLine},
    },
    std::collections::BTreeMap,
};

type LineKey = (u64, Option<ObjectName>, ObjectName);

/// Counts what was delivered, by 60 s window (`docs/design.md`, decision 19).
///
/// A window that was given to a collector never changes afterwards: what is counted later goes into
/// a later window, even if the host's clock was set back. Otherwise two collectors could seal
/// different figures for one window (G8).
#[derive(Debug, Clone, Default)]
pub struct UsageMeter {
    lines: BTreeMap<LineKey, (u64, u64)>,
    /// The first window that no collector has seen.
    open_from: u64,
}

impl UsageMeter {
    /// Makes a meter without counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts delivered requests and tokens at a wall-clock time in milliseconds.
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
        let window = (unix_ms / USAGE_WINDOW_MS).max(self.open_from);
        let key = (window, customer.cloned(), service.clone());
        let line = self.lines.entry(key).or_default();
        line.0 += requests;
        line.1 += tokens;
    }

    /// Forgets what was sealed and returns the lines of all closed windows.
    ///
    /// `ending` also closes the present window, because nothing is counted any more.
    pub fn collect(
        &mut self,
        unix_ms: u64,
        sealed_through: Option<u64>,
        ending: bool,
    ) -> Vec<UsageLine> {
        let closed_before = match ending {
            true => u64::MAX,
            false => (unix_ms / USAGE_WINDOW_MS).max(self.open_from),
        };
        if let Some(sealed) = sealed_through {
            // Windows that are still open cannot have been sealed.
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
            self.open_from = self.open_from.max(last.window + 1);
        }
        self.open_from = self.open_from.max(match ending {
            true => 0,
            false => closed_before,
        });
        lines
    }

    /// Returns the number of lines that were not sealed.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Tells whether everything was sealed.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}
