//! Prints the number of datagrams and bytes for opening a connection, for an idle connection and
//! for calls, as listed in `docs/CAPACITY.md`.
//!
//! A relay between two endpoints on the loopback interface counts the UDP payloads in both
//! directions and adds 28 bytes per datagram for the IP and UDP headers.

use {
    catkindeck::{
        config::ConfigRevision,
        id::{ObjectName, RequestId},
        link::{FrameSink, PeerHandler, PeerIdentity, PeerRole},
        log::discard_logger,
        message::{OrderKind, PeerFrame, PeerRequest, UpstreamOrder},
        process::RawTls,
        token::WeightVersion,
    },
    catkindeck_wire::{DevelopmentAuthority, PeerEndpoint, RevisionHook, WireLimits, WireSettings},
    std::{
        error::Error,
        fs,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        path::Path,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The size of the IPv4 and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

const TIMEOUT: Duration = Duration::from_secs(5);

/// The number of calls over which the cost of one is averaged.
const CALLS: u64 = 200;

/// The time for which a connection is left idle.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// The number of tokens in a stream, the time per token, and the numbers of concurrent streams.
const TOKENS: u32 = 250;
const TOKEN_TIME: Duration = Duration::from_millis(20);
const STREAMS: [u8; 3] = [10, 50, 200];

static DATAGRAMS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

/// A handler that responds to every call with one frame, except to `Cancel`, which streams tokens.
struct OneFrameHandler;

impl PeerHandler for OneFrameHandler {
    fn handle(&self, _peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>) {
        if let PeerRequest::Cancel { request } = request {
            return stream_tokens(request, reply.as_ref());
        }
        let frame = match request {
            PeerRequest::ReadRevision => PeerFrame::Revision(ConfigRevision(1)),
            _ => PeerFrame::Done,
        };
        // An error means that the caller has disconnected.
        let _ = reply.send(frame);
    }
}

/// Sends one token per chunk at the rate of an engine.
fn stream_tokens(request: RequestId, reply: &dyn FrameSink) {
    for sequence in 0..TOKENS {
        let chunk = PeerFrame::Chunk {
            request,
            sequence,
            bytes: b"word".to_vec(),
            tokens: 1,
            version: Some(WeightVersion(5_000)),
        };
        if reply.send(chunk).is_err() {
            return;
        }
        thread::sleep(TOKEN_TIME);
    }
}

struct FixedRevisionHook;

impl RevisionHook for FixedRevisionHook {
    fn current(&self) -> ConfigRevision {
        ConfigRevision(1)
    }

    fn on_higher_revision(
        &self,
        _revision: ConfigRevision,
        _peer: &PeerIdentity,
        _address: SocketAddr,
    ) {
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let directory = tempfile::TempDir::new()?;
    let authority = DevelopmentAuthority::create()?;
    fs::write(
        directory.path().join("authority.pem"),
        authority.certificate_pem(),
    )?;
    let agent = endpoint(&authority, directory.path(), PeerRole::Agent, "upstream-1")?;
    let entry = endpoint(&authority, directory.path(), PeerRole::Entry, "entry-1")?;
    agent.serve(Arc::new(OneFrameHandler));
    let address = relay(agent.local_address()?)?;
    let link = entry.link();
    let call = |request: PeerRequest| -> Result<(), Box<dyn Error>> {
        let mut stream = link.call(address, request, TIMEOUT)?;
        while stream.receive(TIMEOUT)?.is_some() {}
        Ok(())
    };

    println!("{:<34} {:>10} {:>10}", "", "datagrams", "bytes");
    let before = counts();
    call(PeerRequest::ReadRevision)?;
    thread::sleep(Duration::from_millis(500));
    print("connection with its first call", before, 1);

    let before = counts();
    thread::sleep(IDLE_TIME);
    print("idle connection, per second", before, IDLE_TIME.as_secs());

    let (before, started) = (counts(), Instant::now());
    for _ in 0..CALLS {
        call(PeerRequest::ReadRevision)?;
    }
    let spent = started.elapsed();
    print("ReadRevision, back to back", before, CALLS);
    println!("  {:.0} us each", spent.as_secs_f64() * 1e6 / CALLS as f64);

    let before = counts();
    for _ in 0..10 {
        call(PeerRequest::ReadRevision)?;
        thread::sleep(Duration::from_secs(1));
    }
    print("ReadRevision once a second", before, 10);

    let before = counts();
    for _ in 0..CALLS {
        call(PeerRequest::Order(UpstreamOrder {
            order: RequestId::random(),
            lease: ObjectName::try_from("run-07")?,
            fence: 5_000,
            kind: OrderKind::Activate(WeightVersion(5_000)),
        }))?;
    }
    print("Order, back to back", before, CALLS);

    println!("streams with one token every {TOKEN_TIME:?}: CPU time of client and server");
    let direct = agent.local_address()?;
    for streams in STREAMS {
        let before = cpu_ms();
        thread::scope(|scope| {
            for number in 0..streams {
                let link = &link;
                scope.spawn(move || {
                    let request = RequestId([number; 16]);
                    let cancel = PeerRequest::Cancel { request };
                    let Ok(mut stream) = link.call(direct, cancel, TIMEOUT) else {
                        return;
                    };
                    while let Ok(Some(_)) = stream.receive(TIMEOUT) {}
                });
            }
        });
        let chunks = u64::from(TOKENS) * u64::from(streams);
        let each = (cpu_ms() - before) as f64 * 1e3 / chunks as f64;
        println!("  {streams:>4} streams {chunks:>7} chunks {each:>7.1} us each");
    }

    entry.close(TIMEOUT);
    agent.close(TIMEOUT);
    Ok(())
}

fn endpoint(
    authority: &DevelopmentAuthority,
    directory: &Path,
    role: PeerRole,
    host: &str,
) -> Result<PeerEndpoint, Box<dyn Error>> {
    let issued = authority.issue(role, &ObjectName::try_from(host)?)?;
    let tls = RawTls {
        authority: directory.join("authority.pem"),
        certificate: directory.join(format!("{host}.pem")),
        key: directory.join(format!("{host}.key")),
    };
    fs::write(&tls.certificate, issued.certificate_pem)?;
    fs::write(&tls.key, issued.key_pem)?;
    let settings = WireSettings {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        tls,
        limits: WireLimits::default(),
    };
    let hook = Arc::new(FixedRevisionHook);
    Ok(PeerEndpoint::start(&settings, hook, discard_logger())?)
}

/// Starts a relay that forwards datagrams between one caller and `target` and counts them.
fn relay(target: SocketAddr) -> std::io::Result<SocketAddr> {
    let front = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let back = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = front.local_addr()?;
    let caller: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let (receive, send) = (front.try_clone()?, back.try_clone()?);
    let caller_of = Arc::clone(&caller);
    thread::spawn(move || {
        let mut bytes = [0; 65_536];
        while let Ok((length, from)) = receive.recv_from(&mut bytes) {
            *caller_of.lock().unwrap_or_else(PoisonError::into_inner) = Some(from);
            count(length);
            // The transport retransmits lost datagrams.
            let _ = send.send_to(&bytes[..length], target);
        }
    });
    thread::spawn(move || {
        let mut bytes = [0; 65_536];
        while let Ok((length, _)) = back.recv_from(&mut bytes) {
            let caller = *caller.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(caller) = caller {
                count(length);
                let _ = front.send_to(&bytes[..length], caller);
            }
        }
    });
    Ok(address)
}

/// Returns the CPU time used by this process in milliseconds, with a resolution of 10 ms.
fn cpu_ms() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field is a name in parentheses; user and system time are fields 14 and 15.
    let rest = text.rsplit(')').next().unwrap_or("");
    let ticks = rest.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<u64>().ok())
        .sum::<u64>()
        * 10
}

fn count(length: usize) {
    DATAGRAMS.fetch_add(1, Ordering::Relaxed);
    BYTES.fetch_add(length as u64 + HEADER_BYTES, Ordering::Relaxed);
}

fn counts() -> (u64, u64) {
    (
        DATAGRAMS.load(Ordering::Relaxed),
        BYTES.load(Ordering::Relaxed),
    )
}

fn print(label: &str, before: (u64, u64), share: u64) {
    let after = counts();
    let each = |before: u64, after: u64| (after - before) as f64 / share as f64;
    println!(
        "{label:<34} {:>10.1} {:>10.0}",
        each(before.0, after.0),
        each(before.1, after.1)
    );
}
