//! Backups of the partial texts of running jobs: copies at a peer, and values in the store.
//!
//! A rollout step has little more time than its longest text takes to generate. Without a copy, the loss of a
//! job's owner would cost everything generated so far; with a copy, the new owner resumes each text where the
//! copy ends.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        core::GatewayCore,
        events::{COPIES_UNSENT, COPY_FETCHED, TEXTS_UNSTORED},
        keys::{self, JobState, MemberRecord},
        peer::{PeerCall, PeerResponse},
        port::{StoreWrite, Transaction},
    },
    catkindeck::{Moment, SortedMap, id::IncarnationId, log_event, message},
    catkindeck_net::LocalFuture,
    catkindeck_policy::direct::{
        ItemKey, ItemProgress, PeerReachability, TextPart, rendezvous_score,
    },
    futures_util::stream::{FuturesUnordered, StreamExt},
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout_at},
};

/// How often new parts of texts are copied. After a takeover at most this much of each text is generated again.
const COPY_INTERVAL: Duration = Duration::from_millis(300);

/// How long a copy is kept without updates, in milliseconds. The loss of an owner is detected much sooner.
const COPY_LIFETIME_MS: u64 = 30_000;

/// How long to wait for other copy holders after the first one returned a copy. The network delay between
/// hosts is about a millisecond; the rest allows for a busy CPU.
const STRAGGLER_WAIT: Duration = Duration::from_millis(100);

/// The number of processes that are asked for a copy. The owner may have skipped some that it could not
/// reach, so the copy need not be at the first one.
const COPY_HOLDER_LIMIT: usize = 8;

/// How often texts are stored. If all processes are lost at once, at most this much of a text is lost. Every
/// store call is billed.
const STORE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The age of a job from which its texts are stored, in milliseconds. Most texts are complete and listed
/// within a second or two.
const MIN_JOB_AGE_TO_STORE_MS: u64 = 1_500;

/// The number and total size of a job's stored texts, by which changes are detected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct StoredTextsSummary {
    texts: usize,
    bytes: usize,
}

/// The progress of items that are not listed, by item index.
pub type IndexedProgress = Vec<(u32, ItemProgress)>;

/// New parts of one job's texts.
#[message]
pub struct JobTextUpdate {
    pub job: String,
    /// The new parts, by item index.
    pub parts: Vec<(u32, TextPart)>,
}

/// The copies that this process holds for the owners of jobs.
#[derive(Debug, Default)]
pub struct CopyStore {
    jobs: RefCell<SortedMap<String, CopyEntry>>,
}

#[derive(Debug)]
struct CopyEntry {
    owner: IncarnationId,
    updated_at: Moment,
    items: SortedMap<u32, ItemProgress>,
}

/// Tracks which process holds the copies of this process's jobs, and what it has received.
#[derive(Debug, Default)]
pub struct CopySender {
    reach: RefCell<PeerReachability>,
    holder: Cell<Option<IncarnationId>>,
    /// The part of each item's text that was sent.
    sent: RefCell<SortedMap<(String, ItemKey), SentProgress>>,
}

/// The part of one text that was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct SentProgress {
    bytes: usize,
    restarts: u32,
    is_scored: bool,
}

impl CopyStore {
    /// Adds new parts. A copy from a different owner of the job is replaced.
    pub fn put(&self, now: Moment, owner: IncarnationId, copies: Vec<JobTextUpdate>) {
        let mut jobs = self.jobs.borrow_mut();
        jobs.retain(|_, entry| now.since(entry.updated_at) < COPY_LIFETIME_MS);
        for copy in copies {
            let entry = jobs.get_or_insert_with(copy.job, || CopyEntry {
                owner,
                updated_at: now,
                items: SortedMap::new(),
            });
            if entry.owner != owner {
                entry.owner = owner;
                entry.items.clear();
            }
            entry.updated_at = now;
            for (index, part) in copy.parts {
                let progress = entry.items.get_or_insert_with(index, ItemProgress::default);
                progress.apply_part(&part);
            }
        }
    }

