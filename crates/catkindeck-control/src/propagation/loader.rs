//! Loads a configuration from the store or from a peer.

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

/// The timeout of a call to a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of shards that are fetched in one call to a peer. It keeps a response far
/// below the size limit of messages.
const SHARDS_PER_CALL: usize = 64;

pub fn shard_key(shard: &ShardRef) -> String {
    format!("config/shard/{}/{}", shard.name, shard.number)
}

/// Returns the key under which the head of an earlier revision is stored.
pub fn archived_head_key(revision: ConfigRevision) -> String {
    format!("config/manifest/{}", revision.0)
}

/// Returns the version of the head in the store, and the head. If there is none, returns version
/// zero and the head of the empty configuration.
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

/// Assembles the configuration of `head` from the shards of `base` and, for missing ones, from the
/// store.
///
/// # Errors
///
/// Returns `store_unavailable` if the store cannot be reached in time, and `internal` if a shard is
/// not in the store or is malformed.
pub fn load_from_store(
    store: &dyn StoreClient,
    base: &LoadedConfig,
    head: ConfigHead,
) -> Result<LoadedConfig, ServiceError> {
    let mut fetched = Vec::new();
    for shard in base.missing_shards(&head) {
        let Some(value) = store.read(&shard_key(&shard))? else {
            let detail = format!("shard {} is not in the store", shard.name);
            return Err(ServiceError::not_run(ErrorKind::Internal, detail));
        };
        let bytes = value.value;
        fetched.push(ShardBytes { shard, bytes });
    }
    base.assemble(head, fetched)
}

/// Fetches the configuration that a peer uses, if its revision is at least `min_revision`.
///
/// # Errors
///
/// Returns `peer_unavailable` if the peer cannot be reached, and `not_found` if its revision is
/// lower.
pub fn load_from_peer(
    link: &dyn PeerLink,
    address: SocketAddr,
    base: &LoadedConfig,
    min_revision: ConfigRevision,
) -> Result<LoadedConfig, ServiceError> {
    let (head, _) = fetch(link, address, Vec::new())?;
    if head.revision < min_revision || head.revision == ConfigRevision::default() {
        let detail = format!(
            "expected revision {} or higher, but the peer has revision {}",
            min_revision.0, head.revision.0
        );
        return Err(ServiceError::not_run(ErrorKind::NotFound, detail));
    }
    let mut fetched = Vec::new();
    for shards in base.missing_shards(&head).chunks(SHARDS_PER_CALL) {
        // The peer may switch to another revision between two calls. A shard that it no longer has
        // is then reported as missing by `assemble`.
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
        _ => Err(unusable_response_error(
            "expected shards from the peer, got another frame",
        )),
    }
}

/// Sends a request to a peer and returns the single frame of the response.
///
/// # Errors
///
/// Returns the error of the link, or the error with which the peer responded.
pub fn call(
    link: &dyn PeerLink,
    address: SocketAddr,
    request: PeerRequest,
) -> Result<PeerFrame, ServiceError> {
    let mut frames = link.call(address, request, PEER_TIMEOUT)?;
    match frames.receive(PEER_TIMEOUT)? {
        Some(PeerFrame::Failed(error)) => Err(error),
        Some(frame) => Ok(frame),
        None => Err(unusable_response_error(
            "the peer closed the stream without a response",
        )),
    }
}

fn unusable_response_error(detail: &str) -> ServiceError {
    ServiceError::unknown(ErrorKind::PeerUnavailable, detail)
}
