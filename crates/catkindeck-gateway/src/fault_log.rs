//! Logs the entries of lists that cannot be decoded, each once.
//!
//! Lists are read about once a second, and an entry that another writer left stays for hours.

use {
    crate::{core::GatewayCore, events::INTENT_FAULT},
    catkindeck::{SortedMap, log_event},
    std::cell::RefCell,
};

/// The longest description that is logged, in bytes. Some repeat the text of the entry.
const DETAIL_LIMIT: usize = 400;

/// The number of faults of a list that are logged and remembered.
const FAULT_LIMIT: usize = 256;

/// The faults of the latest read of each list, in order.
#[derive(Debug, Default)]
pub struct FaultLog(RefCell<SortedMap<&'static str, Vec<String>>>);

impl GatewayCore {
    /// Logs the faults of a read of a list that the read before did not have.
    pub fn log_faults(&self, list: &'static str, faults: Vec<String>) {
        let mut faults = faults;
        faults.truncate(FAULT_LIMIT);
        for fault in &mut faults {
            fault.truncate(fault.floor_char_boundary(DETAIL_LIMIT));
        }
        faults.sort_unstable();
        faults.dedup();
        let mut logged = self.faults.0.borrow_mut();
        let known = logged.get_or_insert_with(list, Vec::new);
        for fault in &faults {
            if known.binary_search(fault).is_err() {
                log_event!(self.logger, INTENT_FAULT; "list" => list, "detail" => fault);
            }
        }
        *known = faults;
    }
}
