//! The representation of the configuration in the store and in messages between peers.

use {
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        config::{ConfigRevision, ConfigSnapshot},
        message,
        message::{ShardBytes, ShardRef},
        platform::VALUE_LIMIT,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// The number of shards of each list. A record is assigned to a shard by the hash of its name or
/// digest.
///
/// A typical change affects one or two shards. With 128 shards for the longest lists, 5,700
/// upstreams result in shards of about 5 KB, and the head, which lists all shards, has about the
/// same size.
const LIST_SHARDS: [(&str, u8); 7] = [
    ("customers", 16),
    ("keys", 128),
    ("routes", 16),
    ("runs", 16),
    ("services", 16),
    ("upstreams", 128),
    ("zones", 1),
];

/// The shards that make up one revision.
#[message]
#[derive(Default)]
pub struct ConfigHead {
    pub revision: ConfigRevision,
    /// The shards, ordered by name and without empty ones.
    pub shards: Vec<ShardRef>,
}

impl ConfigHead {
    /// Encodes the head for the store and for peers.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, ServiceError> {
        encode(self)
    }

    /// Decodes a head.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the bytes are not a valid head.
    pub fn decode(bytes: &[u8]) -> Result<Self, ServiceError> {
        decode(bytes)
    }
}

/// A complete configuration and its encoded shards, which are served to peers.
#[derive(Debug, Clone, Default)]
pub struct LoadedConfig {
    pub head: ConfigHead,
    pub shards: SortedMap<ShardRef, Arc<Vec<u8>>>,
    pub snapshot: Arc<ConfigSnapshot>,
}

impl LoadedConfig {
    /// Returns the shards of `head` that this configuration does not contain.
    pub fn missing_shards(&self, head: &ConfigHead) -> Vec<ShardRef> {
        let missing = head
            .shards
            .iter()
            .filter(|shard| !self.shards.contains_key(shard));
        missing.cloned().collect()
    }

    /// Assembles the configuration of `head` from the shards of this configuration and from fetched
    /// ones.
    ///
    /// # Errors
    ///
    /// Returns `internal` if a shard is in neither of them or is malformed.
    pub fn assemble(
        &self,
        head: ConfigHead,
        fetched: Vec<ShardBytes>,
    ) -> Result<Self, ServiceError> {
        let mut fetched: SortedMap<ShardRef, Arc<Vec<u8>>> = fetched
            .into_iter()
            .map(|shard| (shard.shard, Arc::new(shard.bytes)))
            .collect();
        let mut shards = SortedMap::new();
        let mut snapshot = ConfigSnapshot {
            revision: head.revision,
            ..ConfigSnapshot::default()
        };
        for shard in &head.shards {
            let present = self.shards.get(shard).cloned();
            let bytes = present.or_else(|| fetched.remove(shard)).ok_or_else(|| {
                let detail = format!("shard {} of the configuration is missing", shard.name);
                ServiceError::not_run(ErrorKind::Internal, detail)
            })?;
            append(&mut snapshot, &shard.name, &bytes)?;
            shards.insert(shard.clone(), bytes);
        }
        snapshot.sort();
        Ok(Self {
            head,
            shards,
            snapshot: Arc::new(snapshot),
        })
    }

    /// Returns those of the given shards that this configuration contains.
    pub fn shard_bytes(&self, shards: &[ShardRef]) -> Vec<ShardBytes> {
        let present = shards.iter().filter_map(|shard| {
            let bytes = self.shards.get(shard)?;
            Some(ShardBytes {
                shard: shard.clone(),
                bytes: bytes.to_vec(),
            })
        });
        present.collect()
    }
}

/// Splits a configuration into shards and encodes them. Returns them by name.
///
/// # Errors
///
/// Returns `too_large` if a shard exceeds the store's limit.
pub fn encode_shards(
    snapshot: &ConfigSnapshot,
) -> Result<SortedMap<String, Vec<u8>>, ServiceError> {
    let mut shards = SortedMap::new();
    add_shards(&mut shards, 0, &snapshot.customers, |record| {
        record.name.as_str().as_bytes()
    })?;
    add_shards(&mut shards, 1, &snapshot.keys, |record| &record.digest.0)?;
    add_shards(&mut shards, 2, &snapshot.routes, |record| {
        record.name.as_str().as_bytes()
    })?;
    add_shards(&mut shards, 3, &snapshot.runs, |record| {
        record.name.as_str().as_bytes()
    })?;
    add_shards(&mut shards, 4, &snapshot.services, |record| {
        record.name.as_str().as_bytes()
    })?;
    add_shards(&mut shards, 5, &snapshot.upstreams, |record| {
        record.name.as_str().as_bytes()
    })?;
    add_shards(&mut shards, 6, &snapshot.zones, |record| {
        record.name.as_str().as_bytes()
    })?;
    Ok(shards)
}

fn add_shards<R: Serialize>(
    shards: &mut SortedMap<String, Vec<u8>>,
    list: usize,
    records: &[R],
    name_of: fn(&R) -> &[u8],
) -> Result<(), ServiceError> {
    let (list, shard_count) = LIST_SHARDS[list];
    let mut records_by_shard: Vec<Vec<&R>> = vec![Vec::new(); usize::from(shard_count)];
    for record in records {
        let hash = blake3::hash(name_of(record));
        records_by_shard[usize::from(hash.as_bytes()[0] % shard_count)].push(record);
    }
    for (index, records) in records_by_shard
        .iter()
        .enumerate()
        .filter(|(_, shard)| !shard.is_empty())
    {
        let bytes = encode(records)?;
        if bytes.len() > VALUE_LIMIT {
            return Err(ServiceError::not_run(
                ErrorKind::TooLarge,
                format!("too many {list}: a shard exceeds {VALUE_LIMIT} bytes"),
            ));
        }
        shards.insert(format!("{list}-{index:02x}"), bytes);
    }
    Ok(())
}

fn append(snapshot: &mut ConfigSnapshot, name: &str, bytes: &[u8]) -> Result<(), ServiceError> {
    match name.split('-').next().unwrap_or("") {
        "customers" => snapshot.customers.append(&mut decode(bytes)?),
        "keys" => snapshot.keys.append(&mut decode(bytes)?),
        "routes" => snapshot.routes.append(&mut decode(bytes)?),
        "runs" => snapshot.runs.append(&mut decode(bytes)?),
        "services" => snapshot.services.append(&mut decode(bytes)?),
        "upstreams" => snapshot.upstreams.append(&mut decode(bytes)?),
        "zones" => snapshot.zones.append(&mut decode(bytes)?),
        // The list may come from a newer version of this program and must not be dropped silently.
        other => {
            let detail = format!("the configuration contains an unknown list `{other}`");
            return Err(ServiceError::not_run(ErrorKind::Internal, detail));
        }
    }
    Ok(())
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, ServiceError> {
    postcard::to_allocvec(value)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ServiceError> {
    postcard::from_bytes(bytes).map_err(|error| {
        let detail = format!("a shard of the configuration is malformed: {error}");
        ServiceError::not_run(ErrorKind::Internal, detail)
    })
}
