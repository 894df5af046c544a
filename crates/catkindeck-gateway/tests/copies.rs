//! Copies of a lost runner's texts, while some of their keepers are silent.

use {
    catkindeck::SortedMap,
    catkindeck_gateway::jobs::backup::{ItemTexts, gather_copies},
    catkindeck_net::LocalFuture,
    catkindeck_policy::direct::ItemProgress,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The time after which a call to a silent process is given up.
const SILENCE: Duration = Duration::from_millis(800);

/// A copy of item 0 up to an event.
fn copy(last_event: u64) -> ItemTexts {
    let progress = ItemProgress {
        last_event: Some(last_event),
        ..ItemProgress::default()
    };
    vec![(0, progress)]
}

fn holder(after: Duration, texts: ItemTexts) -> LocalFuture<'static, ItemTexts> {
    Box::pin(async move {
        sleep(after).await;
        texts
    })
}

fn last_event(best: &SortedMap<u32, ItemProgress>) -> Option<u64> {
    best.get(&0).and_then(|progress| progress.last_event)
}

/// Guards against jobs that stand still until every silent keeper is given up: both runners lost their
/// disks (`after_ack_wipe`) while six entries were cut off (`node_cut`), and each of five takeovers
/// waited 0.45 s for them (scale-2 of the grown ksrrd-vault).
#[tokio::test(start_paused = true)]
async fn a_silent_keeper_is_not_waited_for() {
    let begun = Instant::now();
    let calls = vec![
        holder(SILENCE, ItemTexts::new()),
        holder(Duration::from_millis(2), copy(7)),
        holder(SILENCE, ItemTexts::new()),
    ];
    let best = gather_copies(calls).await;
    assert_eq!(last_event(&best), Some(7));
    // In virtual time: far from the silence of the others.
    assert!(begun.elapsed() <= Duration::from_millis(110));
}

/// Guards against an older copy that is taken because it came first.
#[tokio::test(start_paused = true)]
async fn the_later_copy_is_taken_whichever_comes_first() {
    for (first, second) in [(7, 9), (9, 7)] {
        let calls = vec![
            holder(Duration::from_millis(2), copy(first)),
            holder(Duration::from_millis(40), copy(second)),
        ];
        assert_eq!(last_event(&gather_copies(calls).await), Some(9));
    }
}

/// Guards against texts that begin anew because the first answers came from processes without a copy.
#[tokio::test(start_paused = true)]
async fn a_slow_keeper_is_waited_for_if_no_other_has_a_copy() {
    let calls = vec![
        holder(Duration::from_millis(1), ItemTexts::new()),
        holder(Duration::from_millis(600), copy(5)),
        holder(SILENCE, ItemTexts::new()),
    ];
    assert_eq!(last_event(&gather_copies(calls).await), Some(5));
    assert_eq!(last_event(&gather_copies(Vec::new()).await), None);
}