    /// Removes the copy of a job and returns the texts of the given items, in the same order.
    pub fn take(&self, job: &str, items: &[u32]) -> IndexedProgress {
        let entry = self.jobs.borrow_mut().remove(&job.to_owned());
        let Some(entry) = entry else {
            return IndexedProgress::new();
        };
        let wanted = items.iter().copied();
        wanted
            .filter_map(|index| Some((index, entry.items.get(&index)?.clone())))
            .collect()
    }
}

impl JobService {
    /// Sends new parts of the running jobs' texts to another process, for the life of this process.
    pub async fn replicate_texts(self: Rc<Self>) {
        let sender = CopySender::default();
        loop {
            sleep(COPY_INTERVAL).await;
            while !self.send_copies(&sender).await {}
        }
    }

    /// Sends new parts to the preferred copy holder. Returns `false` if that failed and another holder should
    /// be tried.
    async fn send_copies(&self, sender: &CopySender) -> bool {
        let mut holders = self.copy_holders();
        // A holder without room would refuse the copies.
        holders.sort_by_key(|holder| self.core.is_shedding(holder));
        let Some(holder) = sender.choose_copy_holder(self.core.now(), holders) else {
            return true;
        };
        let jobs = self.all();
        let running = jobs
            .iter()
            .filter(|job| job.record.borrow().state == JobState::Running);
        let copies: Vec<JobTextUpdate> =
            running.filter_map(|job| sender.unsent_parts(job)).collect();
        sender.retain_jobs(&jobs);
        if copies.is_empty() {
            return true;
        }
        let call = PeerCall::CopyTexts {
            owner: self.core.incarnation,
            copies,
        };
        let response = self
            .core
            .call_peer(holder.peer, &call, Duration::ZERO)
            .await;
        if matches!(response, Ok(PeerResponse::Done)) {
            return true;
        }
        log_event!(self.core.logger, COPIES_UNSENT; "keeper" => %holder.host);
        sender.mark_failed(self.core.now(), &holder);
        false
    }

    /// Stores the texts of jobs that have run for a while, for the life of the process.
    ///
    /// Unlike copies, stored texts survive the loss of all processes at once.
    pub async fn store_texts(self: Rc<Self>) {
        let mut stored: SortedMap<String, StoredTextsSummary> = SortedMap::new();
        loop {
            sleep(STORE_INTERVAL).await;
            // Without a lease, this process may no longer own its jobs.
            if self.session.lease().is_none() {
                continue;
            }
            let writes = self.changed_texts(&mut stored);
            if writes.is_empty() {
                continue;
            }
            let jobs = writes.len();
            let transaction = Transaction {
                writes,
                ..Transaction::default()
            };
            if let Err(error) = self.core.ports.store.commit(&transaction).await {
                log_event!(self.core.logger, TEXTS_UNSTORED;
                    "jobs" => jobs, "detail" => error.detail);
                // The write may or may not have taken effect, so all texts are written again.
                stored = SortedMap::new();
            }
        }
    }

