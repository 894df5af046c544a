//! Property tests of the frame decoder and tests of certificate names.

use {
    catkindeck::{
        id::{IncarnationId, ObjectName, RequestId},
        link::PeerRole,
        message::{MESSAGE_LIMIT, PeerFrame},
    },
    catkindeck_wire::{
        DevelopmentAuthority,
        certificate::{dns_name, parse_dns_name},
        frame::{FrameBuffer, encode},
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
};

/// Returns a configuration with a fixed seed, or, if `CATKINDECK_FUZZ_CASES` is set, with that many
/// cases and a random seed.
fn config() -> ProptestConfig {
    let cases = std::env::var("CATKINDECK_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let rng_seed = match cases {
        Some(_) => RngSeed::Random,
        None => RngSeed::Fixed(20_261_206),
    };
    ProptestConfig {
        cases: cases.unwrap_or(256),
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against panics and endless loops on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(pieces in vec(vec(any::<u8>(), 0..64), 0..16)) {
        let mut buffer = FrameBuffer::default();
        for piece in pieces {
            buffer.extend(&piece);
            for _ in 0..64 {
                match buffer.take::<PeerFrame>() {
                    Ok(Some(_)) => {}
                    Ok(None) | Err(_) => break,
                }
            }
        }
    }

    /// Guards against messages that depend on how the network splits the stream.
    #[test]
    fn chunking_does_not_change_messages(
        payloads in vec(vec(any::<u8>(), 0..200), 1..8),
        chunk_size in 1_usize..50,
    ) {
        let frames: Vec<PeerFrame> = payloads
            .into_iter()
            .zip(0..)
            .map(|(bytes, sequence)| PeerFrame::Chunk {
                request: RequestId([3; 16]),
                sequence,
                bytes,
                tokens: 1,
                version: None,
            })
            .collect();
        let stream: Vec<u8> = frames.iter().flat_map(|frame| encode(frame).unwrap()).collect();
        let mut buffer = FrameBuffer::default();
        let mut received = Vec::new();
        for piece in stream.chunks(chunk_size) {
            buffer.extend(piece);
            while let Some(frame) = buffer.take::<PeerFrame>().unwrap() {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, frames);
        prop_assert!(!buffer.is_partial());
    }
}

/// Guards against a buffer that grows to any length that a peer announces.
#[test]
fn oversized_length_prefix_is_rejected() {
    let mut buffer = FrameBuffer::default();
    let length = u32::try_from(MESSAGE_LIMIT + 1).unwrap();
    buffer.extend(&length.to_be_bytes());
    assert!(buffer.take::<PeerFrame>().is_err());
}

/// Guards against extra bytes after a message within its frame.
#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = encode(&PeerFrame::Started {
        request: RequestId::default(),
        incarnation: IncarnationId::default(),
    })
    .unwrap();
    bytes.push(0);
    let length = u32::try_from(bytes.len() - 4).unwrap();
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    let mut buffer = FrameBuffer::default();
    buffer.extend(&bytes);
    assert!(buffer.take::<PeerFrame>().is_err());
}

/// Guards against issuing certificates that every peer rejects.
#[test]
fn issued_certificates_have_valid_names() {
    let authority = DevelopmentAuthority::create().unwrap();
    let reopened =
        DevelopmentAuthority::open(authority.certificate_pem(), authority.key_pem()).unwrap();
    for host in ["vault-a-1", "a_b", "rack.7", "7", &"h".repeat(63)] {
        let host = ObjectName::try_from(host).unwrap();
        assert!(reopened.issue(PeerRole::Entry, &host).is_ok(), "{host}");
    }
    let long = ObjectName::try_from("h".repeat(64)).unwrap();
    assert!(authority.issue(PeerRole::Entry, &long).is_err());
}

/// Guards against names that would give a process a different role or host.
#[test]
fn certificate_names_are_validated() {
    let identity = parse_dns_name(&dns_name(PeerRole::Agent, "vault-a-1")).unwrap();
    assert_eq!(identity.role, PeerRole::Agent);
    assert_eq!(identity.host, "vault-a-1");
    for name in [
        "catkindeck.internal",
        "agent.catkindeck.internal",
        "trainer.host.catkindeck.internal",
        "agent..catkindeck.internal",
        "agent.hostcatkindeck.internal",
        "agent.host.example.org",
        "Agent.host.catkindeck.internal",
    ] {
        assert!(parse_dns_name(name).is_err(), "{name}");
    }
}
