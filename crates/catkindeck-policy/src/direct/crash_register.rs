//! Requests that crash each upstream which begins to run them (`docs/design/crashing-requests.md`).
//!
//! Answers the load of a request that comes again at any process and would take one upstream after the other out of
//! service, on a day on which many upstreams crash for other reasons.

use {
    crate::{hash, quarantine::QUARANTINE_MS},
    catkindeck::{
        Moment, SortedMap,
        id::{BodyDigest, ObjectName},
        message,
    },
    std::collections::VecDeque,
};

/// The number of crashes in sequence after which a request is refused. The platform allows three and a few more.
pub const SEQUENCE_LIMIT: usize = 3;

/// The number of crashes of any kind after which a shorter sequence is enough, because copies of the request run at
/// several upstreams at a time.
const CROWD_LIMIT: usize = 5;

/// The number of these in sequence that refuses a request if enough of them are strong evidence.
const STRONG_CROWD_SEQUENCE: usize = 2;
const STRONG_CROWD_LIMIT: usize = 2;

/// The number of these in sequence that refuses a request in any case.
const WEAK_CROWD_SEQUENCE: usize = 3;

/// The time between two crashes after which they count separately although their runs overlapped, in milliseconds.
/// A fault that ends many upstreams ends them within this time.
const SEPARATE_MS: u64 = 1_000;

/// The difference between the ages of one crash in two notices for which delays of messages allow, in milliseconds.
/// An upstream that crashed is not back earlier.
const AGE_TOLERANCE_MS: u64 = 2_000;

/// How long notices of other crashes at the same moment may take after the first, in milliseconds.
const SETTLING_MS: u64 = 50;

/// How long the outcome of a trial is awaited, in milliseconds: the longest time that a run takes and a crash remains
/// unconfirmed.
const TRIAL_MS: u64 = 40_000;

/// The crashes that are remembered of one request, the latest first.
const CRASH_LIMIT: usize = 2 * SEQUENCE_LIMIT;

/// The number of requests that are remembered.
const REQUEST_LIMIT: usize = 1_024;

/// The number of answers to requests under which no upstream is known to have crashed. They are remembered because
/// the notice of a crash may come after the answer.
const ANSWER_LIMIT: usize = 256;

/// How strongly the crash of an upstream speaks against a request that it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashEvidence {
    /// Ordinary requests meet such crashes more often: the upstream may have ended before the run began, or long after.
    Weak,
    /// The upstream lived when the run began, and ended before it had answered.
    Strong,
}

/// A run that ended because its upstream crashed.
#[message]
pub struct CrashedRun {
    pub digest: BodyDigest,
    pub upstream: ObjectName,
    /// When the instance of the upstream started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// How long ago the run began, in milliseconds. Hosts differ in their time of day.
    pub begun_ago_ms: u64,
    /// How long ago it ended, in milliseconds.
    pub ended_ago_ms: u64,
}

/// What a process tells others about a request under which upstreams crashed.
#[message]
pub enum CrashNotice {
    Crashed(CrashedRun),
    /// An upstream answered the request, so it does not crash those that run it.
    Answered {
        digest: BodyDigest,
        /// How long ago, in milliseconds.
        ago_ms: u64,
    },
    /// A crash that is weak evidence against the request.
    WeaklyCrashed(CrashedRun),
}

impl CrashNotice {
    pub fn crashed(run: CrashedRun, evidence: CrashEvidence) -> Self {
        match evidence {
            CrashEvidence::Strong => Self::Crashed(run),
            CrashEvidence::Weak => Self::WeaklyCrashed(run),
        }
    }

    pub fn digest(&self) -> &BodyDigest {
        match self {
            Self::Crashed(run) | Self::WeaklyCrashed(run) => &run.digest,
            Self::Answered { digest, .. } => digest,
        }
    }

    /// Returns the crash that the notice tells of.
    pub fn crash(&self) -> Option<(&CrashedRun, CrashEvidence)> {
        match self {
            Self::Crashed(run) => Some((run, CrashEvidence::Strong)),
            Self::WeaklyCrashed(run) => Some((run, CrashEvidence::Weak)),
            Self::Answered { .. } => None,
        }
    }

