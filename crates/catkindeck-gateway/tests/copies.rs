//! Retrieval of the copies of a lost owner's texts while some copy holders do not answer.

use {
    catkindeck::SortedMap,
    catkindeck_gateway::jobs::backup::{IndexedProgress, gather_copies},
    catkindeck_net::LocalFuture,
    catkindeck_policy::direct::ItemProgress,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The timeout of calls to a process that does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Returns a copy of item 0 up to an event.
fn copy(last_event: u64) -> IndexedProgress {
    let progress = ItemProgress {
        last_event: Some(last_event),
        ..ItemProgress::default()
    };
    vec![(0, progress)]
}

fn holder(after: Duration, texts: IndexedProgress) -> LocalFuture<'static, IndexedProgress> {
    Box::pin(async move {
        sleep(after).await;
        texts
    })
}

fn last_event(best: &SortedMap<u32, ItemProgress>) -> Option<u64> {
    best.get(&0).and_then(|progress| progress.last_event)
}

/// Guards against takeovers that wait for the timeout of every unresponsive copy holder. This happened when
/// both job runners lost their disks while six entries were unreachable: each of five takeovers was delayed by
/// 0.45 s.
#[tokio::test(start_paused = true)]
async fn takeover_does_not_wait_for_unresponsive_copy_holders() {
    let started = Instant::now();
    let calls = vec![
        holder(CALL_TIMEOUT, IndexedProgress::new()),
        holder(Duration::from_millis(2), copy(7)),
        holder(CALL_TIMEOUT, IndexedProgress::new()),
    ];
    let best = gather_copies(calls).await;
    assert_eq!(last_event(&best), Some(7));
    // The paused clock makes this exact: well below the timeout of the unresponsive holders.
    assert!(started.elapsed() <= Duration::from_millis(110));
}

/// Guards against using an older copy because it arrived first.
#[tokio::test(start_paused = true)]
async fn the_most_advanced_copy_is_used() {
    for (first, second) in [(7, 9), (9, 7)] {
        let calls = vec![
            holder(Duration::from_millis(2), copy(first)),
            holder(Duration::from_millis(40), copy(second)),
        ];
        assert_eq!(last_event(&gather_copies(calls).await), Some(9));
    }
}

/// Guards against texts that start from the beginning because the first responses came from processes without a
/// copy.
#[tokio::test(start_paused = true)]
async fn takeover_waits_for_the_only_copy_holder() {
    let calls = vec![
        holder(Duration::from_millis(1), IndexedProgress::new()),
        holder(Duration::from_millis(600), copy(5)),
        holder(CALL_TIMEOUT, IndexedProgress::new()),
    ];
    assert_eq!(last_event(&gather_copies(calls).await), Some(5));
    assert_eq!(last_event(&gather_copies(Vec::new()).await), None);
}
