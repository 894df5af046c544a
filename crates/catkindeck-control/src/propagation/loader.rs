//! Fetches a configuration from the store or from a peer.

use {
    super::head::{ConfigHead, LoadedConfig},
    catkindeck::{
        ErrorKind, ServiceError,
        config::ConfigRevision,
        link::PeerLink,
        message::{PeerFrame, PeerRequest, ShardBytes, ShardRef},
        platform::{StoreClient, StoreValue},
    },
    std::{net::SocketAddr, time::Duration},
};

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";

/// The time for one call of a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Parts asked for in one call of a peer, so that an answer stays far below the message limit.
const SHARDS_PER_CALL: usize = 64;

/// Returns the key of a part.
pub fn shard_key(shard: &ShardRef) -> String {
    format!("config/shard/{}/{}", shard.name, shard.number)
}

/// Returns the key of the head that a revision had.
pub fn manifest_key(revision: ConfigRevision) -> String {
    format!("config/manifest/{}", revision.0)
}

/// Reads the head with its stored form; an absent head is the empty configuration.
///
/// # Errors
///
/// Returns `store_unavailable` if the store cannot be reached in time.
pub fn read_head(store: &dyn StoreClient) -> Result<(u64, ConfigHead), ServiceError> {
    match store.read(HEAD_KEY)? {
        Some(StoreValue { value, version, .. }) => Ok((version, ConfigHead::decode(&value)?)),
        None => Ok((0, ConfigHead::default())),
    }
}

/// Builds the configuration of `head` with the missing parts from the store.
///
/// # Errors
///
/// Returns `store_unavailable` if the store cannot be reached in time, and `internal` if a part is
/// absent or malformed.
pub fn load_from_store(
    store: &dyn StoreClient,
    base: &LoadedConfig,
    head: ConfigHead,
) -> Result<LoadedConfig, ServiceError> {
    let mut fetched = Vec::new();
    for shard in base.missing(&head) {
        let Some(value) = store.read(&shard_key(&shard))? else {
            let detail = format!("part {} is absent from the store", shard.name);
            return Err(ServiceError::not_run(ErrorKind::Internal, detail));
        };
        let bytes = value.value;
        fetched.push(ShardBytes { shard, bytes });
    }
    base.advance(head, fetched)
}

/// Builds the configuration that a peer uses if it is at least `wanted`.
///
/// # Errors
///
/// Returns `peer_unavailable` if the peer cannot be reached, and `not_found` if it has a lower
/// revision.
pub fn load_from_peer(
    link: &dyn PeerLink,
    address: SocketAddr,
    base: &LoadedConfig,
    wanted: ConfigRevision,
) -> Result<LoadedConfig, ServiceError> {
    let (head, _) = fetch(link, address, Vec::new())?;
    if head.revision < wanted || head.revision == ConfigRevision::default() {
        let detail = "the peer has a lower revision";
        return Err(ServiceError::not_run(ErrorKind::NotFound, detail));
    }
    let mut fetched = Vec::new();
    for shards in base.missing(&head).chunks(SHARDS_PER_CALL) {
        // The peer may have moved on meanwhile; parts that it dropped show as missing below.
        fetched.append(&mut fetch(link, address, shards.to_vec())?.1);
    }
    base.advance(head, fetched)
}

fn fetch(
    link: &dyn PeerLink,
    address: SocketAddr,
    shards: Vec<ShardRef>,
) -> Result<(ConfigHead, Vec<ShardBytes>), ServiceError> {
    match call(link, address, PeerRequest::FetchShards { shards })? {
        PeerFrame::Shards { head, shards } => Ok((ConfigHead::decode(&head)?, shards)),
        _ => Err(unexpected_frame()),
    }
}

/// Calls a peer that answers with one frame.
///
/// # Errors
///
/// Returns the error of the link or of the peer.
pub fn call(
    link: &dyn PeerLink,
    address: SocketAddr,
    request: PeerRequest,
) -> Result<PeerFrame, ServiceError> {
    let mut frames = link.call(address, request, PEER_TIMEOUT)?;
    match frames.receive(PEER_TIMEOUT)? {
        Some(PeerFrame::Failed(error)) => Err(error),
        Some(frame) => Ok(frame),
        None => Err(unexpected_frame()),
    }
}

fn unexpected_frame() -> ServiceError {
    ServiceError::unknown(ErrorKind::PeerUnavailable, "the peer's answer is not whole")
}
