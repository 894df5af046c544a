//! What another process keeps of running jobs, so that their texts outlive the runner.
//!
//! A step is due within the time of its longest text. Without a copy a lost runner costs all that
//! was generated so far; with it a new runner goes on where the copy ends.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        core::GatewayCore,
        events::{COPIES_UNSENT, COPY_FETCHED, TEXTS_UNSTORED},
        keys::{self, JobState, MemberRecord},
        peer::{PeerAnswer, PeerCall},
        port::{StoreWrite, Transaction},
    },
    catkindeck::{Moment, SortedMap, id::IncarnationId, log_event, message, time::unix_ms},
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

/// How often what is new is copied. A new runner repeats at most this much of each text.
const COPY_INTERVAL: Duration = Duration::from_millis(300);

/// How long a copy is kept without news, in milliseconds; a lost runner is noticed much sooner.
const COPY_LIFETIME_MS: u64 = 30_000;

/// How long other keepers are waited for once one has a copy. Hosts are a millisecond apart; the rest is
/// for a busy processor.
const STRAGGLER_WAIT: Duration = Duration::from_millis(100);

/// The processes that are asked for a copy. The runner passes over those that it does not reach.
const COPY_HOLDER_LIMIT: usize = 8;

/// How often texts are stored. Only the loss of all processes costs as much of a text, and every call
/// to the store is paid for.
const STORE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time from its submission after which a job's texts are stored, in milliseconds. Most texts take
/// no longer than a second or two, and those are listed then.
const STORE_AGE_MS: u64 = 1_500;

/// How much of a job's texts is stored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct TextSize {
    texts: usize,
    bytes: usize,
}

/// Texts of items that are not listed.
pub type ItemTexts = Vec<(u32, ItemProgress)>;

/// What is new of one job.
#[message]
pub struct JobCopy {
    /// The job.
    pub job: String,
    /// The parts of texts that are new, by item.
    pub parts: Vec<(u32, TextPart)>,
}

/// The copies that this process keeps for others.
#[derive(Debug, Default)]
pub struct CopyStore {
    jobs: RefCell<SortedMap<String, CopyEntry>>,
}

#[derive(Debug)]
struct CopyEntry {
    runner: IncarnationId,
    updated_at: Moment,
    items: SortedMap<u32, ItemProgress>,
}

/// What the keeper of copies has of this process's jobs.
#[derive(Debug, Default)]
pub struct CopySender {
    choice: RefCell<PeerReachability>,
    holder: Cell<Option<IncarnationId>>,
    /// What was sent of each item.
    sent: RefCell<SortedMap<(String, ItemKey), SentText>>,
}

/// What was sent of one text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct SentText {
    bytes: usize,
    restarts: u32,
    is_scored: bool,
}

impl CopyStore {
    /// Takes what is new; a copy of another run of a job is replaced.
    pub fn put(&self, now: Moment, runner: IncarnationId, copies: Vec<JobCopy>) {
        let mut jobs = self.jobs.borrow_mut();
        jobs.retain(|_, entry| now.since(entry.updated_at) < COPY_LIFETIME_MS);
        for copy in copies {
            let entry = jobs.get_or_insert_with(copy.job, || CopyEntry {
                runner,
                updated_at: now,
                items: SortedMap::new(),
            });
            if entry.runner != runner {
                entry.runner = runner;
                entry.items.clear();
            }
            entry.updated_at = now;
            for (index, part) in copy.parts {
                let progress = entry.items.get_or_insert_with(index, ItemProgress::default);
                progress.extend(&part);
            }
        }
    }

    /// Takes the copy of a job out and returns the texts of these items, in ascending order.
    pub fn take(&self, job: &str, items: &[u32]) -> ItemTexts {
        let entry = self.jobs.borrow_mut().remove(&job.to_owned());
        let Some(entry) = entry else {
            return ItemTexts::new();
        };
        let wanted = items.iter().copied();
        wanted
            .filter_map(|index| Some((index, entry.items.get(&index)?.clone())))
            .collect()
    }
}

impl JobService {
    /// Copies what is new of the running jobs to another process, for the life of this one.
    pub async fn replicate_texts(self: Rc<Self>) {
        let sender = CopySender::default();
        loop {
            sleep(COPY_INTERVAL).await;
            while !self.send_copies(&sender).await {}
        }
    }

