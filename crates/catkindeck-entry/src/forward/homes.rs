//! Choosing the agent for an attempt: through the router, or by the home of an idempotency key.

use {
    super::{ForwardWork, RequestForwarder, attempt::AttemptTarget},
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::ObjectName,
        message::{ExecutionRecord, ExecutionState, PeerFrame, PeerRequest},
        time::unix_ms,
    },
    catkindeck_policy::{HomeSelector, RouteQuery},
};

/// The agents that keep the records of an idempotency key: its current home, its earlier homes, and
/// the next one.
///
/// Only the current home may run a request with the key, unless the work is idempotent.
#[derive(Debug, Clone)]
pub(super) struct KeyHomes {
    home: ObjectName,
    earlier: Vec<ObjectName>,
    next: Option<ObjectName>,
    home_failed: bool,
}

impl KeyHomes {
    /// Selects the agent for the next attempt after a failure of `kind`.
    ///
    /// The next home may run a request with the key only after the current one reported that it is
    /// shutting down, because only then have its records been handed over; any other move could run
    /// the request twice.
    pub(super) fn advance(&mut self, kind: ErrorKind) {
        if kind == ErrorKind::ShuttingDown
            && let Some(next) = self.next.take()
        {
            self.home = next;
            return;
        }
        self.home_failed = kind != ErrorKind::WrongIncarnation;
    }
}

impl RequestForwarder {
    /// Determines the homes of the request's idempotency key (`docs/design.md`, decision 4).
    pub(super) fn find_key_homes(
        &self,
        work: &ForwardWork,
        key: &str,
    ) -> Result<KeyHomes, ServiceError> {
        let snapshot = self.source().current();
        let choice = HomeSelector::new().choose(
            unix_ms(),
            work.customer(),
            key,
            &work.route.service,
            &snapshot.upstreams,
        );
        let choice = choice.ok_or_else(|| {
            ServiceError::not_run(ErrorKind::NoUpstream, "the service has no upstream")
        })?;
        Ok(KeyHomes {
            home: choice.home,
            earlier: choice.earlier,
            next: choice.next,
            home_failed: false,
        })
    }

    /// Queries the earlier homes of the key, each of which then refuses to start requests with it.
    ///
    /// Returns the record of a finished execution if its stored response can be replayed.
    ///
    /// # Errors
    ///
    /// Returns `outcome_unknown` if an earlier home cannot prove the outcome and the work is not
    /// idempotent, and `conflict` if the key was used with another body or is in progress.
    pub(super) fn query_earlier_homes(
        &self,
        work: &ForwardWork,
        key_homes: &KeyHomes,
    ) -> Result<Option<Box<ExecutionRecord>>, ServiceError> {
        for home in &key_homes.earlier {
            let record = match self.forbid_start(work, home) {
                Ok(record) => record,
                Err(_) if work.route.idempotent => continue,
                Err(error) => {
                    let detail = format!(
                        "cannot query an agent that may have run an earlier request with this \
                         idempotency key: {error}"
                    );
                    return Err(ServiceError::unknown(ErrorKind::OutcomeUnknown, detail));
                }
            };
            let Some(record) = record else {
                continue;
            };
            if record.state == ExecutionState::Forbidden {
                continue;
            }
            if record.digest != work.digest {
                return Err(ServiceError::not_run(
                    ErrorKind::Conflict,
                    "the idempotency key was used with another body",
                ));
            }
            match record.state {
                ExecutionState::Finished if record.answer_kept => return Ok(Some(record)),
                _ if work.route.idempotent => {}
                ExecutionState::Finished => {
                    return Err(ServiceError {
                        kind: ErrorKind::OutcomeUnknown,
                        execution: ExecutionOutcome::Finished,
                        detail: "the request ran before and its response is not stored".to_owned(),
                    });
                }
                ExecutionState::Queued | ExecutionState::Running => {
                    return Err(ServiceError::unknown(
                        ErrorKind::Conflict,
                        "the same request is in progress",
                    ));
                }
                ExecutionState::Failed | ExecutionState::Forbidden => {
                    return Err(ServiceError::unknown(
                        ErrorKind::OutcomeUnknown,
                        "the upstream failed during an earlier execution of this request",
                    ));
                }
            }
        }
        Ok(None)
    }

