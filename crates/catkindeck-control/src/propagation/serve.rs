//! The interfaces through which a replica serves its own process, its peers and commits of changes.

use {
    super::{config_store::ConfirmPoller, confirm::ConfirmTally, replica::ConfigReplica},
    crate::source::{ConfigPeer, ConfigSource},
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        id::ObjectName,
        message::{PeerFrame, PeerRequest},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

impl ConfigSource for ConfigReplica {
    fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.state().loaded.snapshot)
    }

    fn is_fresh(&self) -> bool {
        let now = self.parts.clock.now();
        self.state().tracker.is_fresh(now)
    }

    fn observe_revision(&self, revision: ConfigRevision) {
        let mut state = self.state();
        state.tracker.on_message(revision);
        if state.tracker.revision_to_fetch().is_some() {
            // A full channel means that a wake-up is already pending.
            let _ = self.wake_sender.try_send(());
        }
    }
}

impl ConfigPeer for ConfigReplica {
    fn answer(&self, request: &PeerRequest) -> Option<PeerFrame> {
        let loaded = Arc::clone(&self.state().loaded);
        let frame = match request {
            PeerRequest::ReadRevision => PeerFrame::Revision(loaded.head.revision),
            PeerRequest::ReadSpread => {
                let reader = self.polls_other_zones();
                let now = self.parts.clock.now();
                PeerFrame::Spread(self.state().tracker.report(reader, now))
            }
            PeerRequest::FetchConfiguration if loaded.head.revision > ConfigRevision::default() => {
                PeerFrame::Configuration(Box::new((*loaded.snapshot).clone()))
            }
            PeerRequest::FetchConfiguration => {
                let detail = "this entry has no configuration yet";
                PeerFrame::Failed(ServiceError::not_run(ErrorKind::NotFound, detail))
            }
            PeerRequest::FetchShards { shards } => match loaded.head.encode() {
                Ok(head) => PeerFrame::Shards {
                    head,
                    shards: loaded.shard_bytes(shards),
                },
                Err(error) => PeerFrame::Failed(error),
            },
            PeerRequest::PushConfiguration(snapshot) => {
                // Only the revision is recorded. The content is fetched later as shards, because a
                // snapshot does not contain their names.
                self.observe_revision(snapshot.revision);
                PeerFrame::Revision(loaded.head.revision)
            }
            _ => return None,
        };
        Some(frame)
    }
}

impl ConfirmPoller for ConfigReplica {
    fn poll(&self, tally: &mut ConfirmTally) -> Result<(), ServiceError> {
        // The cached host list may be outdated, and a node that it does not contain would not be
        // polled.
        if tally.is_empty() {
            self.parts.members.refresh()?;
        }
        let entries = self.parts.members.entries()?;
        let nodes = entries
            .iter()
            .map(|(host, zone, _)| (host.clone(), zone.clone()));
        tally.set_nodes(nodes);
        let unconfirmed = tally.unconfirmed_nodes();
        if unconfirmed.contains(&self.settings.host) {
            let used = self.state().tracker.revision_in_use();
            tally.on_revision_in_use(&self.settings.host, used, self.parts.clock.now());
        }
        let polled: Vec<(ObjectName, SocketAddr)> = entries
            .into_iter()
            .filter(|(host, _, _)| unconfirmed.contains(host) && *host != self.settings.host)
            .map(|(host, _, address)| (host, address))
            .collect();
        let tally = Mutex::new(tally);
        let addresses = polled.iter().map(|(_, address)| *address).collect();
        self.query_all(addresses, |address, report| {
            let used = report.filter(|report| report.used);
            let host = polled.iter().find(|(_, other)| *other == address);
            if let (Some(report), Some((host, _))) = (used, host) {
                let now = self.parts.clock.now();
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.on_revision_in_use(host, report.revision, now);
            }
        });
        Ok(())
    }
}
