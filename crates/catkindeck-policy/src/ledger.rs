//! The ledger of a training step, which records accepted and delivered samples.
//!
//! The ledger proposes the composition of each batch, and offers the batch only after the owner has
//! written the composition to the store, so that the next owner never delivers a sample twice
//! (`docs/design.md`, decision 11).

use {
    crate::batch::{
        BatchRecord, BatchSample, DiscardReason, STEP_SAMPLE_LIMIT, SampleTask, StepConfig,
        StepEntry, sample_digest,
    },
    catkindeck::{
        ErrorKind, ServiceError,
        message::{SampleId, SampleRecord, StepPlan},
        token::WeightVersion,
    },
};

/// The state of a position of the step.
#[derive(Debug, Clone)]
pub(crate) enum SlotState {
    Waiting,
    Running,
    Accepted(Box<SampleRecord>),
    Batched {
        cursor: u32,
        data: Option<Box<SampleRecord>>,
    },
}

/// A position of the step with its current generation.
#[derive(Debug, Clone)]
pub(crate) struct SampleSlot {
    generation: u32,
    pub(crate) state: SlotState,
}

/// A batch whose offer is in the store.
#[derive(Debug, Clone)]
pub(crate) struct OfferedBatch {
    pub(crate) samples: Vec<BatchSample>,
    pub(crate) lost: bool,
}

/// The ledger of one step, kept by the step's owner.
#[derive(Debug, Clone)]
pub struct StepLedger {
    config: StepConfig,
    pub(crate) plan: StepPlan,
    current: WeightVersion,
    pub(crate) slots: Vec<SampleSlot>,
    pub(crate) batches: Vec<OfferedBatch>,
    /// The number of entries in the step's log.
    log_length: u32,
    /// The entry whose write to the store has an unknown outcome. It must not change until the
    /// outcome is known, because the write may have taken effect.
    pub(crate) proposal: Option<StepEntry>,
}

impl StepLedger {
    /// Creates the ledger of a step that has no finished samples.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the plan is empty, and `too_large` if it has too many samples.
    pub fn open(
        config: StepConfig,
        plan: StepPlan,
        current: WeightVersion,
    ) -> Result<Self, ServiceError> {
        let groups = u32::try_from(plan.prompts.len()).unwrap_or(u32::MAX);
        let total = groups.saturating_mul(plan.group_size);
        if total == 0 || plan.max_tokens == 0 {
            return Err(ServiceError::not_run(
                ErrorKind::BadRequest,
                format!(
                    "expected at least 1 group, 1 sample per group and 1 token per sample, \
                     got {groups}, {} and {}",
                    plan.group_size, plan.max_tokens
                ),
            ));
        }
        if total > STEP_SAMPLE_LIMIT {
            return Err(ServiceError::not_run(
                ErrorKind::TooLarge,
                format!(
                    "a step may have at most {STEP_SAMPLE_LIMIT} samples, but this one has {total}"
                ),
            ));
        }
        let slot = SampleSlot {
            generation: 0,
            state: SlotState::Waiting,
        };
        let slots = vec![slot; total as usize];
        Ok(Self {
            config,
            plan,
            current,
            slots,
            batches: Vec::new(),
            log_length: 0,
            proposal: None,
        })
    }

    /// Restores the ledger of a former owner from the step's log and from samples retained by
    /// agents.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`StepLedger::open`], and `internal` if the cursors of the log have a
    /// gap.
    pub fn restore(
        config: StepConfig,
        plan: StepPlan,
        current: WeightVersion,
        log: Vec<StepEntry>,
        retained: Vec<SampleRecord>,
    ) -> Result<Self, ServiceError> {
        let mut ledger = Self::open(config, plan, current)?;
        for entry in log {
            ledger.apply(entry)?;
        }
        for record in retained {
            ledger.adopt(record);
        }
        Ok(ledger)
    }

    pub fn plan(&self) -> &StepPlan {
        &self.plan
    }

    /// Returns the current weight version.
    pub fn current(&self) -> WeightVersion {
        self.current
    }

    /// Returns the largest lag of a delivered sample behind the current version.
    pub fn staleness_bound(&self) -> u64 {
        self.config.staleness_bound
    }

    /// Returns whether every sample is in an offered batch.
    pub fn all_offered(&self) -> bool {
        self.slots
            .iter()
            .all(|slot| matches!(slot.state, SlotState::Batched { .. }))
    }

