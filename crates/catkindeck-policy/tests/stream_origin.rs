//! Which software version began a stream that a caller takes up.

use {
    catkindeck::{Moment, id::ObjectName},
    catkindeck_policy::direct::{OriginTable, SoftwareVersion, StreamKey, VersionHistory},
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn software(version: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(version).expect("the version is valid")
}

fn stream(attempt: &str) -> StreamKey {
    StreamKey::new(&name("engines"), Some(&name("vault")), attempt)
}

#[test]
fn versions_have_a_bounded_length() {
    assert!(SoftwareVersion::try_from("").is_err());
    assert!(SoftwareVersion::try_from("v".repeat(201).as_str()).is_err());
    assert!(SoftwareVersion::try_from("2.4.1 (build 7)").is_ok());
}

/// Guards against a take-up that uses the origin of another customer's or another service's attempt.
#[test]
fn an_attempt_belongs_to_its_customer_and_service() {
    let own = stream("a1");
    assert_ne!(
        own,
        StreamKey::new(&name("engines"), Some(&name("court")), "a1")
    );
    assert_ne!(own, StreamKey::new(&name("engines"), None, "a1"));
    assert_ne!(
        own,
        StreamKey::new(&name("desks"), Some(&name("vault")), "a1")
    );
    assert_eq!(own, stream("a1"));
}

/// Guards against take-ups at a wrong version if a caller uses an identifier twice.
#[test]
fn an_identifier_that_was_used_at_two_versions_proves_nothing() {
    let mut table = OriginTable::default();
    table.record(Moment(1_000), stream("a1"), &software("v1"));
    assert_eq!(
        table.find(Moment(1_001), stream("a1")),
        Some(&software("v1"))
    );
    table.record(Moment(1_002), stream("a1"), &software("v2"));
    assert_eq!(table.find(Moment(1_003), stream("a1")), None);
    table.record(Moment(1_004), stream("a1"), &software("v1"));
    assert_eq!(table.find(Moment(1_005), stream("a1")), None);
}

/// Guards against origins that grow without end under a steady load of streams.
#[test]
fn origins_are_bounded_in_number_and_age() {
    let mut table = OriginTable::default();
    for number in 0..60_000_u64 {
        let attempt = format!("attempt-{number}");
        table.record(Moment(1_000), stream(&attempt), &software("v1"));
    }
    assert!(table.len() <= 50_000, "{}", table.len());
    assert_eq!(table.find(Moment(1_001), stream("attempt-0")), None);
    assert!(table.find(Moment(1_001), stream("attempt-59999")).is_some());
    // A stream that is taken up again stays known.
    table.record(Moment(40_000), stream("attempt-59999"), &software("v1"));
    table.record(Moment(70_000), stream("other"), &software("v1"));
    assert_eq!(table.len(), 2);
    assert!(
        table
            .find(Moment(70_000), stream("attempt-59999"))
            .is_some()
    );
    assert_eq!(table.find(Moment(130_001), stream("other")), None);
}

/// Guards against taking the only listed version for the one that began a stream, while another one has just left.
#[test]
fn a_version_that_has_just_left_may_have_begun_a_stream() {
    let mut history = VersionHistory::default();
    let (service, old, new) = (name("engines"), software("v1"), software("v2"));
    for read_ms in (1_000..=10_000).step_by(1_000) {
        let both = [(&service, &old), (&service, &new)];
        history.record(Moment(read_ms), both.into_iter());
    }
    for read_ms in (11_000..=40_000).step_by(1_000) {
        history.record(Moment(read_ms), [(&service, &new)].into_iter());
    }
    assert_eq!(history.only_version(Moment(15_000), &service, 8_000), None);
    assert_eq!(history.only_version(Moment(40_000), &service, 30_000), None);
    assert_eq!(
        history.only_version(Moment(40_000), &service, 8_000),
        Some(&new)
    );
    assert_eq!(
        history.only_version(Moment(40_000), &name("desks"), 8_000),
        None
    );
}

/// Guards against a verdict from a list that was not read all the time: after a start, or while the store was away.
#[test]
fn a_gap_in_the_history_proves_nothing() {
    let mut history = VersionHistory::default();
    let (service, only) = (name("engines"), software("v1"));
    assert_eq!(history.only_version(Moment(1_000), &service, 0), None);
    for read_ms in (1_000..=20_000).step_by(1_000) {
        history.record(Moment(read_ms), [(&service, &only)].into_iter());
    }
    assert_eq!(
        history.only_version(Moment(6_000 + 14_000), &service, 8_000),
        Some(&only)
    );
    assert_eq!(
        history.only_version(Moment(23_001), &service, 8_000),
        None,
        "old list"
    );
    history.record(Moment(24_000), [(&service, &only)].into_iter());
    assert_eq!(
        history.only_version(Moment(24_000), &service, 8_000),
        None,
        "gap"
    );
    for read_ms in (25_000..=32_000).step_by(1_000) {
        history.record(Moment(read_ms), [(&service, &only)].into_iter());
    }
    assert_eq!(
        history.only_version(Moment(32_000), &service, 8_000),
        Some(&only)
    );
}

/// Guards against a list that is older than a question about it, and against an unknown version that is taken for the
/// known one.
#[test]
fn only_the_latest_list_tells_which_versions_there_are() {
    let (service, old, new) = (name("engines"), software("v1"), software("v2"));
    let mut history = VersionHistory::default();
    assert!(!history.is_read_since(Moment(0)));
    history.record(Moment(1_000), [(&service, &old)].into_iter());
    assert!(history.is_read_since(Moment(1_000)) && !history.is_read_since(Moment(1_001)));
    assert!(history.lists_only(&service, &old) && !history.lists_only(&service, &new));
    assert!(!history.lists_only(&name("desks"), &old));
    history.record(
        Moment(2_000),
        [(&service, &old), (&service, &new)].into_iter(),
    );
    assert!(!history.lists_only(&service, &old) && history.has_several(&service));
    history.record(Moment(3_000), [(&service, &new)].into_iter());
    assert!(history.lists_only(&service, &new) && history.has_several(&service));
    assert!(!history.has_several(&name("desks")));
}