    /// Returns the writes for all jobs whose texts differ in number or size from `stored`, and updates
    /// `stored`.
    ///
    /// Together they fit into a single value of the store; the oldest jobs take precedence.
    fn changed_texts(&self, stored: &mut SortedMap<String, StoredTextsSummary>) -> Vec<StoreWrite> {
        let mut jobs = self.all();
        jobs.sort_by_key(|job| job.spec.submitted_ms);
        // Encoding adds at most the size of the text itself.
        let mut budget = self.core.settings().value_bytes / 2;
        let now_ms = self.core.unix_ms();
        stored.retain(|id, _| jobs.iter().any(|job| job.spec.id == *id));
        let mut writes = Vec::new();
        for job in &jobs {
            let is_running = job.record.borrow().state == JobState::Running;
            let age_ms = now_ms.saturating_sub(job.spec.submitted_ms);
            if !is_running || age_ms < MIN_JOB_AGE_TO_STORE_MS {
                continue;
            }
            let texts = texts_within_budget(job, budget);
            let size = StoredTextsSummary {
                texts: texts.len(),
                bytes: texts.iter().map(|(_, progress)| progress.text.len()).sum(),
            };
            if stored.get(&job.spec.id).copied().unwrap_or_default() == size {
                continue;
            }
            match keys::encode_texts(&texts) {
                Ok(value) => {
                    budget = budget.saturating_sub(size.bytes);
                    stored.insert(job.spec.id.clone(), size);
                    writes.push(StoreWrite {
                        key: keys::texts_key(&job.spec.id),
                        value,
                        lease: None,
                    });
                }
                Err(error) => log_event!(self.core.logger, TEXTS_UNSTORED;
                    "job" => &job.spec.id, "detail" => error.detail),
            }
        }
        writes
    }

    /// Returns the copy of a job whose owner is lost, from this process or from a peer.
    ///
    /// Only unlisted items are requested: hosts have slow links, and transferring all texts of a job can take
    /// as long as running its items.
    pub(super) async fn fetch_copy(&self, job: &OwnedJob) -> IndexedProgress {
        let items = job.job.borrow().unlisted();
        let id = &job.spec.id;
        let own = self.core.copies.take(id, &items);
        if !own.is_empty() {
            return own;
        }
        let call = PeerCall::TakeCopy {
            job: id.clone(),
            items,
        };
        // The owner may have chosen its copy holder from a different set of processes.
        let copy_holders: Vec<MemberRecord> = self
            .copy_holders()
            .into_iter()
            .take(COPY_HOLDER_LIMIT)
            .collect();
        let calls = copy_holders.iter().map(async |holder| {
            match self
                .core
                .call_peer(holder.peer, &call, Duration::ZERO)
                .await
            {
                Ok(PeerResponse::CopiedTexts(items)) => items,
                _ => IndexedProgress::new(),
            }
        });
        let best =
            gather_copies(calls.map(|call| Box::pin(call) as LocalFuture<_>).collect()).await;
        // Items without a copy start from the beginning.
        log_event!(self.core.logger, COPY_FETCHED;
            "job" => id, "items" => best.len(), "asked" => copy_holders.len());
        let best = best.iter();
        best.map(|(index, progress)| (*index, progress.clone()))
            .collect()
    }

    /// Returns the possible copy holders in order of preference.
    ///
    /// Processes that serve callers come first, because the hosts of the others fail together more often. All
    /// processes compute the same order.
    fn copy_holders(&self) -> Vec<MemberRecord> {
        let core: &GatewayCore = &self.core;
        let members = core.members.borrow();
        let others = members
            .iter()
            .filter(|member| member.incarnation != core.incarnation);
        let mut copy_holders: Vec<MemberRecord> = others.cloned().collect();
        if core.prefers_capable() {
            copy_holders.sort_by_cached_key(|member| {
                let host = member.host.as_str().as_bytes();
                Reverse((member.serves_callers, core.shared_rank(member, &[host])))
            });
            return copy_holders;
        }
        copy_holders.sort_by_key(|member| {
            let host = member.host.as_str().as_bytes();
            Reverse((
                member.serves_callers,
                member.cpu_millicores,
                rendezvous_score(&[host]),
            ))
        });
        copy_holders
    }
}

/// Merges the copies that several processes return, and keeps the most advanced copy of each text.
///
/// A holder that the owner has stopped using may have an older copy, so all holders are asked. After the first
/// copy has arrived, the others get only as long as a live process needs to answer.
pub async fn gather_copies(
    calls: Vec<LocalFuture<'_, IndexedProgress>>,
) -> SortedMap<u32, ItemProgress> {
    let mut calls: FuturesUnordered<_> = calls.into_iter().collect();
    let mut best = SortedMap::new();
    let mut deadline = None;
    loop {
        let next = match deadline {
            Some(deadline) => timeout_at(deadline, calls.next()).await.ok().flatten(),
            None => calls.next().await,
        };
        let Some(texts) = next else { return best };
        if !texts.is_empty() {
            deadline = deadline.or_else(|| Some(Instant::now() + STRAGGLER_WAIT));
        }
        keep_newest(&mut best, texts);
    }
}

