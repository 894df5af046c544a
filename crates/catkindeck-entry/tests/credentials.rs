//! Tests of the lookup and removal of keys (`docs/design.md`, G4 and G5).

use {
    catkindeck::{
        ErrorKind,
        config::{ConfigSnapshot, CustomerRecord, KeyRecord},
        id::{KeyDigest, ObjectName},
    },
    catkindeck_entry::{
        credentials::{CallerKeys, strip_query},
        headers::{filter_request_headers, read_deadline, read_idempotency_key},
    },
    http::{HeaderMap, HeaderName, HeaderValue},
    proptest::{prelude::*, test_runner::RngSeed},
};

const KEY: &str = "ck-reader-4711";

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a header name");
        headers.append(name, HeaderValue::from_str(value).expect("a header value"));
    }
    headers
}

fn snapshot() -> ConfigSnapshot {
    let customer = |text: &str| CustomerRecord {
        name: name(text),
        weight: 1,
        retry_percent: 10,
        priority: None,
    };
    let key = |text: &str, owner: &str| KeyRecord {
        digest: KeyDigest::of(text),
        customer: name(owner),
        label: name("label"),
    };
    let mut snapshot = ConfigSnapshot {
        customers: vec![customer("archive"), customer("court")],
        keys: vec![
            key(KEY, "archive"),
            key("ck-clerk-1", "court"),
            key("ck-orphan", "gone"),
        ],
        ..ConfigSnapshot::default()
    };
    snapshot.sort();
    snapshot
}

fn customer_of(pairs: &[(&str, &str)]) -> Result<String, ErrorKind> {
    let identity = CallerKeys::collect(&headers(pairs)).authenticate(&snapshot());
    identity
        .map(|identity| identity.customer.to_string())
        .map_err(|error| error.kind)
}

/// Guards against a request that runs for a customer other than the owner of its key (G4).
#[test]
fn key_decides_the_customer() {
    let bearer = format!("bEaReR {KEY}");
    assert_eq!(
        customer_of(&[("Authorization", &bearer)]),
        Ok("archive".to_owned())
    );
    assert_eq!(
        customer_of(&[("X-Api-Key", "ck-clerk-1")]),
        Ok("court".to_owned())
    );
    let same_twice = [("authorization", bearer.as_str()), ("x-api-key", KEY)];
    assert_eq!(customer_of(&same_twice), Ok("archive".to_owned()));
}

/// Guards against choosing among several keys, which could run the request for a customer that the
/// caller did not intend, and against accepting keys of removed customers (G4).
#[test]
fn absent_unknown_and_contradicting_keys_are_refused() {
    let refused = Err(ErrorKind::Unauthenticated);
    assert_eq!(customer_of(&[]), refused);
    assert_eq!(customer_of(&[("x-api-key", "ck-reader-471")]), refused);
    assert_eq!(customer_of(&[("x-api-key", "ck-orphan")]), refused);
    assert_eq!(
        customer_of(&[("x-api-key", KEY), ("x-api-key", "ck-clerk-1")]),
        refused
    );
    assert_eq!(customer_of(&[("authorization", "Basic abc")]), refused);
}

/// Guards against an entry that is open to everybody once its last key or customer was taken away.
#[test]
fn no_key_is_accepted_without_customers() {
    let empty = ConfigSnapshot::default();
    let without_keys = ConfigSnapshot {
        keys: Vec::new(),
        ..snapshot()
    };
    let without_customers = ConfigSnapshot {
        customers: Vec::new(),
        ..snapshot()
    };
    for snapshot in [empty, without_keys, without_customers] {
        for pairs in [&[][..], &[("x-api-key", KEY)], &[("x-api-key", "unknown")]] {
            let identity = CallerKeys::collect(&headers(pairs)).authenticate(&snapshot);
            let kind = identity.map_err(|error| error.kind);
            assert_eq!(kind, Err(ErrorKind::Unauthenticated));
        }
    }
}

