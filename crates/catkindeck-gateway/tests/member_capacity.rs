//! Registrations with and without what a host can carry, in the encodings of this build and of earlier ones.

use {
    catkindeck::id::{IncarnationId, ObjectName},
    catkindeck_gateway::{
        capacity::{CallTrailer, ResponseTrailer},
        keys::{self, MemberRecord},
        peer::{PeerCall, PeerResponse},
        port::StoreItem,
    },
    catkindeck_policy::direct::HostCapacity,
};

fn record() -> MemberRecord {
    MemberRecord {
        host: ObjectName::try_from("entry-1").expect("the name is valid"),
        incarnation: IncarnationId::random(),
        zone: ObjectName::try_from("zone-a").expect("the name is valid"),
        peer: "10.0.0.1:7660".parse().expect("the address is valid"),
        serves_callers: true,
        cpu_millicores: 125,
        lease: None,
    }
}

const CAPACITY: HostCapacity = HostCapacity {
    cpu_millicores: 125,
    memory_mb: 176,
    link_mbps: 67,
    descriptors: 4_096,
};

fn item(value: Vec<u8>) -> StoreItem {
    StoreItem {
        key: "ckd/members/entry-1".to_owned(),
        value,
        revision: 1,
    }
}

/// Guards against processes of earlier builds that lose all members of this build from their list during a rolling
/// upgrade, and against processes of this build that lose those of earlier ones.
#[test]
fn registrations_are_read_across_builds() {
    let record = record();
    let value = keys::encode_member(&record, Some(CAPACITY)).expect("it is encoded");
    let earlier: MemberRecord = keys::decode(&value).expect("an earlier build reads it");
    assert_eq!(earlier, record);
    let read = keys::decode_member(&item(value)).expect("it is read");
    assert_eq!(read, (record.clone(), Some(CAPACITY)));

    let value = keys::encode(&record).expect("it is encoded");
    assert_eq!(
        keys::encode_member(&record, None).expect("it is encoded"),
        value
    );
    let read = keys::decode_member(&item(value)).expect("it is read");
    assert_eq!(read, (record, None));
}

/// Guards against calls and responses that a process of an earlier build cannot read, because bytes follow them.
#[test]
fn calls_and_responses_are_read_across_builds() {
    let mut call = keys::encode(&PeerCall::Usage).expect("it is encoded");
    let (_, trailer) =
        keys::decode_with_trailer::<PeerCall, CallTrailer>(&call).expect("it is read");
    assert_eq!(trailer, None);
    call.extend(keys::encode(&CallTrailer::Sheddable).expect("it is encoded"));
    assert_eq!(keys::decode::<PeerCall>(&call), Ok(PeerCall::Usage));
    let (_, trailer) =
        keys::decode_with_trailer::<PeerCall, CallTrailer>(&call).expect("it is read");
    assert_eq!(trailer, Some(CallTrailer::Sheddable));

    let mut response = keys::encode(&PeerResponse::Done).expect("it is encoded");
    let trailer = ResponseTrailer {
        capacities: vec![CAPACITY],
        ..ResponseTrailer::default()
    };
    response.extend(keys::encode(&trailer).expect("it is encoded"));
    assert_eq!(keys::decode(&response), Ok(PeerResponse::Done));
    let read = keys::decode_with_trailer(&response).expect("it is read");
    assert_eq!(read, (PeerResponse::Done, Some(trailer)));
}
