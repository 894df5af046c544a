//! What one process reads from the store and passes on to the others.
//!
//! Every process needs the operators' intents and the list of upstreams every second. The process
//! that does the control work reads them for all, so that the calls to the store do not grow with
//! the number of processes; a process that hears nothing from it reads for itself.

use {
    crate::{core::GatewayCore, keys::MemberRecord, port::StoreItem},
    catkindeck::{ErrorKind, Moment, ServiceError, message},
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

/// The longest time that a question is kept waiting for news, in milliseconds.
pub const FEED_WAIT_MS: u64 = 1_300;

/// One part of what was read.
#[derive(Debug, Default)]
struct FeedPart {
    items: RefCell<Rc<Vec<StoreItem>>>,
    /// Raised by each read.
    reads: Cell<u64>,
    /// Raised by each read that found something else than the one before.
    version: Cell<u64>,
    read_at: Cell<Option<Moment>>,
}

/// What this process read from the store itself.
#[derive(Debug, Default)]
pub struct StoreFeed {
    intents: FeedPart,
    upstreams: FeedPart,
    changed: Notify,
}

/// What a process knows already.
#[message]
#[derive(Default)]
pub struct FeedQuery {
    /// The intents' content, as numbered by the process that is asked.
    pub intents: u64,
    /// The upstreams' content, as numbered by the process that is asked.
    pub upstreams: u64,
    /// The number of reads of upstreams that the asking process heard of.
    pub reads: u64,
}

/// What was read, as far as the asking process does not know it.
#[message]
pub struct FeedUpdate {
    /// The intents.
    pub intents: FeedContent,
    /// The upstreams.
    pub upstreams: FeedContent,
    /// The number of reads of upstreams.
    pub reads: u64,
    /// The processes of the system.
    pub members: Vec<MemberRecord>,
}

/// One part of an update.
#[message]
pub struct FeedContent {
    /// The number of the content.
    #[serde(rename = "content")]
    pub version: u64,
    /// The time since the read was sent, in milliseconds.
    pub age_ms: u64,
    /// The items, if the content is new to the asking process.
    pub items: Option<Vec<StoreItem>>,
}

impl StoreFeed {
    /// Keeps what was read, with the moments before the reads were sent.
    pub fn publish(&self, intents: (Moment, &[StoreItem]), upstreams: (Moment, &[StoreItem])) {
        self.intents.publish(intents);
        self.upstreams.publish(upstreams);
        self.changed.notify_waiters();
    }

    /// Answers a question as soon as there is news.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if this process does not read for others.
    pub async fn answer(
        &self,
        core: &GatewayCore,
        query: &FeedQuery,
    ) -> Result<FeedUpdate, ServiceError> {
        let until = Instant::now() + Duration::from_millis(FEED_WAIT_MS);
        loop {
            let changed = self.changed.notified();
            let has_news = self.upstreams.reads.get() != query.reads;
            if has_news || timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        let now = core.now();
        match (
            self.intents.update(now, query.intents),
            self.upstreams.update(now, query.upstreams),
        ) {
            (Some(intents), Some(upstreams)) => Ok(FeedUpdate {
                intents,
                upstreams,
                reads: self.upstreams.reads.get(),
                members: core.members.borrow().clone(),
            }),
            _ => Err(ServiceError::not_run(
                ErrorKind::StoreUnavailable,
                "this process has read nothing from the store yet",
            )),
        }
    }
}

impl FeedPart {
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
