//! Handling of a trainer's fetches by the owner of a step.

use {
    crate::{
        batch::{
            BATCH_BYTE_LIMIT, BATCH_SAMPLE_LIMIT, BatchRecord, BatchSample, FetchAction, StepEntry,
            sample_digest,
        },
        ledger::{SlotState, StepLedger, count_u32},
    },
    catkindeck::{ErrorKind, ServiceError, message::SampleRecord},
};

impl StepLedger {
    /// Decides how to handle a fetch at `cursor`, which acknowledges the previous batch.
    pub fn fetch(&mut self, cursor: u32) -> FetchAction {
        let next = count_u32(self.batches.len());
        if cursor == next {
            return self.fetch_next(cursor);
        }
        if cursor + 1 == next {
            return self.refetch(cursor);
        }
        let error = if cursor < next {
            let detail =
                format!("batch {cursor} was already acknowledged; the next cursor is {next}");
            ServiceError::not_run(ErrorKind::Conflict, detail)
        } else {
            let detail = format!("cursor {cursor} skips batches; the next cursor is {next}");
            ServiceError::not_run(ErrorKind::BadRequest, detail)
        };
        FetchAction::Refuse(error)
    }

    fn fetch_next(&mut self, cursor: u32) -> FetchAction {
        if self.is_complete() {
            let detail = "the step is complete and its last batch was acknowledged";
            return FetchAction::Refuse(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        if let Some(proposal) = &self.proposal {
            return FetchAction::Persist(proposal.clone());
        }
        let samples = self.select_samples();
        if samples.is_empty() && !self.all_offered() {
            return FetchAction::Pending;
        }
        let proposal = StepEntry::Offer(BatchRecord { cursor, samples });
        self.proposal = Some(proposal.clone());
        FetchAction::Persist(proposal)
    }

    fn refetch(&self, cursor: u32) -> FetchAction {
        let batch = &self.batches[cursor as usize];
        if batch.lost {
            return FetchAction::Lost(batch.samples.iter().map(|s| s.id.clone()).collect());
        }
        // If a sample's data was lost or has become too old since the offer, the batch is lost. The
        // trainer repeats a fetch only if it did not receive the first offer.
        let samples: Option<Vec<SampleRecord>> = batch
            .samples
            .iter()
            .map(|sample| self.offered_data(sample))
            .map(|data| data.filter(|record| self.check(record).is_ok()))
            .collect();
        match samples {
            Some(samples) => {
                let last = self.all_offered();
                FetchAction::Offer { samples, last }
            }
            None => FetchAction::Persist(StepEntry::Lost(cursor)),
        }
    }

    /// Selects complete groups of accepted samples within the limits of a batch.
    fn select_samples(&self) -> Vec<BatchSample> {
        let size = self.plan.group_size as usize;
        let mut samples = Vec::new();
        let mut bytes = 0;
        for group in self.slots.chunks(size) {
            let records: Option<Vec<&SampleRecord>> = group
                .iter()
                .filter(|slot| !matches!(slot.state, SlotState::Batched { .. }))
                .map(|slot| match &slot.state {
                    SlotState::Accepted(record) => Some(record.as_ref()),
                    _ => None,
                })
                .collect();
            let Some(records) = records else { continue };
            let group_bytes: usize = records.iter().map(|record| record.text.len()).sum();
            let full = samples.len() + records.len() > BATCH_SAMPLE_LIMIT
                || bytes + group_bytes > BATCH_BYTE_LIMIT;
            if full && !samples.is_empty() {
                break;
            }
            bytes += group_bytes;
            samples.extend(records.into_iter().map(|record| BatchSample {
                id: record.id.clone(),
                digest: sample_digest(record),
            }));
        }
        samples
    }

    fn offered_data(&self, sample: &BatchSample) -> Option<SampleRecord> {
        match &self.slots[self.slot_index(&sample.id)?].state {
            SlotState::Batched {
                data: Some(data), ..
            } => Some(data.as_ref().clone()),
            _ => None,
        }
    }
}
