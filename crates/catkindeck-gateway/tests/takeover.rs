//! Order in which the jobs of a lost owner are taken over.

use {
    catkindeck::id::{IncarnationId, ObjectName},
    catkindeck_gateway::{
        jobs::takeover::oldest_first,
        keys::{self, JobRecord, JobState, MemberRecord},
        port::StoreItem,
    },
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn record(job: &str, submitted_ms: u64) -> StoreItem {
    let record = JobRecord {
        job: job.to_owned(),
        owner: MemberRecord {
            host: name("standby-1"),
            incarnation: IncarnationId::random(),
            zone: name("zone-a"),
            peer: "127.0.0.1:7000".parse().expect("the address is valid"),
            serves_callers: false,
            cpu_millicores: 300,
            lease: None,
        },
        state: JobState::Running,
        customer: None,
        submitted_ms,
    };
    StoreItem {
        key: keys::job_record_key(job),
        value: keys::encode(&record).expect("a record has an encoding"),
        revision: 1,
    }
}

/// Guards against takeovers that finish the most urgent job last. This happened when both job runners lost
/// their disks and an entry with a tenth of a core took over five jobs: the oldest one, six seconds before its
/// deadline, was finished 2.4 s after the first.
#[test]
fn takeover_starts_with_the_oldest_job() {
    let unreadable = StoreItem {
        key: keys::job_record_key("a"),
        value: b"no record".to_vec(),
        revision: 1,
    };
    let items = [
        unreadable,
        record("b", 9_000),
        record("c", 4_000),
        record("d", 8_000),
    ];
    let ordered = oldest_first(&items);
    let keys: Vec<&str> = ordered.iter().map(|item| item.key.as_str()).collect();
    assert_eq!(
        keys,
        ["ckd/open/c", "ckd/open/d", "ckd/open/b", "ckd/open/a"]
    );
}
