//! Who may use a job (`docs/platform.md`, "Whose a job is").
//!
//! A job belongs to the customer for whom it was accepted, or to nobody if no key was needed then. Its record says which,
//! whatever has become of its route and of the customers since.

use {
    super::service::{JobService, not_found_error},
    crate::events::JOB_DENIED,
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event},
};

/// How many calls a second a process searches for on behalf of callers without a valid key, if it does not know their job.
/// A call to a peer and a read of the store are spent on each, and such callers may send without end.
const UNIDENTIFIED_SEARCHES_PER_S: usize = 20;

/// The sender of a call for a job, as far as its API key tells.
pub enum JobCaller {
    Customer(ObjectName),
    /// A sender without a valid key, who may use only jobs that belong to nobody. Holds the error for all others.
    Unidentified(ServiceError),
    /// A sender who needs no key, because this process knows of no customers.
    Anyone,
}

impl JobCaller {
    /// Returns the customer whose jobs the caller may use.
    pub fn customer(&self) -> Option<&ObjectName> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Unidentified(_) | Self::Anyone => None,
        }
    }

    /// Returns the error that the caller receives.
    ///
    /// Without a valid key it is the same for a job of a customer as for one that does not exist. A process that knows
    /// of no customers but finds a job of one has an outdated configuration.
    pub fn explain(&self, error: ServiceError) -> ServiceError {
        match (self, error.kind) {
            (Self::Unidentified(refusal), ErrorKind::NotFound | ErrorKind::Unauthenticated) => {
                refusal.clone()
            }
            (Self::Anyone, ErrorKind::Unauthenticated) => ServiceError::not_run(
                ErrorKind::StaleConfiguration,
                "the job belongs to a customer of whom this process has not read yet",
            ),
            _ => error,
        }
    }
}

impl JobService {
    /// Checks that this process may search for the job of a call at other processes and in the store.
    ///
    /// # Errors
    ///
    /// Returns `overloaded` if callers without a valid key name too many jobs that this process does not know, and
    /// `stale_configuration` if it is too many while no key can be checked.
    pub fn check_search(&self, job: &str, caller: &JobCaller) -> Result<(), ServiceError> {
        let JobCaller::Unidentified(refusal) = caller else {
            return Ok(());
        };
        if self.is_known(job) {
            return Ok(());
        }
        let now = self.core.now();
        let mut searches = self.searches.borrow_mut();
        if !searches.allows(now, UNIDENTIFIED_SEARCHES_PER_S) {
            let detail = "callers without a valid key ask for too many unknown jobs";
            return Err(match refusal.kind {
                ErrorKind::Unauthenticated => ServiceError::not_run(ErrorKind::Overloaded, detail),
                _ => refusal.clone(),
            });
        }
        searches.count(now);
        Ok(())
    }

    /// Checks that a caller may use a job, given the job's customer.
    ///
    /// # Errors
    ///
    /// Returns `not_found` to another customer and `unauthenticated` to a caller who is none. The first is the same as
    /// for a job that does not exist, so that only the log tells them apart.
    pub(super) fn check_access(
        &self,
        job: &str,
        owner: Option<&ObjectName>,
        caller: Option<&ObjectName>,
    ) -> Result<(), ServiceError> {
        if owner.is_none() || owner == caller {
            return Ok(());
        }
        log_event!(self.core.logger, JOB_DENIED;
            "job" => job, "customer" => owner.map(ToString::to_string),
            "caller" => caller.map(ToString::to_string));
        Err(match caller {
            Some(_) => not_found_error(),
            None => ServiceError::not_run(
                ErrorKind::Unauthenticated,
                "the job belongs to a customer, and the call has no key of theirs",
            ),
        })
    }
}
