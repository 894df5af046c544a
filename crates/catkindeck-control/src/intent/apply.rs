//! Application of confirmed plans.

use {
    super::{
        announce::IntentAnnouncer,
        capacity::LoadView,
        diff::{IntentChange, compare},
        plan::{IntentPlan, PlanId, plan},
        ports::{CommitOutcome, ConfigStore},
        update::IntentUpdate,
    },
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        message,
    },
};

/// The outcome of applying a plan.
#[message]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The planned configuration is in force everywhere.
    Accepted { revision: ConfigRevision },
    /// The plan was not applied and can no longer be applied.
    Refused {
        reason: String,
        /// The changes that were made since the plan's base.
        changed: Vec<IntentChange>,
    },
    /// The plan may have been applied. Its outcome can be queried with the ID.
    Unknown {
        id: PlanId,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// The plan has not been applied, but still can be applied.
    NotApplied { id: PlanId },
}

impl ApplyOutcome {
    /// Returns the name of the outcome in responses and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Refused { .. } => "refused",
            Self::Unknown { .. } => "unknown",
            Self::NotApplied { .. } => "not_applied",
        }
    }
}

/// Plans and applies updates of the configuration.
pub struct IntentApplier<'a> {
    /// The versioned configuration.
    pub store: &'a dyn ConfigStore,
    /// Notifies agents when the state of their zone changes, if set.
    pub announcer: Option<&'a dyn IntentAnnouncer>,
    pub view: LoadView,
    /// The time since the Unix epoch, in milliseconds.
    pub now_ms: u64,
}

impl IntentApplier<'_> {
    /// Plans an update of the current configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the update or `store_unavailable`.
    pub fn plan(&self, update: &IntentUpdate) -> Result<IntentPlan, ServiceError> {
        let current = self.store.head()?;
        let target = update.target(&current, self.now_ms)?;
        Ok(plan(&current, &target, &self.view))
    }

    /// Applies `update` if it still results in the plan with the given ID.
    ///
    /// The call may be repeated after any outcome: a plan changes one base revision, and that
    /// revision has only one successor.
    ///
    /// # Errors
    ///
    /// Returns an error only if nothing was committed: the error of the update, `conflict` if the
    /// update results in another plan or leaves a service with too few upstreams, or
    /// `store_unavailable`.
    pub fn apply(
        &self,
        update: &IntentUpdate,
        id: &PlanId,
        accept_shortfall: bool,
    ) -> Result<ApplyOutcome, ServiceError> {
        let current = self.store.head()?;
        if current.revision != id.base {
            self.reannounce(id, &current);
            return self.determine_applied_plan(id, &current);
        }
        // The base is still current, so the update must result in the same plan.
        let target = update.target(&current, self.now_ms)?;
        let planned = plan(&current, &target, &self.view);
        if planned.id != *id {
            let detail = "the submitted configuration results in a different plan; plan it again";
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        if planned.changes.is_empty() {
            return Ok(ApplyOutcome::Accepted {
                revision: current.revision,
            });
        }
        if let (Some(short), false) = (planned.services_with_shortfall().first(), accept_shortfall)
        {
            let detail = format!(
                "service {} would have too few upstreams; add some, or accept the shortfall explicitly",
                short.service
            );
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        match self.store.commit(id, &target) {
            Ok(CommitOutcome::Committed(revision)) => {
                self.announce(&current, &target);
                Ok(self.confirm_propagation(id, revision))
            }
            Ok(CommitOutcome::Moved) => self.determine_applied_plan(id, &self.store.head()?),
            Ok(CommitOutcome::Unknown) => Ok(unknown_outcome(id, "the store did not respond")),
            Err(error) => Err(error),
        }
    }

    /// Determines the outcome of a plan.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time.
    pub fn outcome(&self, id: &PlanId) -> Result<ApplyOutcome, ServiceError> {
        let current = self.store.head()?;
        if current.revision == id.base {
            return Ok(if PlanId::derive(id.base, &current) == *id {
                ApplyOutcome::Accepted { revision: id.base }
            } else {
                ApplyOutcome::NotApplied { id: id.clone() }
            });
        }
        self.determine_applied_plan(id, &current)
    }

    fn announce(&self, before: &ConfigSnapshot, after: &ConfigSnapshot) {
        if let Some(announcer) = self.announcer {
            announcer.announce(before, after);
        }
    }

    /// Announces a plan again if it is the latest change, because the process that committed it may
    /// have ended before it announced the change.
    fn reannounce(&self, id: &PlanId, current: &ConfigSnapshot) {
        let is_newest =
            current.revision.0 == id.base.0 + 1 && PlanId::derive(id.base, current) == *id;
        if !is_newest || self.announcer.is_none() {
            return;
        }
        // If the base cannot be read, the changes are unknown and agents learn of them from the
        // configuration.
        if let Ok(Some(base)) = self.store.read_revision(id.base) {
            self.announce(&base, current);
        }
    }

    /// Determines from the revision after the plan's base whether this plan or another one was
    /// applied.
    fn determine_applied_plan(
        &self,
        id: &PlanId,
        current: &ConfigSnapshot,
    ) -> Result<ApplyOutcome, ServiceError> {
        if current.revision < id.base {
            let detail = format!(
                "the plan is based on revision {}, but the store is only at revision {}",
                id.base.0, current.revision.0
            );
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        let successor = ConfigRevision(id.base.0 + 1);
        let Some(written) = self.store.read_revision(successor)? else {
            let reason = format!(
                "cannot tell whether the plan was applied, because revision {} is no longer stored",
                successor.0
            );
            return Ok(unknown_outcome(id, &reason));
        };
        if PlanId::derive(id.base, &written) == *id {
            return Ok(self.confirm_propagation(id, successor));
        }
        let base = self.store.read_revision(id.base)?;
        if base
            .as_ref()
            .is_some_and(|base| PlanId::derive(id.base, base) == *id)
        {
            // The base already had the planned content, so nothing had to be written.
            return Ok(ApplyOutcome::Accepted { revision: id.base });
        }
        Ok(ApplyOutcome::Refused {
            reason: format!(
                "the plan is based on revision {}, but the configuration is at revision {}; plan again",
                id.base.0, current.revision.0
            ),
            changed: base.map_or_else(Vec::new, |base| compare(&base, current)),
        })
    }

    fn confirm_propagation(&self, id: &PlanId, revision: ConfigRevision) -> ApplyOutcome {
        match self.store.await_propagation(revision) {
            Ok(state) if state.is_complete() => ApplyOutcome::Accepted { revision },
            Ok(state) => unknown_outcome(
                id,
                &format!(
                    "revision {} is committed, but {} live nodes have not confirmed it",
                    revision.0, state.waiting
                ),
            ),
            Err(error) => unknown_outcome(
                id,
                &format!(
                    "revision {} is committed, but its propagation cannot be determined: {error}",
                    revision.0
                ),
            ),
        }
    }
}

fn unknown_outcome(id: &PlanId, reason: &str) -> ApplyOutcome {
    ApplyOutcome::Unknown {
        id: id.clone(),
        reason: reason.to_owned(),
    }
}