    /// Returns the number of accepted or delivered samples, and the number of samples in the step.
    pub fn progress(&self) -> (u32, u32) {
        let done = self.slots.iter().filter(|slot| {
            matches!(
                slot.state,
                SlotState::Accepted(_) | SlotState::Batched { .. }
            )
        });
        (count_u32(done.count()), count_u32(self.slots.len()))
    }

    /// Returns the position at which the next entry is appended to the step's log.
    pub fn log_position(&self) -> u32 {
        self.log_length
    }

    /// Returns whether every sample was delivered and the trainer has acknowledged the last batch.
    pub fn is_complete(&self) -> bool {
        self.batches
            .last()
            .is_some_and(|batch| batch.samples.is_empty())
    }

    /// Takes up to `limit` samples to generate, those of nearly complete groups first.
    pub fn take_tasks(&mut self, limit: usize) -> Vec<SampleTask> {
        let size = self.plan.group_size as usize;
        let mut groups: Vec<(usize, usize)> = (0..self.plan.prompts.len())
            .map(|group| (self.missing_in_group(group), group))
            .filter(|(missing, _)| *missing > 0)
            .collect();
        groups.sort_unstable();

        let mut tasks = Vec::new();
        for (missing, group) in groups {
            for index in group * size..(group + 1) * size {
                if tasks.len() == limit {
                    return tasks;
                }
                if !matches!(self.slots[index].state, SlotState::Waiting) {
                    continue;
                }
                self.slots[index].state = SlotState::Running;
                tasks.push(SampleTask {
                    id: self.sample_id(index),
                    prompt: self.plan.prompts[group].clone(),
                    max_tokens: self.plan.max_tokens,
                    priority: group_priority(missing, size),
                });
            }
        }
        tasks
    }

    /// Marks a sample as waiting again after its generation failed.
    pub fn requeue(&mut self, id: &SampleId) {
        let Some(index) = self.slot_index(id) else {
            return;
        };
        let slot = &mut self.slots[index];
        if slot.generation == id.generation && matches!(slot.state, SlotState::Running) {
            slot.state = SlotState::Waiting;
        }
    }

    /// Accepts a finished sample unless another run of it was accepted first.
    ///
    /// # Errors
    ///
    /// Returns why the sample was discarded. A stale or unlabelled sample is marked as waiting, so
    /// that it is generated again.
    pub fn complete(&mut self, record: SampleRecord) -> Result<(), DiscardReason> {
        let index = self
            .slot_index(&record.id)
            .ok_or(DiscardReason::NotExpected)?;
        if self.slots[index].generation != record.id.generation {
            return Err(DiscardReason::NotExpected);
        }
        if !matches!(
            self.slots[index].state,
            SlotState::Waiting | SlotState::Running
        ) {
            return Err(DiscardReason::AlreadyAccepted);
        }
        if let Err(reason) = self.check(&record) {
            self.slots[index].state = SlotState::Waiting;
            return Err(reason);
        }
        self.slots[index].state = SlotState::Accepted(Box::new(record));
        Ok(())
    }

