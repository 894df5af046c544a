//! Which process keeps copies of running texts while parts of the network are cut.

use {
    catkindeck::{Moment, id::IncarnationId},
    catkindeck_policy::direct::KeeperChoice,
};

fn keepers(count: usize) -> Vec<IncarnationId> {
    (0..count).map(|_| IncarnationId::random()).collect()
}

/// Plays a runner that copies every 300 ms, while the processes for which `is_cut` holds do not
/// answer. Returns the number of rounds in which no process took the copy.
fn lost_rounds(ranked: &[IncarnationId], is_cut: impl Fn(usize, u64) -> bool) -> usize {
    let mut choice = KeeperChoice::default();
    let mut lost = 0;
    for round in 0..40 {
        let now = round * 300;
        let mut is_stored = false;
        while let Some(keeper) = choice.choose(Moment(now), ranked) {
            let index = ranked.iter().position(|other| *other == keeper);
            if !is_cut(index.expect("the keeper is one of the ranked"), now) {
                is_stored = true;
                break;
            }
            choice.failed(Moment(now), keeper);
        }
        lost += usize::from(!is_stored);
    }
    lost
}

/// Guards against copies that go to cut-off processes again and again: both runners lost power
/// (`after_ack_wipe`) while the first choices were cut off (`node_cut`), and no text had a copy
/// (scale-2 of the grown ksrrd-vault).
#[test]
fn cut_off_keepers_are_passed_over() {
    let ranked = keepers(6);
    assert_eq!(lost_rounds(&ranked, |index, _| index < 3), 0);
    // Cuts that begin one after the other while copies are being made.
    let in_turn = |index: usize, now: u64| index < 4 && now >= 1_000 * index as u64;
    assert_eq!(lost_rounds(&ranked, in_turn), 0);
}

#[test]
fn a_keeper_is_chosen_again_after_a_while() {
    let ranked = keepers(2);
    let mut choice = KeeperChoice::default();
    choice.failed(Moment(0), ranked[0]);
    assert_eq!(choice.choose(Moment(4_999), &ranked), Some(ranked[1]));
    assert_eq!(choice.choose(Moment(5_000), &ranked), Some(ranked[0]));
}

#[test]
fn nobody_is_chosen_where_nobody_answers() {
    let ranked = keepers(2);
    assert_eq!(lost_rounds(&ranked, |_, _| true), 40);
    assert_eq!(lost_rounds(&[], |_, _| false), 40);
}
