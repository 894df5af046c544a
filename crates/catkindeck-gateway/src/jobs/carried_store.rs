//! Incomplete groups of ended steps in the store, for processes that own a later step of the trainer
//! (`docs/design/carried-texts.md`).

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        events::{CARRY_UNREAD, GROUPS_RETURNED},
        keys::{self, CarryRecord, JobState},
        port::StoreWrite,
    },
    catkindeck::{ServiceError, log_event},
    catkindeck_policy::direct::{ItemKey, ItemProgress, TrainerId},
    std::{cmp::Reverse, rc::Rc},
};

/// The part of a value of the store that texts may take, as a divisor. Encoding adds at most their size.
const TEXT_BUDGET_DIVISOR: usize = 4;

impl JobService {
    /// Returns the write that stores the incomplete groups of a job that its trainer ended.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the groups cannot be encoded, which is a bug.
    pub(super) fn carry_write(&self, job: &OwnedJob) -> Result<Option<StoreWrite>, ServiceError> {
        let Some(trainer) = self.carrying_trainer(job) else {
            return Ok(None);
        };
        let least_version = job.spec.least_version;
        let later = {
            let carry = self.carry.borrow();
            let trend = carry.get(&trainer);
            trend.and_then(|trend| trend.later_version(least_version))
        };
        let state = job.job.borrow();
        let keys = state.incomplete_groups();
        let mut texts: Vec<(String, ItemProgress)> = Vec::new();
        for key in &keys {
            let progress = state.progress(*key);
            let oldest = progress.versions.first();
            if oldest.is_some_and(|oldest| *oldest >= later.unwrap_or(least_version)) {
                let text = ItemProgress {
                    // Failures count only against the attempts of the job in which they occurred.
                    failures: 0,
                    rejections: 0,
                    ..progress.clone()
                };
                texts.push((state.item(*key).id.clone(), text));
            }
        }
        texts.sort_by_key(|(_, progress)| Reverse(progress.text.len()));
        let mut budget = self.core.settings().value_bytes / TEXT_BUDGET_DIVISOR;
        let id_bytes: usize = keys.iter().map(|key| state.item(*key).id.len()).sum();
        // The record is part of the transaction that ends the step, which must not fail for its size.
        if id_bytes > budget {
            return Ok(None);
        }
        texts.retain(|(_, progress)| {
            let fits = progress.text.len() <= budget;
            if fits {
                budget -= progress.text.len();
            }
            fits
        });
        let record = CarryRecord {
            items: keys.iter().map(|key| state.item(*key).id.clone()).collect(),
            trainer,
            least_version,
            texts,
        };
        Ok(Some(StoreWrite {
            key: keys::carry_key(&record.trainer, least_version),
            value: keys::encode(&record)?,
            lease: None,
        }))
    }

    /// Reads which groups of earlier steps a job asks for again, in case that another process owned these.
    pub(super) fn adopt_stored_texts(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        let is_open = job.record.borrow().state == JobState::Running;
        if let Some(trainer) = self.carrying_trainer(job).filter(|_| is_open) {
            let (service, job) = (Rc::clone(self), Rc::clone(job));
            tokio::task::spawn_local(async move { service.read_carried(&job, &trainer).await });
        }
    }

    async fn read_carried(&self, job: &OwnedJob, trainer: &TrainerId) {
        let prefix = keys::carry_prefix(trainer);
        let listing = match self.core.ports.store.list(&prefix).await {
            Ok(listing) => listing,
            // The step is served as if its groups were new, which costs time and loses nothing.
            Err(error) => {
                log_event!(self.core.logger, CARRY_UNREAD;
                    "job" => &job.spec.id, "detail" => error.detail);
                return;
            }
        };
        let records = listing.items.iter().filter_map(|item| {
            let record = keys::decode_item::<CarryRecord>(item);
            record.ok().filter(|record| record.trainer == *trainer)
        });
        for record in records {
            if !job.is_lost.get() && !job.job.borrow().is_ended() {
                self.adopt_record(job, record);
            }
        }
    }

    fn adopt_record(&self, job: &OwnedJob, record: CarryRecord) {
        let key_of = |id: &String| {
            let index = job.position_of(id)?;
            Some(ItemKey(u32::try_from(index).unwrap_or(u32::MAX)))
        };
        let returned: Vec<ItemKey> = record.items.iter().filter_map(key_of).collect();
        if returned.is_empty() {
            return;
        }
        let later = job.spec.least_version;
        let mut carry = self.carry.borrow_mut();
        let trend = carry.get_mut(&record.trainer);
        trend.record_return(record.least_version, later);
        drop(carry);
        for key in &returned {
            job.job.borrow_mut().prioritize_group(*key);
        }
        let now = self.core.now();
        let mut adopted = 0;
        for (id, progress) in record.texts {
            let Some(key) = key_of(&id) else { continue };
            if job.job.borrow().should_replace(key, &progress) {
                job.stop_run(key);
                let is_taken = job.job.borrow_mut().replace_text(now, key, progress);
                adopted += u64::from(is_taken);
            }
        }
        log_event!(self.core.logger, GROUPS_RETURNED;
            "job" => &job.spec.id, "items" => returned.len(), "stored" => true,
            "adopted" => adopted, "least_version" => later.0);
        self.core.capacity.notify_one();
    }
}
