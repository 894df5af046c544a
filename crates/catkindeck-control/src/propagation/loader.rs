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

pub const HEAD_KEY: &str = "config/head";

/// The timeout of one call to a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of shards fetched in one call to a peer, so that a response stays far below the
/// message limit.
const SHARDS_PER_CALL: usize = 64;

pub fn shard_key(shard: &ShardRef) -> String {
    format!("config/shard/{}/{}", shard.name, shard.number)
}

/// Returns the key under which the head of an earlier revision is kept.
pub fn manifest_key(revision: ConfigRevision) -> String {
    format!("config/manifest/{}", revision.0)
}

/// Reads the head and its version in the store. An absent head is the empty configuration.
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

/// Builds the configuration of `head`, reading missing shards from the store.
///
/// # Errors
///
/// Returns `store_unavailable` if the store cannot be reached in time, and `internal` if a shard is
/// absent or malformed.
pub fn load_from_store(
    store: &dyn StoreClient,
    base: &LoadedConfig,
    head: ConfigHead,
) -> Result<LoadedConfig, ServiceError> {
    let mut fetched = Vec::new();
    for shard in base.missing_shards(&head) {
        let Some(value) = store.read(&shard_key(&shard))? else {
            let detail = format!("shard {} is absent from the store", shard.name);
            return Err(ServiceError::not_run(ErrorKind::Internal, detail));
        };
        let bytes = value.value;
        fetched.push(ShardBytes { shard, bytes });
    }
    base.assemble(head, fetched)
}

/// Fetches the configuration that a peer uses if its revision is at least `min_revision`.
///
/// # Errors
///
/// Returns `peer_unavailable` if the peer cannot be reached, and `not_found` if it has a lower
/// revision.
pub fn load_from_peer(
    link: &dyn PeerLink,
    address: SocketAddr,
    base: &LoadedConfig,
    min_revision: ConfigRevision,
) -> Result<LoadedConfig, ServiceError> {
    let (head, _) = fetch(link, address, Vec::new())?;
    if head.revision < min_revision || head.revision == ConfigRevision::default() {
        let detail = "the peer has a lower revision";
        return Err(ServiceError::not_run(ErrorKind::NotFound, detail));
    }
    let mut fetched = Vec::new();
    for shards in base.missing_shards(&head).chunks(SHARDS_PER_CALL) {
        // The peer may have switched revisions; shards that it dropped are reported missing below.
        fetched.append(&mut fetch(link, address, shards.to_vec())?.1);
    }
    base.assemble(head, fetched)
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

/// Calls a peer that responds with a single frame.
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
    ServiceError::unknown(
        ErrorKind::PeerUnavailable,
        "the peer's response is incomplete or of an unexpected type",
    )
}