    /// Returns the notice as it reads some time later.
    pub fn aged(self, elapsed_ms: u64) -> Self {
        let aged = |run: CrashedRun| CrashedRun {
            begun_ago_ms: run.begun_ago_ms.saturating_add(elapsed_ms),
            ended_ago_ms: run.ended_ago_ms.saturating_add(elapsed_ms),
            ..run
        };
        match self {
            Self::Crashed(run) => Self::Crashed(aged(run)),
            Self::WeaklyCrashed(run) => Self::WeaklyCrashed(aged(run)),
            Self::Answered { digest, ago_ms } => Self::Answered {
                digest,
                ago_ms: ago_ms.saturating_add(elapsed_ms),
            },
        }
    }
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashChange {
    /// The number of crashes in sequence.
    Suspected(usize),
    /// The request is refused from now on.
    Quarantined,
    /// The request was refused already, and is so for longer.
    Extended,
    /// The request is not suspected any more.
    Cleared,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunAdmission {
    Unsuspected,
    /// It may run at one upstream at a time.
    Suspected,
    /// It may run once, to find out whether it still crashes its upstream.
    Trial,
    /// It is refused for this time, in milliseconds.
    Refused(u64),
}

#[derive(Debug, Clone)]
struct RecordedCrash {
    upstream: ObjectName,
    born_ms: u64,
    begun: Moment,
    ended: Moment,
    evidence: CrashEvidence,
}

#[derive(Debug, Clone, Default)]
struct CrashHistory {
    /// In order of their ends.
    crashes: Vec<RecordedCrash>,
    /// When this process last heard of a crash.
    heard: Moment,
    /// When an upstream last answered the request.
    answered: Option<Moment>,
    /// Until when the outcome of a trial of this process is awaited.
    trial_until: Moment,
}

/// The requests under which upstreams crashed.
///
/// A request that shared an upstream with the one that crashed it looks the same at first. Three crashes in sequence
/// without an answer in between tell them apart: an ordinary request is answered by the next upstream that runs it.
#[derive(Debug, Clone, Default)]
pub struct CrashRegister {
    histories: SortedMap<BodyDigest, CrashHistory>,
    /// The latest answers to other requests, in order of their records.
    answers: VecDeque<(BodyDigest, Moment)>,
}

/// Returns the identity of a request: the caller and all that is sent on, without what differs between two attempts.
pub fn request_digest(
    customer: Option<&ObjectName>,
    [method, host, target]: [&str; 3],
    body: &[u8],
) -> BodyDigest {
    let customer = customer.map_or("", |customer| customer.as_str());
    let [customer, method, host, target] = [customer, method, host, target].map(str::as_bytes);
    BodyDigest(hash::digest(&[customer, method, host, target, body]))
}

impl CrashRegister {
    /// Records a notice of this process and returns what it changed; `None` if it was known or does not matter.
    pub fn record(&mut self, now: Moment, notice: &CrashNotice) -> Option<CrashChange> {
        self.record_within(now, notice, 0)
    }

    /// As [`Self::record`], for a notice of another process. It may have been held up on its way, so that what it
    /// tells looks later than it was.
    pub fn record_received(&mut self, now: Moment, notice: &CrashNotice) -> Option<CrashChange> {
        self.record_within(now, notice, AGE_TOLERANCE_MS)
    }

    fn record_within(
        &mut self,
        now: Moment,
        notice: &CrashNotice,
        tolerance_ms: u64,
    ) -> Option<CrashChange> {
        let digest = *notice.digest();
        let (run, evidence) = match notice {
            CrashNotice::Answered { ago_ms, .. } => {
                return self.record_answer(now - *ago_ms, digest);
            }
            CrashNotice::Crashed(run) => (run, CrashEvidence::Strong),
            CrashNotice::WeaklyCrashed(run) => (run, CrashEvidence::Weak),
        };
        self.make_room(now, &digest);
        let answered = self.last_answer(&digest);
        let history = self
            .histories
            .get_or_insert_with(digest, CrashHistory::default);
        history.answered = history.answered.max(answered);
        let was_refused = history.is_refused(now);
        let crash = RecordedCrash {
            upstream: run.upstream.clone(),
            born_ms: run.born_ms,
            begun: now - run.begun_ago_ms,
            ended: now - run.ended_ago_ms,
            evidence,
        };
        history.heard = now;
        history
            .record_crash(crash, tolerance_ms)
            .then(|| match history.is_guilty() {
                false => CrashChange::Suspected(history.sequence(CrashEvidence::Weak)),
                true if was_refused => CrashChange::Extended,
                true => CrashChange::Quarantined,
            })
    }

    fn record_answer(&mut self, at: Moment, digest: BodyDigest) -> Option<CrashChange> {
        let Some(history) = self.histories.get_mut(&digest) else {
            if self.answers.len() >= ANSWER_LIMIT {
                self.answers.pop_front();
            }
            self.answers.push_back((digest, at));
            return None;
        };
        let was_suspected = !history.crashes.is_empty();
        history.record_answer(at);
        (was_suspected && history.crashes.is_empty()).then_some(CrashChange::Cleared)
    }

    /// Returns when a request without a history was last answered.
    fn last_answer(&self, digest: &BodyDigest) -> Option<Moment> {
        let answers = self.answers.iter().filter(|(other, _)| other == digest);
        answers.map(|(_, at)| *at).max()
    }

    /// Decides whether a request may run. A trial counts as begun with this decision.
    pub fn admit(&mut self, now: Moment, digest: &BodyDigest) -> RunAdmission {
        let Some(history) = self.histories.get_mut(digest) else {
            return RunAdmission::Unsuspected;
        };
        if history.crashes.is_empty() {
            return RunAdmission::Unsuspected;
        }
        if !history.is_guilty() {
            return RunAdmission::Suspected;
        }
        let until = history.refused_until();
        if until > now {
            return RunAdmission::Refused(until.since(now));
        }
        history.trial_until = now + TRIAL_MS;
        RunAdmission::Trial
    }

    /// Returns for how long a request is refused, in milliseconds.
    pub fn refused_ms(&self, now: Moment, digest: &BodyDigest) -> Option<u64> {
        let history = self.histories.get(digest)?;
        history
            .is_refused(now)
            .then(|| history.refused_until().since(now))
    }

    /// Returns whether upstreams crashed under a request that none has answered since.
    pub fn is_suspected(&self, digest: &BodyDigest) -> bool {
        let history = self.histories.get(digest);
        history.is_some_and(|history| !history.crashes.is_empty())
    }

    /// Returns whether a crash under a request has just become known, so that others at the same moment may follow.
    pub fn is_settling(&self, now: Moment, digest: &BodyDigest) -> bool {
        let history = self.histories.get(digest);
        history.is_some_and(|history| {
            !history.crashes.is_empty() && now.since(history.heard) < SETTLING_MS
        })
    }

    /// Returns all that other processes may not know.
    pub fn notices(&self, now: Moment) -> Vec<CrashNotice> {
        let mut notices = Vec::new();
        for (digest, history) in self.histories.iter() {
            let answered = history.answered.map(|at| CrashNotice::Answered {
                digest: *digest,
                ago_ms: now.since(at),
            });
            notices.extend(answered);
            notices.extend(history.crashes.iter().map(|crash| {
                let run = CrashedRun {
                    digest: *digest,
                    upstream: crash.upstream.clone(),
                    born_ms: crash.born_ms,
                    begun_ago_ms: now.since(crash.begun),
                    ended_ago_ms: now.since(crash.ended),
                };
                CrashNotice::crashed(run, crash.evidence)
            }));
        }
        notices
    }

    /// Returns the number of requests that are refused.
    pub fn refused(&self, now: Moment) -> usize {
        let digests = self.histories.keys();
        digests
            .filter(|digest| self.refused_ms(now, digest).is_some())
            .count()
    }

    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Forgets what happened too long ago. Should be called about once a second.
    pub fn sweep(&mut self, now: Moment) {
        self.histories
            .retain(|_, history| now < history.remembered_until());
    }

    /// Forgets one request if there are too many, a refused one only if there is no other.
    fn make_room(&mut self, now: Moment, digest: &BodyDigest) {
        if self.histories.len() < REQUEST_LIMIT || self.histories.contains_key(digest) {
            return;
        }
        self.sweep(now);
        if self.histories.len() < REQUEST_LIMIT {
            return;
        }
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| (history.is_guilty(), history.remembered_until()));
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.histories.remove(&oldest);
        }
    }
}