    /// Sends what is new to the first process in reach. Returns whether there is nothing to repeat.
    async fn send_copies(&self, sender: &CopySender) -> bool {
        let Some(holder) = sender.choose(self.core.now(), self.copy_holders()) else {
            return true;
        };
        let jobs = self.all();
        let running = jobs
            .iter()
            .filter(|job| job.record.borrow().state == JobState::Running);
        let copies: Vec<JobCopy> = running.filter_map(|job| sender.unsent_parts(job)).collect();
        sender.retain_jobs(&jobs);
        if copies.is_empty() {
            return true;
        }
        let call = PeerCall::Copy {
            runner: self.core.incarnation,
            copies,
        };
        let answer = self
            .core
            .call_peer(holder.peer, &call, Duration::ZERO)
            .await;
        if matches!(answer, Ok(PeerAnswer::Done)) {
            return true;
        }
        log_event!(self.core.logger, COPIES_UNSENT; "keeper" => %holder.host);
        sender.mark_failed(self.core.now(), &holder);
        false
    }

    /// Stores the texts of the jobs that have run for a while, for the life of this process.
    ///
    /// They outlive the loss of all processes at once, of which no copy does.
    pub async fn store_texts(self: Rc<Self>) {
        let mut stored: SortedMap<String, TextSize> = SortedMap::new();
        loop {
            sleep(STORE_INTERVAL).await;
            // Without its lease the process may not be the owner any more.
            if self.session.lease().is_none() {
                continue;
            }
            let unsent_parts = self.changed_texts(&mut stored);
            if unsent_parts.is_empty() {
                continue;
            }
            let jobs = unsent_parts.len();
            let transaction = Transaction {
                writes: unsent_parts,
                ..Transaction::default()
            };
            if let Err(error) = self.core.ports.store.commit(&transaction).await {
                log_event!(self.core.logger, TEXTS_UNSTORED;
                    "jobs" => jobs, "detail" => error.detail);
                // All are written again, because it is not known what the store has.
                stored = SortedMap::new();
            }
        }
    }