/// Guards against forwarding a key to an upstream in a duplicate header, in a header in another
/// letter case, or inside another header's value (`docs/proofs.md`, G5).
#[test]
fn headers_with_a_key_are_not_forwarded() {
    let quoted = format!("tool/1 ({KEY})");
    let all = headers(&[
        ("AUTHORIZATION", "Bearer ck-reader-4711"),
        ("X-API-KEY", KEY),
        ("x-Api-Key", KEY),
        ("Cookie", "session=ck-reader-4711"),
        ("Proxy-Authorization", "Bearer ck-reader-4711"),
        ("X-Forwarded-Authorization", KEY),
        ("User-Agent", &quoted),
        ("Content-Type", "application/json"),
        ("Accept", "text/plain"),
    ]);
    let passed = filter_request_headers(&all, &CallerKeys::collect(&all));
    let mut names: Vec<&str> = passed.iter().map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "content-type"]);
}

/// Guards against forwarding a key to an upstream in the query, in any spelling (G5).
#[test]
fn query_parameters_with_keys_are_removed() {
    let keys = CallerKeys::collect(&headers(&[("x-api-key", KEY)]));
    for (query, kept) in [
        ("shelf=4&key=x", "shelf=4"),
        ("api_key=x&shelf=4", "shelf=4"),
        ("API-KEY=x&shelf=4&Access_Token=y", "shelf=4"),
        ("%61pi%5Fkey=x&shelf=4", "shelf=4"),
        ("%2561pi_key=x", ""),
        ("note=ck-reader-4711&shelf=4", "shelf=4"),
        ("note=ck%2Dreader-4711", ""),
        ("shelf=4&monkey=1", "shelf=4&monkey=1"),
        ("", ""),
    ] {
        assert_eq!(strip_query(query, &keys), kept, "{query}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an encoding or position of the key that the removal misses (G5).
    #[test]
    fn encoded_key_is_removed_from_query(
        mask in proptest::collection::vec(any::<bool>(), KEY.len()),
        before in "[a-z]{0,5}(=[a-z%]{0,5})?",
        after in "[a-z]{0,5}(=[a-z%]{0,5})?",
        parameter in "[a-z]{1,8}",
    ) {
        let encoded: String = KEY
            .bytes()
            .zip(&mask)
            .map(|(byte, encode)| match encode {
                true => format!("%{byte:02X}"),
                false => char::from(byte).to_string(),
            })
            .collect();
        let keys = CallerKeys::collect(&headers(&[("x-api-key", KEY)]));
        let stripped = strip_query(&format!("{before}&{parameter}={encoded}&{after}"), &keys);
        prop_assert!(!stripped.contains(&encoded), "{}", stripped);
    }
}

/// Guards against keys in debug output, which may be logged.
#[test]
fn debug_output_omits_keys() {
    let keys = CallerKeys::collect(&headers(&[("x-api-key", KEY)]));
    assert_eq!(format!("{keys:?}"), "CallerKeys(1)");
}

/// Guards against silently ignoring a malformed `Idempotency-Key` or `x-request-deadline-ms`.
#[test]
fn malformed_idempotency_key_and_deadline_are_rejected() {
    let long = "k".repeat(129);
    let idempotency = |value: &str| read_idempotency_key(&headers(&[("idempotency-key", value)]));
    assert_eq!(
        idempotency("slip-7").expect("valid"),
        Some("slip-7".to_owned())
    );
    for value in ["", "two words", long.as_str()] {
        let error = idempotency(value).expect_err("malformed");
        assert_eq!(error.kind, ErrorKind::BadRequest, "{value}");
    }
    let twice = headers(&[("idempotency-key", "a"), ("idempotency-key", "b")]);
    assert!(read_idempotency_key(&twice).is_err());

    let deadline = |value: &str| read_deadline(&headers(&[("x-request-deadline-ms", value)]));
    assert_eq!(deadline("250").expect("valid"), Some(250));
    assert_eq!(
        deadline("0").expect_err("passed").kind,
        ErrorKind::DeadlineExceeded
    );
    assert_eq!(
        deadline("soon").expect_err("malformed").kind,
        ErrorKind::BadRequest
    );
}