impl RecordedCrash {
    /// Returns whether this is the end of the same instance. The times are those of the runs that it ended, which
    /// overlap, and an upstream that crashed is not back earlier than the tolerance.
    fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream
            && self.born_ms == other.born_ms
            && self.begun < other.ended + AGE_TOLERANCE_MS
            && other.begun < self.ended + AGE_TOLERANCE_MS
    }
}

impl CrashHistory {
    /// Adds a crash and returns whether it was news that counts. It may be earlier than its notice says by the
    /// tolerance.
    fn record_crash(&mut self, crash: RecordedCrash, tolerance_ms: u64) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.is_same(&crash));
        if let Some(known) = known {
            let is_stronger = crash.evidence > known.evidence;
            known.evidence = known.evidence.max(crash.evidence);
            return is_stronger;
        }
        // An answer to a run that overlapped this one proves that the crash had another cause.
        if self
            .answered
            .is_some_and(|answered| crash.begun <= answered + tolerance_ms)
        {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.ended);
        if self.crashes.len() > CRASH_LIMIT {
            self.crashes.remove(0);
        }
        self.trial_until = Moment::default();
        true
    }

    fn record_answer(&mut self, at: Moment) {
        self.answered = self.answered.max(Some(at));
        self.crashes.retain(|crash| crash.begun > at);
    }

    /// Returns the number of crashes in sequence of which the evidence is this strong. Crashes at one moment count
    /// once, because one fault may end many upstreams that all run copies of a frequent request.
    fn sequence(&self, least: CrashEvidence) -> usize {
        let mut count = 0;
        let mut last: Option<Moment> = None;
        for crash in self.crashes.iter().filter(|crash| crash.evidence >= least) {
            let is_separate = last
                .is_none_or(|last| crash.begun >= last || crash.ended.since(last) >= SEPARATE_MS);
            if is_separate {
                count += 1;
                last = Some(crash.ended);
            }
        }
        count
    }

    /// Returns whether the crashes prove that the request caused them.
    fn is_guilty(&self) -> bool {
        if self.sequence(CrashEvidence::Strong) >= SEQUENCE_LIMIT {
            return true;
        }
        let strong = self.crashes.iter();
        let strong = strong.filter(|crash| crash.evidence == CrashEvidence::Strong);
        let crowd_sequence = match strong.count() >= STRONG_CROWD_LIMIT {
            true => STRONG_CROWD_SEQUENCE,
            false => WEAK_CROWD_SEQUENCE,
        };
        self.crashes.len() >= CROWD_LIMIT && self.sequence(CrashEvidence::Weak) >= crowd_sequence
    }

    fn is_refused(&self, now: Moment) -> bool {
        self.is_guilty() && self.refused_until() > now
    }

    fn refused_until(&self) -> Moment {
        let last = self.crashes.last().map(|crash| crash.ended + QUARANTINE_MS);
        last.unwrap_or_default().max(self.trial_until)
    }

    /// Returns when the history is forgotten. A refused request is remembered as long again, so that one crash of its
    /// trial is enough to refuse it again.
    fn remembered_until(&self) -> Moment {
        let last = self.crashes.last().map(|crash| crash.ended);
        let last = last.max(self.answered).unwrap_or_default();
        match self.is_guilty() {
            true => last + 2 * QUARANTINE_MS,
            false => last + QUARANTINE_MS,
        }
    }
}
