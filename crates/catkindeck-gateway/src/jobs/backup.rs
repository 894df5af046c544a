//! What another process keeps of running jobs, so that their texts outlive the runner.
//!
//! A step is due within the time of its longest text. Without a copy a lost runner costs all that
//! was generated so far; with it a new runner goes on where the copy ends.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        core::GatewayCore,
        events::{COPIES_SENT, COPY_FETCHED},
        keys::{JobState, MemberRecord},
        peer::{PeerAnswer, PeerCall},
    },
    catkindeck::{Moment, SortedMap, id::IncarnationId, log_event, message},
    catkindeck_policy::direct::{ItemKey, ItemProgress, TextPart, rank},
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// How often what is new is copied. A new runner repeats at most this much of each text.
const COPY_INTERVAL: Duration = Duration::from_millis(300);

/// How long a copy is kept without news, in milliseconds; a lost runner is noticed much sooner.
const COPY_LIFETIME_MS: u64 = 30_000;

/// The processes that are asked for a copy.
const KEEPER_LIMIT: usize = 4;

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
pub struct CopyShelf {
    jobs: RefCell<SortedMap<String, ShelfEntry>>,
}

#[derive(Debug)]
struct ShelfEntry {
    runner: IncarnationId,
    news_at: Moment,
    items: SortedMap<u32, ItemProgress>,
}

/// What the keeper of copies has of this process's jobs.
#[derive(Debug, Default)]
pub struct CopySender {
    keeper: RefCell<Option<IncarnationId>>,
    /// What was sent of each item.
    sent: RefCell<SortedMap<(String, ItemKey), SentText>>,
    is_behind: Cell<bool>,
}

/// What was sent of one text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct SentText {
    bytes: usize,
    restarts: u32,
    is_scored: bool,
}

impl CopyShelf {
    /// Takes what is new; a copy of another run of a job is replaced.
    pub fn put(&self, now: Moment, runner: IncarnationId, copies: Vec<JobCopy>) {
        let mut jobs = self.jobs.borrow_mut();
        jobs.retain(|_, entry| now.since(entry.news_at) < COPY_LIFETIME_MS);
        for copy in copies {
            let entry = jobs.get_or_insert_with(copy.job, || ShelfEntry {
                runner,
                news_at: now,
                items: SortedMap::new(),
            });
            if entry.runner != runner {
                entry.runner = runner;
                entry.items.clear();
            }
            entry.news_at = now;
            for (index, part) in copy.parts {
                let progress = entry.items.get_or_insert_with(index, ItemProgress::default);
                progress.extend(&part);
            }
        }
    }

    /// Takes the copy of a job out.
    pub fn take(&self, job: &str) -> Vec<(u32, ItemProgress)> {
        let entry = self.jobs.borrow_mut().remove(&job.to_owned());
        entry.map_or_else(Vec::new, |entry| {
            let items = entry.items.iter();
            items
                .map(|(index, progress)| (*index, progress.clone()))
                .collect()
        })
    }
}

impl JobService {
    /// Copies what is new of the running jobs to another process, for the life of this one.
    pub async fn keep_copies(self: Rc<Self>) {
        let sender = CopySender::default();
        loop {
            sleep(COPY_INTERVAL).await;
            let Some(keeper) = self.keepers().into_iter().next() else {
                continue;
            };
            sender.face(&keeper);
            let jobs = self.all();
            let running = jobs
                .iter()
                .filter(|job| job.record.borrow().state == JobState::Running);
            let copies: Vec<JobCopy> = running.filter_map(|job| sender.news(job)).collect();
            sender.forget_others(&jobs);
            if copies.is_empty() {
                continue;
            }
            let call = PeerCall::Copy {
                runner: self.core.incarnation,
                copies,
            };
            let answer = self
                .core
                .call_peer(keeper.peer, &call, Duration::ZERO)
                .await;
            // A keeper that missed a part gets everything again.
            let is_done = matches!(answer, Ok(PeerAnswer::Done));
            if !is_done || sender.is_behind.get() {
                log_event!(self.core.logger, COPIES_SENT;
                    "keeper" => %keeper.host, "stored" => is_done);
            }
            sender.is_behind.set(!is_done);
        }
    }

    /// Returns what is kept of a job whose runner is gone, here or at a process that keeps copies.
    pub(super) async fn fetch_copy(&self, job: &str) -> Vec<(u32, ItemProgress)> {
        let own = self.core.shelf.take(job);
        if !own.is_empty() {
            return own;
        }
        let call = PeerCall::TakeCopy {
            job: job.to_owned(),
        };
        // The runner may have chosen among other processes than run now.
        for keeper in self.keepers().into_iter().take(KEEPER_LIMIT) {
            let answer = self
                .core
                .call_peer(keeper.peer, &call, Duration::ZERO)
                .await;
            if let Ok(PeerAnswer::Copy(items)) = answer
                && !items.is_empty()
            {
                log_event!(self.core.logger, COPY_FETCHED;
                    "job" => job, "keeper" => %keeper.host, "items" => items.len());
                return items;
            }
        }
        // Without a copy the items start from the beginning.
        log_event!(self.core.logger, COPY_FETCHED; "job" => job, "items" => 0);
        Vec::new()
    }

    /// Returns the processes that may keep copies, the first choice first.
    ///
    /// They serve callers if any does: the hosts of the others fail together more often. All
    /// processes choose alike.
    fn keepers(&self) -> Vec<MemberRecord> {
        let core: &GatewayCore = &self.core;
        let members = core.members.borrow();
        let others = members
            .iter()
            .filter(|member| member.incarnation != core.incarnation);
        let mut keepers: Vec<MemberRecord> = others.cloned().collect();
        keepers.sort_by_key(|member| {
            let host = member.host.as_str().as_bytes();
            Reverse((member.serves_callers, member.processor, rank(&[host])))
        });
        keepers
    }
}

impl CopySender {
    /// Starts anew if another process keeps the copies now, or if it missed a part.
    fn face(&self, keeper: &MemberRecord) {
        let known = self.keeper.replace(Some(keeper.incarnation));
        if known != Some(keeper.incarnation) || self.is_behind.replace(false) {
            self.sent.borrow_mut().clear();
        }
    }

    /// Forgets what was sent of jobs that do not run here any more.
    fn forget_others(&self, jobs: &[Rc<OwnedJob>]) {
        let runs = |id: &String| jobs.iter().any(|job| job.spec.id == *id);
        self.sent.borrow_mut().retain(|(job, _), _| runs(job));
    }

    /// Returns what the keeper does not have of a job, and takes it for sent.
    fn news(&self, job: &OwnedJob) -> Option<JobCopy> {
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
