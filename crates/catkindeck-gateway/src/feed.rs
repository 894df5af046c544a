//! Store reads that the leader shares with the other processes.
//!
//! Every process needs the desired state and the list of upstreams about once a second. The leader reads
//! them for all processes, so that the number of store calls does not grow with the number of processes.
//! A process that gets no updates from the leader reads the store itself.
//!
//! Of the list of upstreams only what changed is sent ([`UpstreamHistory`]): with thousands of upstreams and a
//! hundred processes, whole lists exceed the leader's link and CPU time. Each process keeps the history that it follows,
//! and goes on with it when it becomes the leader, so that the others need no whole list then either.

use {
    crate::{core::GatewayCore, keys::MemberRecord, port::StoreItem},
    catkindeck::{ErrorKind, Moment, ServiceError, id::IncarnationId, message},
    catkindeck_policy::direct::{
        DiscoveredUpstream, ListPosition, UpstreamChangeset, UpstreamHistory,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// The longest time for which a feed query is held open when there is nothing new, in milliseconds.
pub const FEED_WAIT_MS: u64 = 1_300;

/// The latest result of reading one prefix.
#[derive(Debug, Default)]
struct PrefixSnapshot {
    items: RefCell<Rc<Vec<StoreItem>>>,
    /// How often the prefix was read. A waiting query uses it to detect a new read.
    reads: Cell<u64>,
    /// Incremented when a read returns different items than the read before.
    version: Cell<u64>,
    read_at: Cell<Option<Moment>>,
}

/// The results of this process's own store reads.
#[derive(Debug, Default)]
pub struct StoreFeed {
    intents: PrefixSnapshot,
    upstreams: PrefixSnapshot,
    /// The list of upstreams as this process read it as the leader, or received it from the leader.
    pub history: RefCell<UpstreamHistory>,
    changed: Notify,
}

/// The state that the querying process already has; zeros if none.
#[message]
#[derive(Default)]
pub struct FeedQuery {
    /// The version of the desired state, as numbered by the queried process.
    pub intents: u64,
    /// The version of the list of upstreams, as numbered by the queried process.
    pub upstreams: u64,
    /// The number of reads of the list of upstreams that the querying process knows.
    pub reads: u64,
}

/// As [`FeedQuery`], with a position in the list of upstreams that the next leader may know too.
#[message]
#[derive(Default)]
pub struct FeedPosition {
    /// The version of the desired state, as numbered by the queried process.
    pub intents: u64,
    /// The latest version of the list of upstreams; `None` if the querying process has no list.
    pub upstreams: Option<ListPosition>,
    /// The number of reads of the list of upstreams that the querying process knows.
    pub reads: u64,
}

/// The parts of the state that the querying process does not have.
#[message]
pub struct FeedUpdate {
    pub intents: FeedContent,
    pub upstreams: FeedContent,
    /// The number of reads of the list of upstreams so far.
    pub reads: u64,
    pub members: Vec<MemberRecord>,
}

/// As [`FeedUpdate`], with only the changes of the list of upstreams, decoded.
#[message]
pub struct FeedChanges {
    pub intents: FeedContent,
    pub upstreams: UpstreamChangeset,
    /// The time since the latest read of the list of upstreams was sent, in milliseconds.
    pub upstreams_age_ms: u64,
    /// The number of reads of the list of upstreams so far.
    pub reads: u64,
    pub members: Vec<MemberRecord>,
}

/// The items of one prefix in a feed update.
#[message]
pub struct FeedContent {
    /// The version of the items, incremented whenever a read returns different ones.
    #[serde(rename = "content")]
    pub version: u64,
    /// The time since the latest read was sent, in milliseconds.
    pub age_ms: u64,
    /// The items; `None` if the querying process already has this version.
    pub items: Option<Vec<StoreItem>>,
}

impl StoreFeed {
    /// Stores the results of two reads, each with the time just before the read was sent, and the decoded list of
    /// upstreams if this process is the leader, with its incarnation.
    pub fn publish(
        &self,
        intents: (Moment, &[StoreItem]),
        upstreams: (Moment, &[StoreItem]),
        list: Option<(IncarnationId, &[DiscoveredUpstream])>,
    ) {
        self.intents.publish(intents);
        self.upstreams.publish(upstreams);
        if let Some((origin, list)) = list {
            self.history.borrow_mut().lead(origin, list);
        }
        self.changed.notify_waiters();
    }

    /// Answers a query of a process of an earlier build when the list of upstreams was read again, or after
    /// [`FEED_WAIT_MS`].
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if this process has not read the store yet.
    pub async fn answer(
        &self,
        core: &GatewayCore,
        query: &FeedQuery,
    ) -> Result<FeedUpdate, ServiceError> {
        self.await_read(query.reads, || true).await;
        let now = core.now();
        let intents = self.intents.update(now, query.intents);
        let upstreams = self.upstreams.update(now, query.upstreams);
        Ok(FeedUpdate {
            intents: intents.ok_or_else(unread_error)?,
            upstreams: upstreams.ok_or_else(unread_error)?,
            reads: self.upstreams.reads.get(),
            members: core.members.borrow().clone(),
        })
    }

    /// Answers a query for changes of a process of an earlier build, which knows a version of this process.
    ///
    /// # Errors
    ///
    /// As [`Self::answer_since`].
    pub async fn answer_changes(
        &self,
        core: &GatewayCore,
        query: &FeedQuery,
    ) -> Result<FeedChanges, ServiceError> {
        let origin = core.incarnation;
        let version = query.upstreams;
        let position = FeedPosition {
            intents: query.intents,
            upstreams: (version > 0).then_some(ListPosition { origin, version }),
            reads: query.reads,
        };
        self.answer_since(core, &position).await
    }

    /// Answers a query for changes when the list of upstreams was read again, or after [`FEED_WAIT_MS`].
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if this process has not read the store as the leader yet.
    pub async fn answer_since(
        &self,
        core: &GatewayCore,
        query: &FeedPosition,
    ) -> Result<FeedChanges, ServiceError> {
        let is_led = || self.history.borrow().is_led_by(core.incarnation);
        self.await_read(query.reads, is_led).await;
        if !is_led() {
            return Err(unread_error());
        }
        let now = core.now();
        let intents = self.intents.update(now, query.intents);
        let upstreams_at = self.upstreams.read_at.get().ok_or_else(unread_error)?;
        let upstreams = {
            let history = self.history.borrow();
            let known = query.upstreams.map_or(0, |known| history.version_at(known));
            history.changes_since(known)
        };
        let sent = u64::try_from(upstreams.records.len()).unwrap_or(u64::MAX);
        core.metrics.load.feed_records.inc_by(sent);
        Ok(FeedChanges {
            intents: intents.ok_or_else(unread_error)?,
            upstreams,
            upstreams_age_ms: now.since(upstreams_at),
            reads: self.upstreams.reads.get(),
            members: core.members.borrow().clone(),
        })
    }

    /// Waits for a read of the list of upstreams that a querying process does not know and that `is_usable`, for at
    /// most [`FEED_WAIT_MS`].
    async fn await_read(&self, known_reads: u64, is_usable: impl Fn() -> bool) {
        let until = Instant::now() + Duration::from_millis(FEED_WAIT_MS);
        loop {
            let changed = self.changed.notified();
            let has_new_read = self.upstreams.reads.get() != known_reads;
            if has_new_read && is_usable() || timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }
}

fn unread_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::StoreUnavailable,
        "this process has not read the store yet",
    )
}

impl PrefixSnapshot {
    fn publish(&self, (sent, items): (Moment, &[StoreItem])) {
        let is_same = self.items.borrow().as_slice() == items;
        if !is_same || self.version.get() == 0 {
            *self.items.borrow_mut() = Rc::new(items.to_vec());
            self.version.set(self.version.get() + 1);
        }
        self.reads.set(self.reads.get() + 1);
        self.read_at.set(Some(sent));
    }

    fn update(&self, now: Moment, known: u64) -> Option<FeedContent> {
        let version = self.version.get();
        Some(FeedContent {
            version,
            age_ms: now.since(self.read_at.get()?),
            items: (version != known).then(|| self.items.borrow().to_vec()),
        })
    }
}