    /// Records that the trainer uses a new weight version. Accepted samples that are now too old
    /// are dropped and generated again.
    ///
    /// # Errors
    ///
    /// Returns `conflict` if the version is lower than the current one.
    pub fn announce(&mut self, version: WeightVersion) -> Result<(), ServiceError> {
        if version < self.current {
            return Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!(
                    "version {} is older than the current version {}",
                    version.0, self.current.0
                ),
            ));
        }
        self.current = version;
        for index in 0..self.slots.len() {
            let stale = match &self.slots[index].state {
                SlotState::Accepted(record) => self.check(record).is_err(),
                _ => false,
            };
            let proposed = match &self.proposal {
                Some(StepEntry::Offer(batch)) => batch
                    .samples
                    .iter()
                    .any(|sample| self.slot_index(&sample.id) == Some(index)),
                _ => false,
            };
            if stale && !proposed {
                self.slots[index].state = SlotState::Waiting;
            }
        }
        Ok(())
    }

    /// Records that the store holds `entry` at [`StepLedger::log_position`], and returns the
    /// samples that agents no longer need to retain.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the entry does not continue the log.
    pub fn confirm(&mut self, entry: StepEntry) -> Result<Vec<SampleId>, ServiceError> {
        let released: Vec<SampleId> = match &entry {
            StepEntry::Offer(_) => {
                let former = self.batches.last();
                former
                    .into_iter()
                    .flat_map(|batch| &batch.samples)
                    .map(|s| s.id.clone())
                    .collect()
            }
            StepEntry::Lost(_) => Vec::new(),
        };
        self.proposal = None;
        self.apply(entry)?;
        for id in &released {
            self.drop_data(id);
        }
        Ok(released)
    }

    fn apply(&mut self, entry: StepEntry) -> Result<(), ServiceError> {
        self.log_length += 1;
        match entry {
            StepEntry::Offer(record) => self.apply_offer(record),
            StepEntry::Lost(cursor) => self.apply_lost(cursor),
        }
    }

    fn apply_offer(&mut self, record: BatchRecord) -> Result<(), ServiceError> {
        if record.cursor as usize != self.batches.len() {
            return Err(log_gap_error(record.cursor));
        }
        for sample in &record.samples {
            let Some(index) = self.slot_index(&sample.id) else {
                continue;
            };
            let slot = &mut self.slots[index];
            let data = match std::mem::replace(&mut slot.state, SlotState::Waiting) {
                SlotState::Accepted(data) => Some(data),
                _ => None,
            };
            slot.generation = sample.id.generation;
            slot.state = SlotState::Batched {
                cursor: record.cursor,
                data,
            };
        }
        self.batches.push(OfferedBatch {
            samples: record.samples,
            lost: false,
        });
        Ok(())
    }

    fn apply_lost(&mut self, cursor: u32) -> Result<(), ServiceError> {
        let batch = self
            .batches
            .get_mut(cursor as usize)
            .ok_or_else(|| log_gap_error(cursor))?;
        batch.lost = true;
        for sample in batch.samples.clone() {
            let Some(index) = self.slot_index(&sample.id) else {
                continue;
            };
            let generation = sample.id.generation + 1;
            self.slots[index] = SampleSlot {
                generation,
                state: SlotState::Waiting,
            };
        }
        Ok(())
    }

    /// Adds a sample that an agent retained for the former owner.
    fn adopt(&mut self, record: SampleRecord) {
        let Some(index) = self.slot_index(&record.id) else {
            return;
        };
        if let SlotState::Batched { cursor, data } = &mut self.slots[index].state {
            let batch = &self.batches[*cursor as usize];
            let digest = sample_digest(&record);
            if batch
                .samples
                .iter()
                .any(|sample| sample.id == record.id && sample.digest == digest)
            {
                *data = Some(Box::new(record));
            }
            return;
        }
        // A discarded sample is generated again, so the reason is irrelevant.
        let _ = self.complete(record);
    }

    pub(crate) fn check(&self, record: &SampleRecord) -> Result<(), DiscardReason> {
        if !self.config.checks_enabled {
            return Ok(());
        }
        let oldest = record
            .labels
            .oldest()
            .ok_or(DiscardReason::UnknownVersion)?;
        if self.current.0.saturating_sub(oldest.0) > self.config.staleness_bound {
            return Err(DiscardReason::Stale);
        }
        Ok(())
    }

    fn drop_data(&mut self, id: &SampleId) {
        let Some(index) = self.slot_index(id) else {
            return;
        };
        let slot = &mut self.slots[index];
        if let SlotState::Batched { data, .. } = &mut slot.state
            && slot.generation == id.generation
        {
            *data = None;
        }
    }

    fn missing_in_group(&self, group: usize) -> usize {
        let size = self.plan.group_size as usize;
        let members = &self.slots[group * size..(group + 1) * size];
        let missing = members
            .iter()
            .filter(|slot| matches!(slot.state, SlotState::Waiting | SlotState::Running));
        missing.count()
    }

    fn sample_id(&self, index: usize) -> SampleId {
        let size = self.plan.group_size as usize;
        SampleId {
            run: self.config.run.clone(),
            step: self.plan.step,
            group: count_u32(index / size),
            index: count_u32(index % size),
            generation: self.slots[index].generation,
        }
    }

    pub(crate) fn slot_index(&self, id: &SampleId) -> Option<usize> {
        let size = self.plan.group_size;
        let known = id.run == self.config.run
            && id.step == self.plan.step
            && (id.group as usize) < self.plan.prompts.len()
            && id.index < size;
        known.then(|| id.group as usize * size as usize + id.index as usize)
    }
}

fn log_gap_error(cursor: u32) -> ServiceError {
    let detail = format!("the step's log has a gap before cursor {cursor}");
    ServiceError::unknown(ErrorKind::Internal, detail)
}

/// Returns a priority that rises as fewer members of a group are missing.
fn group_priority(missing: usize, size: usize) -> u8 {
    u8::try_from(size.saturating_sub(missing) * 3 / size.max(1)).unwrap_or(u8::MAX)
}

pub(crate) fn count_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