/// Merges `texts` into `best`, keeps the more advanced copy of each text, and returns how many of `texts` were
/// kept.
pub(super) fn keep_newest(
    best: &mut SortedMap<u32, ItemProgress>,
    texts: IndexedProgress,
) -> usize {
    let mut kept = 0;
    for (index, progress) in texts {
        let known = best.get(&index);
        if known.is_none_or(|known| progress.is_ahead_of(known)) {
            best.insert(index, progress);
            kept += 1;
        }
    }
    kept
}

/// Returns the unlisted texts of a job that fit into `budget` bytes, the longest first, because those are the
/// most expensive to generate again.
fn texts_within_budget(job: &OwnedJob, mut budget: usize) -> IndexedProgress {
    let state = job.job.borrow();
    let mut texts: Vec<(ItemKey, &ItemProgress)> = state.unlisted_texts().collect();
    texts.sort_by_key(|(key, progress)| (Reverse(progress.text.len()), *key));
    texts.retain(|(_, progress)| {
        let fits = progress.text.len() <= budget;
        if fits {
            budget -= progress.text.len();
        }
        fits
    });
    texts
        .into_iter()
        .map(|(key, progress)| (key.0, progress.clone()))
        .collect()
}

impl CopySender {
    /// Returns the current copy holder. A new holder gets all texts from the start.
    fn choose_copy_holder(
        &self,
        now: Moment,
        copy_holders: Vec<MemberRecord>,
    ) -> Option<MemberRecord> {
        let ranked: Vec<IncarnationId> = copy_holders
            .iter()
            .map(|holder| holder.incarnation)
            .collect();
        let chosen = self.reach.borrow_mut().choose(now, &ranked);
        if self.holder.replace(chosen) != chosen {
            self.sent.borrow_mut().clear();
        }
        copy_holders
            .into_iter()
            .find(|holder| Some(holder.incarnation) == chosen)
    }

    /// Stops using a holder that did not answer and may therefore have missed a part.
    fn mark_failed(&self, now: Moment, holder: &MemberRecord) {
        self.reach
            .borrow_mut()
            .record_failure(now, holder.incarnation);
        self.holder.set(None);
    }

    /// Discards what was recorded about jobs that no longer run here.
    fn retain_jobs(&self, jobs: &[Rc<OwnedJob>]) {
        let runs = |id: &String| jobs.iter().any(|job| job.spec.id == *id);
        self.sent.borrow_mut().retain(|(job, _), _| runs(job));
    }

    /// Returns the parts that the holder does not have, and records them as sent.
    fn unsent_parts(&self, job: &OwnedJob) -> Option<JobTextUpdate> {
        let state = job.job.borrow();
        let mut sent = self.sent.borrow_mut();
        let mut parts = Vec::new();
        for (key, progress) in state.unlisted_texts() {
            let known = sent.get_or_insert_with((job.spec.id.clone(), key), SentProgress::default);
            let current = SentProgress {
                bytes: progress.text.len(),
                restarts: progress.restarts,
                is_scored: progress.is_scored(),
            };
            if current == *known {
                continue;
            }
            // A text that was restarted shares no prefix with what was sent.
            let offset = match current.restarts == known.restarts {
                true => known.bytes,
                false => 0,
            };
            parts.push((key.0, progress.part_from(offset)));
            *known = current;
        }
        (!parts.is_empty()).then(|| JobTextUpdate {
            job: job.spec.id.clone(),
            parts,
        })
    }
}
