//! The services of an entry that use the platform: configuration, host list and intent API.

use {
    crate::{
        admin::INTENT_ADMIN,
        forward::PeerDirectory,
        settings::{EntrySettings, PlatformSettings},
    },
    catkindeck::{
        Clock, ServiceError, ServiceKernel,
        id::{IncarnationId, ObjectName},
        link::PeerLink,
        platform::{HostList, StoreClient},
    },
    catkindeck_control::{
        intent::{AgentLoadSource, IntentAdmin, OrderAnnouncer},
        members::MemberList,
        propagation::{ConfigReplica, KvConfigStore, ReplicaParts, ReplicaSettings},
        run::directory::EntryDirectory,
        source::{CONFIG_PEER, CONFIG_SOURCE, ConfigPeer, ConfigSource},
    },
    catkindeck_store::{HttpHosts, HttpStore},
    slog::Logger,
    std::{net::SocketAddr, sync::Arc},
};

/// The kernel name of the [`StoreClient`].
pub const STORE_CLIENT: &str = "store-client";

/// The kernel name of the [`MemberList`].
pub const MEMBER_LIST: &str = "member-list";

/// The kernel name of the [`ConfigReplica`].
pub const CONFIG_REPLICA: &str = "config-holder";

/// Registers the platform clients and the configuration replica, without starting the replica.
///
/// # Errors
///
/// Returns `internal` if a service is registered already.
pub fn register_platform(
    kernel: &ServiceKernel,
    settings: &EntrySettings,
    platform: &PlatformSettings,
    clock: &Arc<dyn Clock>,
    logger: &Logger,
) -> Result<(), ServiceError> {
    let store: Arc<dyn StoreClient> = Arc::new(HttpStore::new(
        platform.store.clone(),
        Arc::clone(clock),
        logger.clone(),
    ));
    let hosts: Arc<dyn HostList> = Arc::new(HttpHosts::new(
        platform.hosts.clone(),
        Arc::clone(clock),
        logger.clone(),
    ));
    let members = Arc::new(MemberList::new(hosts));
    let host = &settings.process.host;
    let replica = ConfigReplica::new(
        ReplicaSettings {
            host: host.clone(),
            zone: settings.process.zone.clone(),
            holder: format!("{host}/{}", IncarnationId::random()),
        },
        ReplicaParts {
            store: Arc::clone(&store),
            members: Arc::clone(&members),
            clock: Arc::clone(clock),
            logger: logger.clone(),
        },
    );
    kernel.register(STORE_CLIENT, store)?;
    kernel.register(MEMBER_LIST, members)?;
    kernel.register::<dyn ConfigSource>(CONFIG_SOURCE, replica.clone())?;
    kernel.register::<dyn ConfigPeer>(CONFIG_PEER, replica.clone())?;
    kernel.register(CONFIG_REPLICA, replica)
}

/// Starts the configuration replica and registers the intent API for operators.
///
/// # Errors
///
/// Returns `internal` if a thread cannot be started or a service is missing.
pub fn start_platform(
    kernel: &ServiceKernel,
    settings: &EntrySettings,
    link: &Arc<dyn PeerLink>,
    clock: &Arc<dyn Clock>,
    logger: &Logger,
) -> Result<(), ServiceError> {
    let replica = kernel.find::<ConfigReplica>(CONFIG_REPLICA)?;
    let store = kernel.find::<dyn StoreClient>(STORE_CLIENT)?;
    let source = kernel.find::<dyn ConfigSource>(CONFIG_SOURCE)?;
    replica.start(Arc::clone(link))?;
    let config_store = KvConfigStore::new(store, replica, Arc::clone(clock), logger.clone());
    let load_source = AgentLoadSource::new(Arc::clone(link), source);
    let admin = IntentAdmin::new(
        Arc::new(config_store),
        Arc::new(load_source),
        settings.operator_digests.clone(),
        logger.clone(),
    )
    .with_announcer(Arc::new(OrderAnnouncer::new(Arc::clone(link))));
    kernel.register(INTENT_ADMIN, Arc::new(admin))
}

/// The entries in the host list and the settings.
///
/// As a [`PeerDirectory`] it leaves out this entry; as an [`EntryDirectory`] it contains it.
pub struct EntryList {
    host: ObjectName,
    address: SocketAddr,
    configured: Vec<(ObjectName, SocketAddr)>,
    members: Option<Arc<MemberList>>,
}

impl EntryList {
    /// Creates the list; without `members` it contains only the entries from the settings.
    pub fn new(settings: &EntrySettings, members: Option<Arc<MemberList>>) -> Arc<Self> {
        Arc::new(Self {
            host: settings.process.host.clone(),
            address: settings.process.peer_listen,
            configured: settings.peers.clone(),
            members,
        })
    }
}

impl EntryList {
    /// Returns the hosts of all entries, including this one.
    pub fn hosts(&self) -> Vec<ObjectName> {
        EntryDirectory::entries(self)
            .into_iter()
            .map(|(host, _)| host)
            .collect()
    }
}

impl PeerDirectory for EntryList {
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)> {
        let listed = self
            .members
            .as_ref()
            .and_then(|members| members.entries().ok());
        let listed = listed.into_iter().flatten();
        let mut entries: Vec<_> = listed.map(|(host, _, address)| (host, address)).collect();
        for (host, address) in &self.configured {
            // The host list has an entry's current address; the one in the settings may be
            // outdated.
            if !entries.iter().any(|(known, _)| known == host) {
                entries.push((host.clone(), *address));
            }
        }
        entries.retain(|(host, _)| *host != self.host);
        entries.sort();
        entries
    }
}

impl EntryDirectory for EntryList {
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)> {
        let mut entries = PeerDirectory::entries(self);
        entries.push((self.host.clone(), self.address));
        entries.sort();
        entries
    }
}