    /// Chooses the agent for the next attempt.
    pub(super) fn choose_target(
        &self,
        work: &ForwardWork,
        key_homes: Option<&KeyHomes>,
        excluded: &[ObjectName],
    ) -> Result<AttemptTarget, ServiceError> {
        if let Some(key_homes) = key_homes
            && !(key_homes.home_failed && work.route.idempotent)
        {
            return self.target_of(&key_homes.home);
        }
        let now = self.now();
        let choice = self.with_router(|router| {
            let query = RouteQuery {
                service: &work.route.service,
                prefix: work.prefix,
                excluded,
            };
            router.route(now, &query)
        })?;
        let mut target = self.target_of(&choice.upstream)?;
        target.incarnation = choice.incarnation;
        Ok(target)
    }

    /// Queries the agent's incarnation if it is needed and not known.
    ///
    /// Work that is not idempotent is addressed to an incarnation: only then does a restarted agent
    /// refuse it, and only then does a revocation prove that the work did not run.
    ///
    /// # Errors
    ///
    /// Returns the target with `peer_unavailable` and `not_run`, because nothing was sent.
    pub(super) fn resolve_incarnation(
        &self,
        work: &ForwardWork,
        mut target: AttemptTarget,
    ) -> Result<AttemptTarget, (AttemptTarget, ServiceError)> {
        if target.incarnation.is_some() || work.route.idempotent {
            return Ok(target);
        }
        match self.call_agent(target.address, PeerRequest::ReadLoad) {
            Ok(PeerFrame::Load(load)) => {
                target.incarnation = Some(load.incarnation);
                self.record_load_report(&target.upstream, &load);
                Ok(target)
            }
            Ok(_) => {
                let detail = "expected a load report from the agent, got another frame";
                let error = ServiceError::not_run(ErrorKind::PeerUnavailable, detail);
                Err((target, error))
            }
            Err(error) => {
                self.mark_unreachable(&target.upstream);
                let error = ServiceError::not_run(ErrorKind::PeerUnavailable, error.detail);
                Err((target, error))
            }
        }
    }

    /// Replaces `not_run` by `unknown` if the home of the request's idempotency key was unreachable.
    ///
    /// An unreachable home may have a record of an earlier request with this key, so the caller
    /// must not conclude that no request with it ran (`docs/design.md`, G12 and G13).
    pub(super) fn unknown_if_home_unreachable(
        &self,
        work: &ForwardWork,
        error: ServiceError,
    ) -> ServiceError {
        let is_inconclusive = error.kind == ErrorKind::PeerUnavailable
            && error.execution == ExecutionOutcome::NotRun
            && work.idempotency_key.is_some()
            && !work.route.idempotent;
        if !is_inconclusive {
            return error;
        }
        ServiceError::unknown(
            ErrorKind::OutcomeUnknown,
            format!(
                "the agent that keeps the records of this idempotency key is unreachable: {}",
                error.detail
            ),
        )
    }

    fn target_of(&self, upstream: &ObjectName) -> Result<AttemptTarget, ServiceError> {
        let snapshot = self.source().current();
        let record = snapshot.upstream(upstream).ok_or_else(|| {
            ServiceError::not_run(
                ErrorKind::NoUpstream,
                "the upstream was removed from the configuration",
            )
        })?;
        Ok(AttemptTarget {
            upstream: record.name.clone(),
            address: record.agent,
            incarnation: None,
        })
    }

    /// Makes an agent refuse to start requests with the work's idempotency key from now on, and
    /// returns its record of the key if it has one.
    fn forbid_start(
        &self,
        work: &ForwardWork,
        home: &ObjectName,
    ) -> Result<Option<Box<ExecutionRecord>>, ServiceError> {
        let target = self.target_of(home)?;
        let request = PeerRequest::FindExecution {
            customer: work.customer().cloned(),
            route: work.route.name.clone(),
            idempotency_key: work.idempotency_key.clone().unwrap_or_default(),
            forbid_start: true,
        };
        match self.call_agent(target.address, request)? {
            PeerFrame::Execution(record) => {
                let is_foreign = record.as_ref().is_some_and(|record| {
                    record.customer.as_ref() != work.customer() || record.route != work.route.name
                });
                if is_foreign {
                    let detail = "the agent responded with the record of another request";
                    return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
                }
                Ok(record)
            }
            _ => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                "expected an execution record from the agent, got another frame",
            )),
        }
    }
}
