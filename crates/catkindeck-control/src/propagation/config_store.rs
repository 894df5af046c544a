//! The versioned configuration in the key-value service, to which operators' changes are committed.

use {
    super::{
        confirm::ConfirmTally,
        head::{ConfigHead, LoadedConfig, encode_shards},
        loader::{HEAD_KEY, archived_head_key, load_from_store, read_head, shard_key},
    },
    crate::{
        events,
        intent::{CommitOutcome, ConfigStore, PlanId, PropagationState},
    },
    catkindeck::{
        Clock, ErrorKind, ExecutionOutcome, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        id::ObjectName,
        log_event,
        message::ShardRef,
        platform::{StoreClient, SwapOutcome},
    },
    slog::Logger,
    std::{
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

/// The number of object numbers that are tried for one shard. A number is taken if a concurrent
/// commit that lost the race used it.
const SHARD_NUMBER_ATTEMPTS: u64 = 16;

/// The maximum time that an operator waits for a change to be in force everywhere, in milliseconds.
/// The target for propagation is 17 s.
const CONFIRM_TIMEOUT_MS: u64 = 17_000;

/// The pause between two polls of the unconfirmed nodes, in milliseconds.
const ROUND_PAUSE_MS: u64 = 250;

/// Polls nodes for the revision in use.
pub trait ConfirmPoller: Send + Sync {
    /// Updates the nodes of the tally from the host list and polls those that have not confirmed
    /// yet.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the host list has never been read.
    fn poll(&self, tally: &mut ConfirmTally) -> Result<(), ServiceError>;
}

/// Stores the configuration in the key-value service. A change is committed by compare-and-swap of
/// the head.
pub struct KvConfigStore {
    store: Arc<dyn StoreClient>,
    poller: Arc<dyn ConfirmPoller>,
    clock: Arc<dyn Clock>,
    /// The configuration that was loaded last, so that only shards that differ from it are read.
    cached: Mutex<LoadedConfig>,
    logger: Logger,
}

impl KvConfigStore {
    pub fn new(
        store: Arc<dyn StoreClient>,
        poller: Arc<dyn ConfirmPoller>,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> Self {
        Self {
            store,
            poller,
            clock,
            cached: Mutex::default(),
            logger,
        }
    }

    fn load(&self, head: ConfigHead) -> Result<LoadedConfig, ServiceError> {
        let cached = self.cached().clone();
        if cached.head == head {
            return Ok(cached);
        }
        let loaded = load_from_store(self.store.as_ref(), &cached, head)?;
        *self.cached() = loaded.clone();
        Ok(loaded)
    }

    fn cached(&self) -> std::sync::MutexGuard<'_, LoadedConfig> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the shards that differ from `base` and returns the head of the new revision.
    fn write_shards(
        &self,
        base: &LoadedConfig,
        next: &ConfigSnapshot,
    ) -> Result<ConfigHead, ServiceError> {
        let revision = ConfigRevision(base.head.revision.0 + 1);
        let mut head = ConfigHead {
            revision,
            shards: Vec::new(),
        };
        for (name, bytes) in encode_shards(next)?.iter() {
            let present = base.head.shards.iter().find(|shard| shard.name == *name);
            let unchanged = present.filter(|shard| {
                let known = base.shards.get(shard);
                known.is_some_and(|known| known.as_slice() == bytes.as_slice())
            });
            let shard = match unchanged {
                Some(shard) => shard.clone(),
                None => self.write_shard(name, revision.0, bytes)?,
            };
            head.shards.push(shard);
        }
        Ok(head)
    }

    /// Writes a shard under the first unused number, starting with `number`.
    ///
    /// If a number is in use with the same bytes, an earlier attempt to commit this change wrote
    /// them, and the number is reused.
    fn write_shard(&self, name: &str, number: u64, bytes: &[u8]) -> Result<ShardRef, ServiceError> {
        for number in number..number + SHARD_NUMBER_ATTEMPTS {
            let shard = ShardRef {
                name: name.to_owned(),
                number,
            };
            match self.store.swap(&shard_key(&shard), 0, bytes)? {
                SwapOutcome::Written(_) => return Ok(shard),
                SwapOutcome::Conflict(Some(taken)) if taken.value == bytes => return Ok(shard),
                SwapOutcome::Conflict(_) => {}
            }
        }
        Err(ServiceError::not_run(
            ErrorKind::Conflict,
            format!(
                "concurrent changes have taken all {SHARD_NUMBER_ATTEMPTS} numbers tried for shard {name}"
            ),
        ))
    }
}

impl ConfigStore for KvConfigStore {
    fn head(&self) -> Result<ConfigSnapshot, ServiceError> {
        let (_, head) = read_head(self.store.as_ref())?;
        Ok((*self.load(head)?.snapshot).clone())
    }

    fn read_revision(
        &self,
        revision: ConfigRevision,
    ) -> Result<Option<ConfigSnapshot>, ServiceError> {
        if revision == ConfigRevision::default() {
            return Ok(Some(ConfigSnapshot::default()));
        }
        let (_, head) = read_head(self.store.as_ref())?;
        if revision == head.revision {
            return Ok(Some((*self.load(head)?.snapshot).clone()));
        }
        if revision > head.revision {
            return Ok(None);
        }
        let Some(value) = self.store.read(&archived_head_key(revision))? else {
            return Ok(None);
        };
        let former = ConfigHead::decode(&value.value)?;
        let cached = self.cached().clone();
        let loaded = load_from_store(self.store.as_ref(), &cached, former)?;
        Ok(Some((*loaded.snapshot).clone()))
    }

    fn commit(&self, id: &PlanId, next: &ConfigSnapshot) -> Result<CommitOutcome, ServiceError> {
        let (version, head) = read_head(self.store.as_ref()).map_err(into_not_run)?;
        if head.revision != id.base {
            return Ok(CommitOutcome::Moved);
        }
        let base = self.load(head).map_err(into_not_run)?;
        let mut next = next.clone();
        next.sort();

        // The shards and the manifest of the base are written first. Nothing refers to them yet.
        let head = self.write_shards(&base, &next).map_err(into_not_run)?;
        if base.head.revision > ConfigRevision::default() {
            let key = archived_head_key(base.head.revision);
            let bytes = base.head.encode()?;
            self.store.swap(&key, 0, &bytes).map_err(into_not_run)?;
        }

        // Only this write changes the configuration.
        match self.store.swap(HEAD_KEY, version, &head.encode()?) {
            Ok(SwapOutcome::Written(_)) => {
                log_event!(self.logger, events::CONFIG_COMMITTED;
                    "revision" => head.revision.0);
                Ok(CommitOutcome::Committed(head.revision))
            }
            Ok(SwapOutcome::Conflict(_)) => Ok(CommitOutcome::Moved),
            Err(error) if error.execution == ExecutionOutcome::NotRun => Err(error),
            Err(_) => {
                log_event!(self.logger, events::CONFIG_UNKNOWN;
                    "revision" => head.revision.0);
                Ok(CommitOutcome::Unknown)
            }
        }
    }

    fn await_propagation(
        &self,
        revision: ConfigRevision,
    ) -> Result<PropagationState, ServiceError> {
        // The commit happened earlier. Counting from now can only delay the moment at which
        // unreachable nodes count as lapsed.
        let committed = self.clock.now();
        let before = self.read_revision(ConfigRevision(revision.0.saturating_sub(1)))?;
        let after = self.read_revision(revision)?;
        let zones = [zone_names(before), zone_names(after)];
        let mut tally = ConfirmTally::new(revision, committed, zones);
        loop {
            self.poller.poll(&mut tally)?;
            let now = self.clock.now();
            let state = tally.state(now);
            if state.is_complete() || now.since(committed) > CONFIRM_TIMEOUT_MS {
                log_event!(self.logger, events::CONFIG_SPREAD;
                    "revision" => revision.0, "confirmed" => state.confirmed,
                    "lapsed" => state.lapsed, "waiting" => state.waiting);
                return Ok(state);
            }
            thread::sleep(Duration::from_millis(ROUND_PAUSE_MS));
        }
    }
}

fn zone_names(snapshot: Option<ConfigSnapshot>) -> Vec<ObjectName> {
    let zones = snapshot.map(|snapshot| snapshot.zones).unwrap_or_default();
    zones.into_iter().map(|zone| zone.name).collect()
}

/// Marks an error that occurred before the head was written as `not_run`, because nothing refers to
/// what was written before.
fn into_not_run(error: ServiceError) -> ServiceError {
    ServiceError::not_run(error.kind, error.detail)
}