    /// Returns the texts to store, of each job that has more than `stored` says, and takes them for
    /// stored.
    ///
    /// All of them together take no more than one value, the oldest jobs first.
    fn changed_texts(&self, stored: &mut SortedMap<String, TextSize>) -> Vec<StoreWrite> {
        let mut jobs = self.all();
        jobs.sort_by_key(|job| job.spec.submitted_ms);
        // The encoding takes no more than the text itself.
        let mut room = self.core.settings().value_bytes / 2;
        let present = unix_ms();
        stored.retain(|id, _| jobs.iter().any(|job| job.spec.id == *id));
        let mut writes = Vec::new();
        for job in &jobs {
            let is_running = job.record.borrow().state == JobState::Running;
            let age_ms = present.saturating_sub(job.spec.submitted_ms);
            if !is_running || age_ms < STORE_AGE_MS {
                continue;
            }
            let texts = bounded_texts(job, room);
            let volume = TextSize {
                texts: texts.len(),
                bytes: texts.iter().map(|(_, progress)| progress.text.len()).sum(),
            };
            if stored.get(&job.spec.id).copied().unwrap_or_default() == volume {
                continue;
            }
            match keys::encode(&texts) {
                Ok(value) => {
                    room = room.saturating_sub(volume.bytes);
                    stored.insert(job.spec.id.clone(), volume);
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

    /// Returns what is kept of a job whose runner is gone, here or at a process that keeps copies.
    ///
    /// Only the texts of items that are not listed are asked for: hosts have slow links, and a job's
    /// whole texts take as long as its items run.
    pub(super) async fn fetch_copy(&self, job: &OwnedJob) -> ItemTexts {
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
        // The runner may have chosen among other processes than run now.
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
                Ok(PeerAnswer::Copy(items)) => items,
                _ => ItemTexts::new(),
            }
        });
        let best =
            gather_copies(calls.map(|call| Box::pin(call) as LocalFuture<_>).collect()).await;
        // Without a copy the items start from the beginning.
        log_event!(self.core.logger, COPY_FETCHED;
            "job" => id, "items" => best.len(), "asked" => copy_holders.len());
        let best = best.iter();
        best.map(|(index, progress)| (*index, progress.clone()))
            .collect()
    }

    /// Returns the processes that may keep copies, the first choice first.
    ///
    /// They serve callers if any does: the hosts of the others fail together more often. All
    /// processes choose alike.
    fn copy_holders(&self) -> Vec<MemberRecord> {
        let core: &GatewayCore = &self.core;
        let members = core.members.borrow();
        let others = members
            .iter()
            .filter(|member| member.incarnation != core.incarnation);
        let mut copy_holders: Vec<MemberRecord> = others.cloned().collect();
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

/// Gathers the copies that several processes have, the later one of each text.
///
/// A keeper that the runner passed over has an older copy, so all are asked; but once one has a copy,
/// the others are not waited for longer than it takes a living process to answer.
pub async fn gather_copies(calls: Vec<LocalFuture<'_, ItemTexts>>) -> SortedMap<u32, ItemProgress> {
    let mut calls: FuturesUnordered<_> = calls.into_iter().collect();
    let mut best = SortedMap::new();
    let mut last = None;
    loop {
        let next = match last {
            Some(last) => timeout_at(last, calls.next()).await.ok().flatten(),
            None => calls.next().await,
        };
        let Some(texts) = next else { return best };
        if !texts.is_empty() {
            last = last.or_else(|| Some(Instant::now() + STRAGGLER_WAIT));
        }
        keep_newest(&mut best, texts);
    }
}

/// Keeps the later of two copies of each text, and returns how many of `texts` are kept.
pub(super) fn keep_newest(best: &mut SortedMap<u32, ItemProgress>, texts: ItemTexts) -> usize {
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

/// Returns the unlisted texts of a job that fit into `room` bytes, the longest first: those cost most to
/// generate again.
fn bounded_texts(job: &OwnedJob, mut room: usize) -> ItemTexts {
    let state = job.job.borrow();
    let mut texts: Vec<(ItemKey, &ItemProgress)> = state.unlisted_texts().collect();
    texts.sort_by_key(|(key, progress)| (Reverse(progress.text.len()), *key));
    texts.retain(|(_, progress)| {
        let fits = progress.text.len() <= room;
        if fits {
            room -= progress.text.len();
        }
        fits
    });
    texts
        .into_iter()
        .map(|(key, progress)| (key.0, progress.clone()))
        .collect()
}

impl CopySender {
    /// Returns the process that keeps the copies. Another one than before gets everything.
    fn choose(&self, now: Moment, copy_holders: Vec<MemberRecord>) -> Option<MemberRecord> {
        let ranked: Vec<IncarnationId> = copy_holders
            .iter()
            .map(|holder| holder.incarnation)
            .collect();
        let chosen = self.choice.borrow_mut().choose(now, &ranked);
        if self.holder.replace(chosen) != chosen {
            self.sent.borrow_mut().clear();
        }
        copy_holders
            .into_iter()
            .find(|holder| Some(holder.incarnation) == chosen)
    }

    /// Passes over a process that did not answer, which may have missed a part.
    fn mark_failed(&self, now: Moment, holder: &MemberRecord) {
        self.choice.borrow_mut().failed(now, holder.incarnation);
        self.holder.set(None);
    }

    /// Forgets what was sent of jobs that do not run here any more.
    fn retain_jobs(&self, jobs: &[Rc<OwnedJob>]) {
        let runs = |id: &String| jobs.iter().any(|job| job.spec.id == *id);
        self.sent.borrow_mut().retain(|(job, _), _| runs(job));
    }

    /// Returns what the keeper does not have of a job, and takes it for sent.
    fn unsent_parts(&self, job: &OwnedJob) -> Option<JobCopy> {
        let state = job.job.borrow();
        let mut sent = self.sent.borrow_mut();
        let mut parts = Vec::new();
        for (key, progress) in state.unlisted_texts() {
            let known = sent.get_or_insert_with((job.spec.id.clone(), key), SentText::default);
            let now = SentText {
                bytes: progress.text.len(),
                restarts: progress.restarts,
                is_scored: progress.is_scored(),
            };
            if now == *known {
                continue;
            }
            // A text that was begun anew has nothing in common with what was sent.
            let offset = match now.restarts == known.restarts {
                true => known.bytes,
                false => 0,
            };
            parts.push((key.0, progress.part_from(offset)));
            *known = now;
        }
        (!parts.is_empty()).then(|| JobCopy {
            job: job.spec.id.clone(),
            parts,
        })
    }
}
