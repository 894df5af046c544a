//! The execution records of an agent, which ensure that a request runs at most once.

use {
    crate::{
        record::{
            BeginDecision, ExecutionResult, ExecutionSettings, RecordHistory, RevokeOutcome,
            key_hash, queued_record, revoked_error,
        },
        record_index::{RecordId, RecordIndex},
    },
    catkindeck::{
        ErrorKind, ExecutionOutcome, Moment, ServiceError,
        id::{BootId, IncarnationId, RequestId},
        message::{ExecuteRequest, ExecutionRecord, ExecutionState, REPLAY_BODY_LIMIT},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// The records of queued, running, ended and forbidden requests.
///
/// A new idempotency key cannot be distinguished from a retry by its value. A missing record proves
/// that the key never ran only if no record can have been lost: either no earlier incarnation of
/// the agent ran anything within the retention, or the table is old enough that every lost record
/// would have expired. Otherwise a keyed request that must not run twice is answered `unknown`
/// (`docs/design.md`, decision 4).
#[derive(Debug, Clone)]
pub struct ExecutionTable {
    pub(crate) settings: ExecutionSettings,
    incarnation: IncarnationId,
    complete_from: Moment,
    pub(crate) handed_over: bool,
    pub(crate) records: RecordIndex,
    revoked: BTreeSet<RequestId>,
    revocations: VecDeque<(Moment, RequestId)>,
}

impl ExecutionTable {
    /// Creates an empty table for an agent that started at `started`.
    pub fn new(
        settings: ExecutionSettings,
        incarnation: IncarnationId,
        started: Moment,
        history: RecordHistory,
    ) -> Self {
        // A request may keep running at the upstream after the agent that sent it died.
        let uncertain_ms = settings.retention_ms + settings.longest_request_ms;
        let complete_from = match history {
            RecordHistory::Complete => started,
            RecordHistory::MayBeIncomplete => started + uncertain_ms,
        };
        Self {
            settings,
            incarnation,
            complete_from,
            handed_over: false,
            records: RecordIndex::new(settings.retention_ms, settings.response_limit),
            revoked: BTreeSet::new(),
            revocations: VecDeque::new(),
        }
    }

    /// Records a request as queued, unless an existing record decides otherwise.
    ///
    /// # Errors
    ///
    /// Returns `wrong_incarnation`, `revoked`, `shutting_down` or `overloaded` with `not_run`;
    /// `conflict` with `not_run` if the key was used with a different body, and with `unknown` if
    /// the same request or key is in progress; `outcome_unknown` if the request may have run
    /// before; `revoked` with `unknown` if another agent is responsible for the key.
    pub fn begin(
        &mut self,
        now: Moment,
        request: &ExecuteRequest,
    ) -> Result<BeginDecision, ServiceError> {
        self.expire(now);
        let target_incarnation = request.incarnation.unwrap_or(self.incarnation);
        if target_incarnation != self.incarnation {
            return Err(ServiceError::not_run(
                ErrorKind::WrongIncarnation,
                "the request is addressed to another incarnation of this agent",
            ));
        }
        if self.revoked.contains(&request.request) {
            return Err(revoked_error());
        }
        if let Some(id) = self.records.find_by_request(&request.request)
            && let Some(decision) = self.decide_existing(id, request)?
        {
            return Ok(decision);
        }
        let key = request
            .idempotency_key
            .as_deref()
            .map(|key| key_hash(request.customer.as_ref(), &request.route, key));
        if let Some(key) = key {
            if let Some(id) = self.records.find_by_key(&key)
                && let Some(decision) = self.decide_existing(id, request)?
            {
                return Ok(decision);
            }
            self.check_records_complete(now, request.idempotent)?;
            if self.handed_over {
                return Err(ServiceError::not_run(
                    ErrorKind::ShuttingDown,
                    "the agent has handed over its execution records",
                ));
            }
        }
        if self.records.len() >= self.settings.record_limit {
            return Err(ServiceError::not_run(
                ErrorKind::Overloaded,
                "the agent's execution record table is full",
            ));
        }
        let id = self.records.insert(queued_record(request), key, true);
        if let Some(entry) = self.records.get_mut(id) {
            entry.repeatable = request.idempotent && request.idempotency_key.is_none();
        }
        Ok(BeginDecision::Run)
    }

    /// Marks a queued request as sent to the upstream; must be called directly before sending.
    ///
    /// # Errors
    ///
    /// Returns `revoked` with `not_run` if the request is no longer queued.
    pub fn start(&mut self, request: &RequestId, boot: &BootId) -> Result<(), ServiceError> {
        let id = self.records.find_by_request(request);
        match id.and_then(|id| self.records.get_mut(id)) {
            Some(entry) if entry.record.state == ExecutionState::Queued => {
                entry.record.state = ExecutionState::Running;
                entry.record.boot = boot.clone();
                Ok(())
            }
            _ => Err(revoked_error()),
        }
    }

    /// Removes a request that was rejected before it started, so that its caller may retry it.
    pub fn release(&mut self, request: &RequestId) {
        let Some(id) = self.records.find_by_request(request) else {
            return;
        };
        if self.records.state(id) == Some(ExecutionState::Queued) {
            self.records.remove(id);
        }
    }

    /// Removes a started request once it is proven that no part of it reached the upstream.
    pub fn undo_start(&mut self, request: &RequestId) {
        let Some(id) = self.records.find_by_request(request) else {
            return;
        };
        if self.records.state(id) == Some(ExecutionState::Running) {
            self.records.remove(id);
        }
    }

    /// Stores the headers of a running request's response; must be called before [`Self::finish`].
    pub fn store_headers(&mut self, request: &RequestId, headers: Vec<(String, String)>) {
        let id = self.records.find_by_request(request);
        if let Some(entry) = id.and_then(|id| self.records.get_mut(id))
            && entry.key.is_some()
        {
            entry.record.headers = headers;
        }
    }

    /// Stores the result of a running request and returns its record.
    ///
    /// A response larger than [`REPLAY_BODY_LIMIT`] is not kept, so a retry of its key is answered
    /// `outcome_unknown` with `finished`.
    pub fn finish(
        &mut self,
        now: Moment,
        request: &RequestId,
        result: ExecutionResult,
    ) -> Option<ExecutionRecord> {
        let id = self.records.find_by_request(request)?;
        let entry = self.records.get_mut(id)?;
        if entry.record.state != ExecutionState::Running {
            return None;
        }
        entry.record.state = match result.complete {
            true => ExecutionState::Finished,
            false => ExecutionState::Failed,
        };
        entry.record.boot = result.boot;
        entry.record.labels = result.labels;
        entry.record.status = result.status;
        let fits = result.answer.len() <= REPLAY_BODY_LIMIT;
        if entry.key.is_some() && result.complete && fits {
            entry.record.answer = result.answer;
            entry.record.answer_kept = true;
        }
        entry.response_dropped = result.complete && !entry.record.answer_kept;
        let record = entry.record.clone();
        self.records.start_retention(now, id);
        Some(record)
    }

    /// Records that a request must never start here, unless it has started.
    ///
    /// # Errors
    ///
    /// Returns `wrong_incarnation` with `unknown` if the request was sent to an earlier
    /// incarnation, and `overloaded` with `unknown` if the revocation cannot be recorded.
    pub fn revoke(
        &mut self,
        now: Moment,
        request: &RequestId,
        incarnation: &IncarnationId,
    ) -> Result<RevokeOutcome, ServiceError> {
        self.expire(now);
        if *incarnation != self.incarnation {
            return Err(ServiceError::unknown(
                ErrorKind::WrongIncarnation,
                "the agent restarted after the request was sent",
            ));
        }
        let Some(id) = self.records.find_by_request(request) else {
            return self.record_revocation(now, request);
        };
        let Some(entry) = self.records.get_mut(id) else {
            return self.record_revocation(now, request);
        };
        match entry.record.state {
            ExecutionState::Forbidden => Ok(RevokeOutcome::Revoked),
            ExecutionState::Queued => {
                // The key remains usable, because only this request is revoked.
                self.records.remove(id);
                self.record_revocation(now, request)?;
                Ok(RevokeOutcome::Revoked)
            }
            ExecutionState::Running | ExecutionState::Finished | ExecutionState::Failed => {
                Ok(RevokeOutcome::Known(Box::new(entry.record.clone())))
            }
        }
    }

    pub fn record(&self, request: &RequestId) -> Option<&ExecutionRecord> {
        let id = self.records.find_by_request(request)?;
        Some(&self.records.get(id)?.record)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records whose retention has ended.
    pub fn expire(&mut self, now: Moment) {
        self.records.expire(now);
        while let Some((expiry, request)) = self.revocations.front().copied()
            && expiry <= now
        {
            self.revocations.pop_front();
            self.revoked.remove(&request);
        }
    }

    fn record_revocation(
        &mut self,
        now: Moment,
        request: &RequestId,
    ) -> Result<RevokeOutcome, ServiceError> {
        if self.revoked.contains(request) {
            return Ok(RevokeOutcome::Revoked);
        }
        if self.revoked.len() >= self.settings.record_limit {
            return Err(table_full_error());
        }
        self.revoked.insert(*request);
        self.revocations
            .push_back((now + self.settings.retention_ms, *request));
        Ok(RevokeOutcome::Revoked)
    }

    /// Decides by an existing record; `None` means that the request may run again.
    fn decide_existing(
        &mut self,
        id: RecordId,
        request: &ExecuteRequest,
    ) -> Result<Option<BeginDecision>, ServiceError> {
        let Some(entry) = self.records.get(id) else {
            return Ok(None);
        };
        let record = &entry.record;
        // The key was forbidden here because another agent is responsible for it, where it may
        // have run.
        if record.state == ExecutionState::Forbidden {
            return Err(ServiceError::unknown(
                ErrorKind::Revoked,
                "another agent is responsible for the idempotency key",
            ));
        }
        if record.digest != request.digest {
            return Err(ServiceError::not_run(
                ErrorKind::Conflict,
                "the idempotency key or request ID was used with a different body",
            ));
        }
        match record.state {
            ExecutionState::Finished
                if request.idempotent && (entry.response_dropped || entry.key.is_none()) =>
            {
                self.records.remove(id);
                Ok(None)
            }
            ExecutionState::Finished if entry.response_dropped || entry.key.is_none() => {
                Err(ServiceError {
                    kind: ErrorKind::OutcomeUnknown,
                    execution: ExecutionOutcome::Finished,
                    detail: "the request ran before and its response is not stored".to_owned(),
                })
            }
            ExecutionState::Finished => Ok(Some(BeginDecision::Replay(Box::new(record.clone())))),
            ExecutionState::Failed if request.idempotent => {
                self.records.remove(id);
                Ok(None)
            }
            ExecutionState::Failed => Err(ServiceError::unknown(
                ErrorKind::OutcomeUnknown,
                "the upstream failed while handling this request",
            )),
            ExecutionState::Queued | ExecutionState::Running | ExecutionState::Forbidden => Err(
                ServiceError::unknown(ErrorKind::Conflict, "the same request is in progress"),
            ),
        }
    }

    pub(crate) fn check_records_complete(
        &self,
        now: Moment,
        idempotent: bool,
    ) -> Result<(), ServiceError> {
        if idempotent || now >= self.complete_from {
            return Ok(());
        }
        Err(ServiceError::unknown(
            ErrorKind::OutcomeUnknown,
            "the agent restarted and may have lost the record of this idempotency key",
        ))
    }

    /// Forbidden and adopted keys may exceed the limit by half, so that a table filled by requests
    /// can still prove that a key has not run.
    pub(crate) fn check_space(&self) -> Result<(), ServiceError> {
        if self.records.len() < self.settings.record_limit + self.settings.record_limit / 2 {
            return Ok(());
        }
        Err(table_full_error())
    }
}

fn table_full_error() -> ServiceError {
    ServiceError::unknown(
        ErrorKind::Overloaded,
        "the agent's execution record table is full",
    )
}
