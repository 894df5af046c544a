//! Scans of all jobs while their owner does not answer.

use {
    catkindeck::{ErrorKind, ServiceError, id::IncarnationId},
    catkindeck_gateway::{
        jobs::takeover::TAKEOVER_CONCURRENCY, leader::OwnerProbe, peer::PeerResponse,
    },
    futures_util::stream::{self, StreamExt},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The timeout of a call to a process that does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Guards against a scan that waits for the timeout of a lost owner once for each of its jobs: the owner of 18 jobs
/// was removed, its lease ended 2 s later, and the takeovers began after 7 s, when the scan was over.
#[tokio::test(start_paused = true)]
async fn a_scan_waits_once_for_an_owner_that_does_not_answer() {
    let (lost, live) = (IncarnationId::random(), IncarnationId::random());
    let probe = OwnerProbe::default();
    let started = Instant::now();
    let checks = (0..18).map(async |_| {
        let call = async {
            sleep(CALL_TIMEOUT).await;
            let detail = "no response within the time limit";
            Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail))
        };
        probe.is_claimed(lost, call).await
    });
    let claimed: Vec<bool> = stream::iter(checks)
        .buffer_unordered(TAKEOVER_CONCURRENCY)
        .collect()
        .await;
    assert_eq!(
        claimed, [true; 18],
        "a silent owner keeps its jobs until its lease ends"
    );
    assert_eq!(started.elapsed(), CALL_TIMEOUT);
    assert!(
        !probe
            .is_claimed(live, async { Ok(PeerResponse::NotOwner) })
            .await
    );
    assert!(
        probe
            .is_claimed(live, async { Ok(PeerResponse::Done) })
            .await
    );
}
