//! Test helpers: endpoints on the loopback interface, and a relay that can drop all datagrams.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

use {
    catkindeck::{
        config::ConfigRevision,
        id::ObjectName,
        link::{PeerIdentity, PeerRole},
        log::discard_logger,
        process::RawTls,
    },
    catkindeck_wire::{DevelopmentAuthority, PeerEndpoint, RevisionHook, WireLimits, WireSettings},
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
    },
    tempfile::TempDir,
};

/// A certificate authority and the directory of its PEM files.
pub struct TestAuthority {
    authority: DevelopmentAuthority,
    directory: TempDir,
}

impl TestAuthority {
    pub fn new() -> Self {
        let directory = TempDir::new().unwrap();
        let authority = DevelopmentAuthority::create().unwrap();
        fs::write(
            directory.path().join("authority.pem"),
            authority.certificate_pem(),
        )
        .unwrap();
        Self {
            authority,
            directory,
        }
    }

    /// Issues a certificate and writes its PEM files.
    pub fn tls(&self, role: PeerRole, host: &str) -> RawTls {
        let host = ObjectName::try_from(host).unwrap();
        let issued = self.authority.issue(role, &host).unwrap();
        let path = |suffix: &str| {
            self.directory
                .path()
                .join(format!("{role:?}-{host}.{suffix}"))
        };
        fs::write(path("pem"), issued.certificate_pem).unwrap();
        fs::write(path("key"), issued.key_pem).unwrap();
        RawTls {
            authority: self.directory.path().join("authority.pem"),
            certificate: path("pem"),
            key: path("key"),
        }
    }

    /// Starts an endpoint on a free port.
    pub fn endpoint(&self, role: PeerRole, host: &str) -> (PeerEndpoint, Arc<RecordingHook>) {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        start(self.tls(role, host), listen, WireLimits::default())
    }
}

/// A hook that records the revisions reported to it.
#[derive(Default)]
pub struct RecordingHook {
    pub revision: AtomicU64,
    pub seen: Mutex<Vec<(ConfigRevision, PeerIdentity, SocketAddr)>>,
}

impl RevisionHook for RecordingHook {
    fn current(&self) -> ConfigRevision {
        ConfigRevision(self.revision.load(Ordering::SeqCst))
    }

    fn on_higher_revision(
        &self,
        revision: ConfigRevision,
        peer: &PeerIdentity,
        address: SocketAddr,
    ) {
        self.seen
            .lock()
            .unwrap()
            .push((revision, peer.clone(), address));
        self.revision.store(revision.0, Ordering::SeqCst);
    }
}

pub fn start(
    tls: RawTls,
    listen: SocketAddr,
    limits: WireLimits,
) -> (PeerEndpoint, Arc<RecordingHook>) {
    let hook = Arc::new(RecordingHook::default());
    let settings = WireSettings {
        listen,
        tls,
        limits,
    };
    let endpoint = PeerEndpoint::start(&settings, hook.clone(), discard_logger()).unwrap();
    (endpoint, hook)
}

/// A relay of datagrams between one caller and a peer, which can be told to drop them.
pub struct UdpRelay {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl UdpRelay {
    pub fn start(target: SocketAddr) -> Self {
        let front = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let back = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = front.local_addr().unwrap();
        let target = Arc::new(Mutex::new(Some(target)));
        let caller = Arc::new(Mutex::new(None));

        let (receive, send) = (front.try_clone().unwrap(), back.try_clone().unwrap());
        let (target_of, caller_of) = (target.clone(), caller.clone());
        thread::spawn(move || {
            let mut bytes = [0; 65536];
            while let Ok((length, from)) = receive.recv_from(&mut bytes) {
                *caller_of.lock().unwrap() = Some(from);
                let target: Option<SocketAddr> = *target_of.lock().unwrap();
                if let Some(target) = target {
                    let _ = send.send_to(&bytes[..length], target);
                }
            }
        });
        let target_of = target.clone();
        thread::spawn(move || {
            let mut bytes = [0; 65536];
            while let Ok((length, from)) = back.recv_from(&mut bytes) {
                let caller: Option<SocketAddr> = *caller.lock().unwrap();
                let target: Option<SocketAddr> = *target_of.lock().unwrap();
                if let (Some(caller), true) = (caller, target == Some(from)) {
                    let _ = front.send_to(&bytes[..length], caller);
                }
            }
        });
        Self { address, target }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams in both directions from now on.
    pub fn block(&self) {
        *self.target.lock().unwrap() = None;
    }

    /// Forwards datagrams to a peer, which may be a new one.
    pub fn forward_to(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = Some(target);
    }
}
