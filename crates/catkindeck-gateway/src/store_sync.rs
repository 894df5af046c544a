//! Keeps the desired state and the list of upstreams in sync with the store.

use {
    crate::{
        core::GatewayCore,
        events::{
            CONFIG_IN_USE, CUSTOMERS_GONE, FEED_LOST, FEED_REGAINED, STORE_LOST, STORE_REGAINED,
            UPSTREAM_APPEARED, UPSTREAM_DRAINING, UPSTREAM_REMOVED, ZONES_CHANGED,
        },
        feed::{FEED_WAIT_MS, FeedChanges, FeedContent, FeedPosition, FeedQuery, FeedUpdate},
        keys::MemberRecord,
        peer::{PeerCall, PeerResponse},
        port::{KeyPolicy, StoreItem},
        task::spawn_supervised,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{IncarnationId, ObjectName},
        log_event,
    },
    catkindeck_policy::direct::{
        DiscoveredUpstream, ListPosition, SoftwareVersion, UpstreamChanges, UpstreamChangeset,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// The time between two reads of the leader, which reads for all processes.
pub const READ_INTERVAL: Duration = Duration::from_millis(750);

/// The time between two reads of another process that gets no data from the leader, in percent of the time by which
/// a change must take effect. Leaves time for one failed read and a retry.
const READ_INTERVAL_PERCENT: u64 = 37;

/// How often the age of the feed is checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// The time until the next read after a failed one.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The age of the feed's data from which this process reads the store itself, in percent of the time by which a
/// change must take effect. It leaves time for a read. After a failed request to the leader, the data may be only
/// [`READ_INTERVAL_PERCENT`] old.
const MAX_FEED_AGE_PERCENT: u64 = 57;

/// The age of the feed's data that shows that the leader reaches the store, in milliseconds. It is less than the
/// time between two reads.
const OUTAGE_FEED_AGE_MS: u64 = 500;

/// How long this process does without the feed after the feed failed.
const FEED_RETRY_PAUSE: Duration = Duration::from_millis(2_000);

/// What the leader answered, in the form of this build or of an earlier one.
struct FeedAnswer {
    intents: FeedContent,
    upstreams: FeedList,
    upstreams_age_ms: u64,
    reads: u64,
    members: Vec<MemberRecord>,
}

/// The calls that a leader understands. Leaders of earlier builds understand only the later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedForm {
    /// Changes since a position that a former leader may have numbered.
    Since,
    /// Changes since a version of the same leader.
    Changes,
    /// Whole lists.
    Lists,
}

/// The list of upstreams in the leader's answer.
enum FeedList {
    /// What changed since a position of this process's history.
    Since(UpstreamChangeset, Option<ListPosition>),
    /// What changed in the list.
    Changes(UpstreamChangeset),
    /// The items of the whole list with their version; `None` if they did not change.
    Items(Option<Vec<StoreItem>>, u64),
}

impl FeedList {
    fn version(&self) -> u64 {
        match self {
            Self::Since(changes, _) | Self::Changes(changes) => changes.version,
            Self::Items(_, version) => *version,
        }
    }
}

impl FeedAnswer {
    fn new(changes: FeedChanges, list: impl FnOnce(UpstreamChangeset) -> FeedList) -> Self {
        Self {
            intents: changes.intents,
            upstreams: list(changes.upstreams),
            upstreams_age_ms: changes.upstreams_age_ms,
            reads: changes.reads,
            members: changes.members,
        }
    }
}

impl From<FeedUpdate> for FeedAnswer {
    fn from(update: FeedUpdate) -> Self {
        Self {
            intents: update.intents,
            upstreams: FeedList::Items(update.upstreams.items, update.upstreams.version),
            upstreams_age_ms: update.upstreams.age_ms,
            reads: update.reads,
            members: update.members,
        }
    }
}

/// Keeps the view of the desired state and the roster of upstreams up to date.
pub struct StoreSync {
    core: Rc<GatewayCore>,
    is_store_lost: Cell<bool>,
    /// Whether the leader's feed delivers updates.
    is_feed_active: Cell<bool>,
    feed_position: RefCell<(Option<IncarnationId>, FeedQuery)>,
    /// A leader of an earlier build, and the calls that it understands.
    former_leader: Cell<Option<(IncarnationId, FeedForm)>>,
    /// How often this process itself read the list of upstreams.
    own_reads: Cell<u64>,
    /// When the current desired state was read.
    intents_at: Cell<Moment>,
    /// When the feed's latest data was read from the store, according to its age; `None` before the first data.
    feed_read_at: Cell<Option<Moment>>,
    /// The upstreams in the latest list.
    upstreams: RefCell<Vec<DiscoveredUpstream>>,
    /// Whether the latest list is the one of the history that this process follows, and the roster has all of it.
    is_history_applied: Cell<bool>,
    /// The software versions of each service in the latest list.
    versions: RefCell<Vec<(ObjectName, SoftwareVersion)>>,
}

impl StoreSync {
    /// Starts polling the store and the feed.
    pub fn start(core: &Rc<GatewayCore>) {
        let store_sync = Rc::new(Self {
            core: Rc::clone(core),
            is_store_lost: Cell::new(false),
            is_feed_active: Cell::new(false),
            feed_position: RefCell::new((None, FeedQuery::default())),
            former_leader: Cell::new(None),
            own_reads: Cell::new(0),
            intents_at: Cell::new(Moment(0)),
            feed_read_at: Cell::new(None),
            upstreams: RefCell::new(Vec::new()),
            is_history_applied: Cell::new(false),
            versions: RefCell::new(Vec::new()),
        });
        let polled = Rc::clone(&store_sync);
        spawn_supervised(core, "store", move || Rc::clone(&polled).poll_store());
        spawn_supervised(core, "feed", move || Rc::clone(&store_sync).poll_feed());
    }

    /// Reads the store while the feed does not deliver recent data.
    async fn poll_store(self: Rc<Self>) {
        loop {
            if self.has_recent_feed() {
                sleep(WATCH_INTERVAL).await;
                continue;
            }
            let next = Instant::now() + self.record_outcome(self.read().await);
            tokio::select! {
                () = sleep_until(next) => {}
                // Another part of the process noticed a change.
                () = self.core.intent_changed.notified() => {}
            }
        }
    }

    /// Returns whether the feed's data is recent enough to skip a read. That does not depend on whether there is a
    /// leader: between two leaders, all processes would read the list at once. A process that has no data yet reads at
    /// once, because it refuses all callers until then.
    fn has_recent_feed(&self) -> bool {
        let age_ms = self.feed_read_at.get().map(|at| self.core.now().since(at));
        !self.core.is_leader() && age_ms.is_some_and(|age_ms| age_ms < self.max_feed_age_ms())
    }

    fn max_feed_age_ms(&self) -> u64 {
        let percent = match self.is_feed_active.get() {
            true => MAX_FEED_AGE_PERCENT,
            false => READ_INTERVAL_PERCENT,
        };
        self.core.settings().bounds.change_ms * percent / 100
    }

    fn read_interval(&self) -> Duration {
        match self.core.is_leader() {
            true => READ_INTERVAL,
            false => {
                let change_ms = self.core.settings().bounds.change_ms;
                Duration::from_millis(change_ms * READ_INTERVAL_PERCENT / 100)
            }
        }
    }

    /// Fetches updates from the leader for as long as that succeeds.
    async fn poll_feed(self: Rc<Self>) {
        loop {
            let Some(leader) = self.feed_source() else {
                self.set_feed_active(false, "no other process is the leader");
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            match self.fetch_update(&leader).await {
                Ok(()) => self.set_feed_active(true, ""),
                Err(error) => {
                    self.set_feed_active(false, &error.detail);
                    sleep(FEED_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the leader, if it is another process.
    fn feed_source(&self) -> Option<MemberRecord> {
        let leader = self.core.leader.borrow().clone()?;
        (leader.incarnation != self.core.incarnation).then_some(leader)
    }

    async fn fetch_update(&self, leader: &MemberRecord) -> Result<(), ServiceError> {
        self.core.fetch_limits(leader).await?;
        let query = {
            let mut feed_position = self.feed_position.borrow_mut();
            if feed_position.0 != Some(leader.incarnation) {
                *feed_position = (Some(leader.incarnation), FeedQuery::default());
            }
            feed_position.1.clone()
        };
        // The age in the response is measured after this moment, so the data is at most this old, counted from
        // here.
        let sent = self.core.now();
        let own_reads = self.own_reads.get();
        let answer = self.call_leader(leader, query).await?;
        let oldest = answer.intents.age_ms.max(answer.upstreams_age_ms);
        let now = self.core.now();
        self.feed_read_at.set(Some(now - oldest));
        // What changed since an earlier list does not lead on from the list that was read meanwhile.
        let is_continued = own_reads == self.own_reads.get();
        self.apply_answer(leader, sent, answer, is_continued);
        if oldest < OUTAGE_FEED_AGE_MS {
            self.core.relay.record_reached();
        }
        let change_ms = self.core.settings().bounds.change_ms;
        let max_age_ms = change_ms * MAX_FEED_AGE_PERCENT / 100;
        match oldest > max_age_ms {
            true => Err(ServiceError::not_run(
                ErrorKind::StoreUnavailable,
                format!("the leader's data is {oldest} ms old, expected at most {max_age_ms} ms"),
            )),
            false => Ok(()),
        }
    }

    /// Requests changes from the leader, or whole lists if it is of an earlier build.
    async fn call_leader(
        &self,
        leader: &MemberRecord,
        query: FeedQuery,
    ) -> Result<FeedAnswer, ServiceError> {
        let wait = Duration::from_millis(FEED_WAIT_MS);
        let form = match self.former_leader.get() {
            Some((incarnation, form)) if incarnation == leader.incarnation => form,
            _ => FeedForm::Since,
        };
        let position = self.core.feed.history.borrow().position();
        let call = match form {
            FeedForm::Since => PeerCall::FeedSince(FeedPosition {
                intents: query.intents,
                upstreams: position,
                reads: query.reads,
            }),
            FeedForm::Changes => PeerCall::FeedChanges(query),
            FeedForm::Lists => PeerCall::Feed(query),
        };
        match self.core.call_peer(leader.peer, &call, wait).await? {
            PeerResponse::FeedChanges(changes) => {
                Ok(FeedAnswer::new(*changes, |list| match form {
                    FeedForm::Since => FeedList::Since(list, position),
                    FeedForm::Changes | FeedForm::Lists => FeedList::Changes(list),
                }))
            }
            PeerResponse::Feed(update) => Ok(FeedAnswer::from(*update)),
            // A leader of an earlier build cannot decode the call.
            PeerResponse::Refused(error)
                if form != FeedForm::Lists && error.kind == ErrorKind::Internal =>
            {
                let next = match form {
                    FeedForm::Since => FeedForm::Changes,
                    FeedForm::Changes | FeedForm::Lists => FeedForm::Lists,
                };
                self.former_leader.set(Some((leader.incarnation, next)));
                self.feed_position.borrow_mut().1.upstreams = 0;
                Err(error)
            }
            PeerResponse::Refused(error) => Err(error),
            _ => {
                let detail = "the leader answered a feed request with a response of another type";
                Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail))
            }
        }
    }

    /// Applies the leader's answer. Without `is_continued`, changes of the list of upstreams are left out and the
    /// complete list is requested next.
    fn apply_answer(
        &self,
        leader: &MemberRecord,
        sent: Moment,
        answer: FeedAnswer,
        is_continued: bool,
    ) {
        let intents_at = sent - answer.intents.age_ms;
        let upstreams_at = sent - answer.upstreams_age_ms;
        self.core.set_listed_members(upstreams_at, answer.members);
        let is_applied = match answer.intents.items {
            Some(items) => self.apply_intents(intents_at, &items),
            None => true,
        };
        // Discarded items must be sent again, so their version does not count as known.
        let known_intents = match is_applied {
            true => answer.intents.version,
            false => 0,
        };
        let known_upstreams = match is_continued {
            true => answer.upstreams.version(),
            false => 0,
        };
        self.feed_position.borrow_mut().1 = FeedQuery {
            intents: known_intents,
            upstreams: known_upstreams,
            reads: answer.reads,
        };
        self.core.freshness.borrow_mut().record_read(intents_at);
        match answer.upstreams {
            FeedList::Items(Some(items), _) => self.replace_upstreams(upstreams_at, &items),
            FeedList::Since(changes, position) => {
                self.follow(leader.incarnation, upstreams_at, changes, position);
            }
            FeedList::Changes(changes) if is_continued => {
                self.is_history_applied.set(false);
                changes.apply_to(&mut self.upstreams.borrow_mut());
                self.apply_upstreams(upstreams_at);
            }
            FeedList::Changes(_) => {}
            // An unchanged list confirms that no upstream has lapsed, which ends the grace period after an
            // outage.
            FeedList::Items(None, _) => self.apply_upstreams(upstreams_at),
        }
    }

    /// Follows the leader's history by what changed since `position`, and brings the roster to it.
    fn follow(
        &self,
        leader: IncarnationId,
        sent: Moment,
        changes: UpstreamChangeset,
        position: Option<ListPosition>,
    ) {
        let core = &self.core;
        {
            let mut history = core.feed.history.borrow_mut();
            // This process may have become the leader meanwhile, and then numbers the versions itself.
            if self.core.is_leader() || history.position() != position {
                return;
            }
            history.follow(leader, &changes);
        }
        let is_superseded = core.roster.borrow().is_superseded(sent);
        if changes.is_complete || !self.is_history_applied.get() {
            *self.upstreams.borrow_mut() = core.feed.history.borrow().list();
            self.apply_upstreams(sent);
        } else {
            let changed = changes.records.clone();
            let is_changed = !changed.is_empty() || !changes.removed.is_empty();
            changes.apply_to(&mut self.upstreams.borrow_mut());
            self.record_versions(sent, is_changed);
            self.apply_changed(sent, changed);
        }
        // What the roster ignored is applied with the next list.
        self.is_history_applied.set(!is_superseded);
    }

    /// Reads both prefixes, so that the feed publishes both with about the same age.
    async fn read(&self) -> Result<(), ServiceError> {
        let core = &self.core;
        core.load_limits().await?;
        let intents_at = core.now();
        let prefix = core.ports.intents.intent_prefix();
        let intents = core.ports.store.list(prefix).await?;
        self.apply_intents(intents_at, &intents.items);
        core.freshness.borrow_mut().record_read(intents_at);
        let upstreams_at = core.now();
        let prefix = core.ports.intents.upstream_prefix();
        let upstreams = core.ports.store.list(prefix).await?;
        self.own_reads.set(self.own_reads.get() + 1);
        self.feed_position.borrow_mut().1.upstreams = 0;
        self.replace_upstreams(upstreams_at, &upstreams.items);
        let list = self.upstreams.borrow();
        // A process that no longer leads still answers those that have not found the next leader.
        let is_numbering =
            self.core.is_leader() || core.feed.history.borrow().is_led_by(core.incarnation);
        core.feed.publish(
            (intents_at, &intents.items),
            (upstreams_at, &upstreams.items),
            is_numbering.then_some((core.incarnation, &list)),
        );
        Ok(())
    }

    /// Applies the desired state that was read at `sent`. Returns `false` if the current state is newer.
    fn apply_intents(&self, sent: Moment, items: &[StoreItem]) -> bool {
        // The feed and the process's own reads overlap, and an older state must not replace a newer one.
        if sent < self.intents_at.get() {
            return false;
        }
        self.intents_at.set(sent);
        let core = &self.core;
        let known_revision = core.intent.borrow().store_revision();
        let mut intent = core.ports.intents.decode_intent(items, known_revision);
        core.log_faults("desired state", std::mem::take(&mut intent.faults));
        let changes = core.intent.borrow_mut().apply(intent);
        let view = core.intent.borrow();
        if changes.config {
            log_event!(core.logger, CONFIG_IN_USE;
                "revision" => view.config().revision.0,
                "routes" => view.config().routes.len(),
                "customers" => view.config().customers.len(),
                "key_policy" => format!("{:?}", view.key_policy()),
                "read_ms" => core.now().since(sent));
            if view.key_policy() == KeyPolicy::Open && view.requires_key() == Some(true) {
                log_event!(core.logger, CUSTOMERS_GONE; "revision" => view.store_revision());
            }
            tokio::task::spawn_local(Rc::clone(core).settle_customer_mark());
        }
        if changes.zones {
            let mut roster = core.roster.borrow_mut();
            roster.set_closed_zones(view.closed_zones().to_vec());
            log_event!(core.logger, ZONES_CHANGED; "out" => format!("{:?}", view.closed_zones()));
        }
        if changes.has_any() {
            core.capacity.notify_one();
        }
        true
    }

    fn replace_upstreams(&self, sent: Moment, items: &[StoreItem]) {
        let core = &self.core;
        let (list, faults) = core.ports.intents.decode_upstreams(items);
        core.log_faults("upstreams", faults);
        *self.upstreams.borrow_mut() = list;
        self.is_history_applied.set(false);
        self.apply_upstreams(sent);
    }

    /// Applies the whole list to the roster.
    fn apply_upstreams(&self, sent: Moment) {
        let list = self.upstreams.borrow().clone();
        self.record_versions(sent, true);
        let changes = self.core.roster.borrow_mut().apply(sent, list);
        self.record_changes(&changes);
    }

    /// Applies the changed records of the list to the roster.
    fn apply_changed(&self, sent: Moment, changed: Vec<DiscoveredUpstream>) {
        let list = self.upstreams.borrow();
        let mut roster = self.core.roster.borrow_mut();
        let changes = roster.apply_changed(sent, &list, changed);
        drop(roster);
        self.record_changes(&changes);
    }

    /// Records which software versions are listed, which are determined again if the list changed.
    fn record_versions(&self, sent: Moment, is_changed: bool) {
        let mut versions = self.versions.borrow_mut();
        if is_changed {
            let list = self.upstreams.borrow();
            let pairs = list
                .iter()
                .map(|record| (&record.service, &record.software));
            let mut pairs: Vec<_> = pairs.collect();
            pairs.sort_unstable();
            pairs.dedup();
            *versions = pairs
                .into_iter()
                .map(|(service, software)| (service.clone(), software.clone()))
                .collect();
        }
        let listed = versions
            .iter()
            .map(|(service, software)| (service, software));
        let mut history = self.core.origins.history.borrow_mut();
        history.record(sent, listed);
    }

    fn record_changes(&self, changes: &UpstreamChanges) {
        let core = &self.core;
        let roster = core.roster.borrow();
        for key in &changes.appeared {
            let record = &roster.get(*key).record;
            log_event!(core.logger, UPSTREAM_APPEARED;
                "upstream" => %record.id, "service" => %record.service, "zone" => %record.zone,
                "cold_ms" => record.cold_ms, "born_ms" => record.born_ms,
                "software" => %record.software);
        }
        for key in &changes.draining {
            let id = &roster.get(*key).record.id;
            log_event!(core.logger, UPSTREAM_DRAINING; "upstream" => %id);
        }
        for key in &changes.gone {
            let record = &roster.get(*key).record;
            core.upstream_client.close(record.address);
            core.order_client.close(record.address);
            log_event!(core.logger, UPSTREAM_REMOVED; "upstream" => %record.id);
        }
        drop(roster);
        core.confirm_crashes(&changes.gone);
        core.observe_list();
        core.apply_pending_limits();
        core.capacity.notify_one();
    }

    fn set_feed_active(&self, is_active: bool, detail: &str) {
        if self.is_feed_active.replace(is_active) == is_active {
            return;
        }
        match is_active {
            true => log_event!(self.core.logger, FEED_REGAINED),
            false => log_event!(self.core.logger, FEED_LOST; "detail" => detail),
        }
    }

    /// Records whether the store answered, and returns the time until the next read.
    fn record_outcome(&self, outcome: Result<(), ServiceError>) -> Duration {
        match outcome {
            Ok(()) => {
                if self.is_store_lost.replace(false) {
                    log_event!(self.core.logger, STORE_REGAINED);
                }
                self.read_interval()
            }
            Err(error) => {
                if !self.is_store_lost.replace(true) {
                    log_event!(self.core.logger, STORE_LOST; "detail" => error.detail);
                }
                RETRY_INTERVAL
            }
        }
    }
}
