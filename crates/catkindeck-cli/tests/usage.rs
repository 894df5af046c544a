//! Tests of the subcommand `usage` against the fake store.

mod support;

use {
    catkindeck::{
        id::ObjectName, log::discard_logger, message::UsageLine, platform::StoreClient,
        time::SystemClock,
    },
    catkindeck_control::usage::SealedUsage,
    catkindeck_fakes::{fault::FakeServer, store::FakeStore},
    catkindeck_store::{ClientSettings, HttpStore},
    std::sync::Arc,
    support::{exit_code_and_output, run},
    tempfile::tempdir,
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

fn line(window: u64, customer: Option<&str>, tokens: u64) -> UsageLine {
    UsageLine {
        window,
        customer: customer.map(name),
        service: name("drafting"),
        requests: 1,
        tokens,
    }
}

/// Guards against showing windows that are not sealed yet, and against omitting late lines.
#[test]
fn only_sealed_windows_are_summed_up() {
    let server = FakeServer::new(Box::new(FakeStore::default()));
    let address = server.spawn("127.0.0.1:0".parse().unwrap(), None).unwrap();
    let settings = ClientSettings::new(address);
    let store = HttpStore::new(settings, Arc::new(SystemClock::new()), discard_logger());
    // Window 12 has a key, but the progress does not include it, so it may not have been reported.
    for (window, lines) in [
        (10, vec![line(10, Some("courts"), 5), line(10, None, 1)]),
        (
            11,
            vec![line(9, Some("courts"), 7), line(11, Some("land"), 2)],
        ),
        (12, vec![line(12, Some("courts"), 100)]),
    ] {
        let sealed = SealedUsage {
            zone: name("vault-a"),
            window,
            lines,
            marks: Vec::new(),
        };
        let bytes = serde_json::to_vec(&sealed).unwrap();
        store
            .swap(&format!("usage/vault-a/window/{window}"), 0, &bytes)
            .unwrap();
    }
    store
        .swap("usage/vault-a/progress", 0, br#"{"next": 12, "marks": []}"#)
        .unwrap();
    let directory = tempdir().unwrap();
    let address = address.to_string();
    let command = |arguments: &[&str]| {
        let arguments = [&["usage", "--store", &address], arguments].concat();
        exit_code_and_output(&run(
            directory.path(),
            "127.0.0.1:1".parse().unwrap(),
            &arguments,
        ))
    };
    let (code, text) = command(&["--zone", "vault-a", "--zone", "vault-b"]);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("vault-a  courts    drafting  2         12"),
        "{text}"
    );
    assert!(
        text.contains("vault-a  -         drafting  1         1"),
        "{text}"
    );
    assert!(
        text.contains(
            "vault-a: 2 sealed windows of 60 s (numbers 10 to 11), with 1 late lines for earlier"
        ),
        "{text}"
    );
    assert!(text.contains("vault-b: no sealed windows"), "{text}");
    let (_, text) = command(&["--zone", "vault-a", "--windows", "1", "--customer", "land"]);
    assert!(text.contains("land") && !text.contains("courts"), "{text}");
    assert_eq!(command(&[]).0, 2);
    let arguments = ["usage", "--store", "127.0.0.1:1", "--zone", "vault-a"];
    let unused_address = "127.0.0.1:1".parse().unwrap();
    assert_eq!(
        exit_code_and_output(&run(directory.path(), unused_address, &arguments)).0,
        8
    );
}
