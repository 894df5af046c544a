//! The background threads of a replica, which watch the store, poll peers and fetch new revisions.

use {
    super::{
        loader::{self, HEAD_KEY},
        replica::{
            ConfigReplica, FOLLOW_PERIOD_MS, IDLE_REFRESH_PERIOD_MS, REFRESH_PERIOD_MS,
            TREE_FANOUT, WATCH_WAIT,
        },
    },
    crate::events,
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        config::ConfigRevision,
        log_event,
        message::{PeerFrame, PeerRequest, PropagationReport},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

/// The age of its newest evidence, in milliseconds, above which a node reads the store directly
/// even if it is not a reader.
const DIRECT_STORE_READ_AGE_MS: u64 = 6000;

/// The maximum time that a background thread waits before it checks its state again.
const MAX_THREAD_WAIT: Duration = Duration::from_millis(250);

/// The number of concurrent calls to peers.
const QUERY_THREADS: usize = 16;

impl ConfigReplica {
    /// Watches the store whenever this node holds a reader lease.
    pub(super) fn run_watch(&self) {
        let mut seen = None;
        while !self.is_stopped() {
            if !self.holds_reader_lease() {
                seen = None;
                thread::sleep(MAX_THREAD_WAIT);
                continue;
            }
            if let Err(error) = self.watch_once(&mut seen) {
                log_event!(self.parts.logger, events::CONFIG_WATCH_FAILED;
                    "detail" => &error.detail);
                thread::sleep(Duration::from_secs(1));
            }
        }
    }

    fn watch_once(&self, seen: &mut Option<(u64, ConfigRevision)>) -> Result<(), ServiceError> {
        let store = self.parts.store.as_ref();
        let sent_at = self.parts.clock.now();
        let after = seen.map_or(0, |(after, _)| after);
        let wait = if seen.is_some() {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let changed = store.watch(HEAD_KEY, after, wait)?;
        let known = seen.filter(|(after, _)| *after == changed);
        let revision = match known {
            // If there was no change up to the response, the known revision was still the head when
            // the request was sent.
            Some((_, revision)) => {
                self.state().tracker.on_head(revision, sent_at);
                revision
            }
            None => self.read_head()?,
        };
        *seen = Some((changed, revision));
        self.fetch_newer();
        if known.is_none() {
            // A full channel means that a wake-up is already pending.
            let _ = self.notify_sender.try_send(());
        }
        Ok(())
    }

    /// Reads the head from the store and loads its configuration if it is newer.
    fn read_head(&self) -> Result<ConfigRevision, ServiceError> {
        let store = self.parts.store.as_ref();
        let sent_at = self.parts.clock.now();
        let (_, head) = loader::read_head(store)?;
        let revision = head.revision;
        let base = {
            let mut state = self.state();
            state.tracker.on_head(revision, sent_at);
            Arc::clone(&state.loaded)
        };
        if revision > base.head.revision {
            self.apply_if_newer(loader::load_from_store(store, &base, head)?);
        }
        Ok(revision)
    }

    /// Notifies the other nodes of the zone of changes that this node has seen, by polling them:
    /// each request carries this node's revision.
    ///
    /// This runs in a separate thread, because each call to a dead node lasts until its timeout and
    /// must not delay the watch.
    pub(super) fn run_notify(&self) {
        while !self.is_stopped() {
            if self.notify_receiver.recv_timeout(MAX_THREAD_WAIT).is_err() {
                continue;
            }
            let mut peers = self.parts.members.entries_of(&self.settings.zone);
            peers.retain(|(host, _)| *host != self.settings.host);
            // A node that cannot be reached polls a peer within the follow period.
            self.query_all(
                peers.into_iter().map(|(_, address)| address).collect(),
                |_, _| {},
            );
        }
    }

    /// Polls peers, up to `QUERY_THREADS` at a time, and passes each report to `on_report`.
    pub(super) fn query_all(
        &self,
        addresses: Vec<SocketAddr>,
        on_report: impl Fn(SocketAddr, Option<PropagationReport>) + Sync,
    ) {
        let threads = QUERY_THREADS.min(addresses.len());
        let queue = Mutex::new(addresses.into_iter());
        thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    loop {
                        let next = queue.lock().unwrap_or_else(PoisonError::into_inner).next();
                        let Some(address) = next else {
                            return;
                        };
                        on_report(address, self.query(address).ok());
                    }
                });
            }
        });
    }

    /// Polls peers and fetches newer revisions until the replica is stopped.
    pub(super) fn run_follow(&self) {
        while !self.is_stopped() {
            // Waits for a wake-up, but no longer than a tick.
            let _ = self.wake_receiver.recv_timeout(MAX_THREAD_WAIT);
            if let Some(reader) = self.reader.get() {
                let rank = u32::try_from(self.rank() / 2).unwrap_or(u32::MAX);
                reader.set_rank(rank);
            }
            let now = self.parts.clock.now();
            self.refresh_members(now);
            let follow = {
                let mut state = self.state();
                let follow = now >= state.next_poll;
                if follow {
                    state.next_poll = now + FOLLOW_PERIOD_MS;
                    state.poll_count = state.poll_count.wrapping_add(1);
                }
                follow
            };
            if follow {
                self.poll_peers();
            }
            self.fetch_newer();
            self.read_head_if_stale(now);
        }
    }

    /// Returns whether this node polls nodes of other zones on behalf of its own zone.
    ///
    /// The first two nodes of a zone do so even without a reader lease: evidence from other zones
    /// is needed while the store is down, and leases cannot be renewed then.
    pub(super) fn polls_other_zones(&self) -> bool {
        self.holds_reader_lease() || self.rank() < 2
    }

    pub(super) fn refresh_members(&self, now: Moment) {
        let polls = self.polls_other_zones();
        {
            let mut state = self.state();
            let age = state.tracker.age_ms(now);
            let idle = !polls && age.is_some_and(|age| age <= DIRECT_STORE_READ_AGE_MS);
            let period = match idle {
                true => IDLE_REFRESH_PERIOD_MS,
                false => REFRESH_PERIOD_MS,
            };
            if state.last_refresh.is_some_and(|at| now < at + period) {
                return;
            }
            state.last_refresh = Some(now);
        }
        if let Err(error) = self.parts.members.refresh() {
            log_event!(self.parts.logger, events::HOSTS_FAILED; "detail" => &error.detail);
        }
    }

    /// Polls one node of this zone. Also polls one node of each other zone if this node does so on
    /// behalf of its zone or has no recent evidence.
    fn poll_peers(&self) {
        let (poll_count, readers) = {
            let state = self.state();
            (state.poll_count, state.readers.clone())
        };
        let now = self.parts.clock.now();
        let age = self.state().tracker.age_ms(now);
        let polls_zones =
            self.polls_other_zones() || age.is_none_or(|age| age > DIRECT_STORE_READ_AGE_MS);
        let members = &self.parts.members;
        let mut addresses = Vec::new();
        for zone in members.entry_zones() {
            let own = zone == self.settings.zone;
            let mut peers = members.entries_of(&zone);
            peers.retain(|(host, _)| *host != self.settings.host);
            if peers.is_empty() || (!own && !polls_zones) {
                continue;
            }
            let watching: Vec<SocketAddr> = peers
                .iter()
                .map(|(_, address)| *address)
                .filter(|address| readers.contains(address))
                .collect();
            let address = match watching.is_empty() {
                // In two of three polls, one of the known readers is chosen in turn. Otherwise, or
                // if no reader is known, it is one of all peers in turn.
                false if poll_count % 3 != 0 => watching[poll_count % watching.len()],
                _ => peers[poll_count % peers.len()].1,
            };
            addresses.push(address);
        }
        self.query_all(addresses, |address, report| {
            if report.is_none() {
                self.state().readers.retain(|reader| *reader != address);
            }
        });
    }

    fn query(&self, address: SocketAddr) -> Result<PropagationReport, ServiceError> {
        let link = self.link.get().ok_or_else(not_started_error)?;
        let sent_at = self.parts.clock.now();
        let frame = loader::call(link.as_ref(), address, PeerRequest::ReadSpread)?;
        let PeerFrame::Spread(report) = frame else {
            let detail = format!("peer {address} did not respond with a propagation report");
            return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
        };
        let mut state = self.state();
        state.tracker.on_report(&report, sent_at);
        state.readers.retain(|reader| *reader != address);
        if report.reader {
            state.readers.push(address);
        }
        Ok(report)
    }

    /// Fetches a newer revision if one is known. The first source is the parent in the zone's
    /// distribution tree.
    fn fetch_newer(&self) {
        let (revision_to_fetch, base, readers) = {
            let state = self.state();
            let base = Arc::clone(&state.loaded);
            (
                state.tracker.revision_to_fetch(),
                base,
                state.readers.clone(),
            )
        };
        let (Some(revision_to_fetch), Some(link)) = (revision_to_fetch, self.link.get()) else {
            return;
        };
        let peers = self.parts.members.entries_of(&self.settings.zone);
        let parent = self.rank().checked_sub(1).map(|rank| rank / TREE_FANOUT);
        let mut sources: Vec<SocketAddr> = Vec::new();
        sources.extend(
            parent
                .and_then(|parent| peers.get(parent))
                .map(|peer| peer.1),
        );
        sources.extend(readers);
        let others = peers.iter().filter(|(host, _)| *host != self.settings.host);
        sources.extend(others.map(|(_, address)| *address).take(TREE_FANOUT));
        for address in sources {
            if let Ok(loaded) =
                loader::load_from_peer(link.as_ref(), address, &base, revision_to_fetch)
            {
                self.apply_if_newer(loaded);
                return;
            }
        }
        // No peer could supply the revision, so it is read from the store. The store client limits
        // the rate of reads.
        if let Err(error) = self.read_head() {
            log_event!(self.parts.logger, events::CONFIG_FETCH_FAILED;
                "revision" => revision_to_fetch.0, "detail" => &error.detail);
        }
    }

    /// Reads the head from the store if there is no recent evidence from peers.
    fn read_head_if_stale(&self, now: Moment) {
        {
            let mut state = self.state();
            let old = state
                .tracker
                .age_ms(now)
                .is_none_or(|age| age > DIRECT_STORE_READ_AGE_MS);
            if !old || now < state.next_fallback {
                return;
            }
            state.next_fallback = now + FOLLOW_PERIOD_MS;
        }
        if let Err(error) = self.read_head() {
            log_event!(self.parts.logger, events::CONFIG_WATCH_FAILED;
                "detail" => &error.detail);
        }
    }
}

fn not_started_error() -> ServiceError {
    ServiceError::not_run(ErrorKind::PeerUnavailable, "the transport has not started")
}
