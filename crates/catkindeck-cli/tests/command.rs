//! Tests that run the command as a process against a fake entry.

mod support;

use {
    catkindeck::config::ConfigSnapshot,
    serde_json::Value,
    std::{fs, sync::Arc},
    support::{MemoryConfigStore, exit_code_and_output, run, start_entry, start_entry_on},
    tempfile::tempdir,
};

const DECLARATIONS: &str = r#"
[[customers]]
name = "courts"

[[zones]]
name = "vault-a"
region = "tvm"

[[keys]]
label = "courts-1"
customer = "courts"
digest = "0000000000000000000000000000000000000000000000000000000000000001"
"#;

/// Guards against plans, confirmations and statuses that do not match each other, and wrong exit codes.
#[test]
fn declarations_are_applied_and_zone_is_taken_out() {
    let directory = tempdir().unwrap();
    let entry = start_entry();
    let command =
        |arguments: &[&str]| exit_code_and_output(&run(directory.path(), entry, arguments));
    fs::write(directory.path().join("a.toml"), DECLARATIONS).unwrap();
    let (code, text) = command(&["plan", "--json", "."]);
    assert_eq!(code, 0, "{text}");
    let plan: Value = serde_json::from_str(&text).unwrap();
    let id = plan["id"].as_str().unwrap();
    // Without confirmation, nothing is applied.
    let (code, text) = command(&["apply", "."]);
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("+ customer courts"), "{text}");
    // Applying a plan again returns the same outcome.
    for _ in 0..2 {
        let (code, text) = command(&["apply", "--plan", id, "."]);
        assert_eq!((code, text.trim()), (0, "accepted: in force as revision 1"));
    }
    let (code, text) = command(&["zone", "out", "vault-b", "--yes"]);
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("did you mean `vault-a`?"), "{text}");
    let (code, text) = command(&["zone", "out", "vault-a", "--yes"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("~ zone vault-a  state: in -> out"), "{text}");
    // In two steps, only the plan that was shown is applied.
    let (code, text) = command(&["keys", "revoke", "courts-1", "--dry-run", "--json"]);
    assert_eq!(code, 0, "{text}");
    let shown: Value = serde_json::from_str(&text).unwrap();
    let shown = shown["id"].as_str().unwrap();
    assert_eq!(command(&["zone", "in", "vault-a", "--plan", shown]).0, 5);
    let (code, text) = command(&["keys", "revoke", "courts-1", "--plan", shown]);
    assert_eq!(code, 0, "{text}");
    let (code, text) = command(&["status", "--outcome", id]);
    assert_eq!((code, text.trim()), (0, "accepted: in force as revision 1"));
    let (code, text) = command(&["status"]);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("Revision 3 (in force everywhere): 1 customers, 0 keys"),
        "{text}"
    );
    assert!(text.contains("vault-a  tvm     out"), "{text}");
    // Declarations without a zone state do not bring the zone back.
    let (code, text) = command(&["plan", "."]);
    assert_eq!(code, 0, "{text}");
    assert!(!text.contains("zone vault-a"), "{text}");
}

/// Guards against an urgent command that fails because another operator made an unrelated change, and
/// against applying a plan that was confirmed by id to a different state.
#[test]
fn only_yes_option_replans_after_a_conflict() {
    let directory = tempdir().unwrap();
    let config_store = Arc::new(MemoryConfigStore::new(vec![ConfigSnapshot::default()]));
    let entry = start_entry_on(config_store.clone());
    let command =
        |arguments: &[&str]| exit_code_and_output(&run(directory.path(), entry, arguments));
    fs::write(directory.path().join("a.toml"), DECLARATIONS).unwrap();
    assert_eq!(command(&["apply", "--yes", "a.toml"]).0, 0);
    *config_store.overtaken.lock().unwrap() = 2;
    let (code, text) = command(&["zone", "out", "vault-a", "--yes"]);
    assert_eq!(code, 0, "{text}");
    assert_eq!(text.matches("Plan ").count(), 3, "{text}");
    let (_, text) = command(&["zone", "in", "vault-a", "--dry-run", "--json"]);
    let shown: Value = serde_json::from_str(&text).unwrap();
    *config_store.overtaken.lock().unwrap() = 1;
    let arguments = [
        "zone",
        "in",
        "vault-a",
        "--plan",
        shown["id"].as_str().unwrap(),
    ];
    let (code, text) = command(&arguments);
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("~ customer courts  weight: 3 -> 4"), "{text}");
}

/// Guards against keys in declarations, and digests that do not match the key.
#[test]
fn created_key_is_shown_once_and_declared_by_digest() {
    let directory = tempdir().unwrap();
    let entry = start_entry();
    let create = [
        "--json",
        "keys",
        "create",
        "--customer",
        "courts",
        "--label",
        "courts-2",
    ];
    let (code, text) = exit_code_and_output(&run(directory.path(), entry, &create));
    assert_eq!(code, 0, "{text}");
    let created: Value = serde_json::from_str(&text).unwrap();
    let key = created["key"].as_str().unwrap();
    let digest = catkindeck::id::KeyDigest::of(key).to_string();
    let declaration = created["declaration"].as_str().unwrap();
    assert!(declaration.contains(&digest) && !declaration.contains(key));
    // With an output file, the key is not shown, and an existing file is not overwritten.
    let create = [
        "keys",
        "create",
        "--customer",
        "c",
        "--label",
        "l",
        "--out",
        "c.key",
    ];
    let (code, text) = exit_code_and_output(&run(directory.path(), entry, &create));
    let stored = fs::read_to_string(directory.path().join("c.key")).unwrap();
    assert_eq!(code, 0, "{text}");
    assert!(!text.contains(stored.trim()));
    let (code, _) = exit_code_and_output(&run(directory.path(), entry, &create));
    assert_eq!(code, 5);
    assert_eq!(
        fs::read_to_string(directory.path().join("c.key")).unwrap(),
        stored
    );
    // The appended key declarations are valid.
    fs::write(
        directory.path().join("keys.toml"),
        "[[customers]]\nname = \"c\"\n",
    )
    .unwrap();
    for label in ["c-1", "c-2"] {
        let arguments = [
            "keys",
            "create",
            "--customer",
            "c",
            "--label",
            label,
            "--declare",
        ];
        let create = [arguments.as_slice(), &["keys.toml"]].concat();
        assert_eq!(
            exit_code_and_output(&run(directory.path(), entry, &create)).0,
            0
        );
    }
    let (code, text) = exit_code_and_output(&run(
        directory.path(),
        entry,
        &["check-config", "keys.toml"],
    ));
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("1 customers, 2 keys"), "{text}");
}

/// Guards against exit codes that differ from the table in `docs/errors.md`.
#[test]
fn failures_return_documented_exit_codes() {
    let directory = tempdir().unwrap();
    let entry = start_entry();
    let command =
        |arguments: &[&str]| exit_code_and_output(&run(directory.path(), entry, arguments));
    fs::write(
        directory.path().join("bad.toml"),
        "[[customers]]\nnam = \"x\"\n",
    )
    .unwrap();
    let (code, text) = command(&["check-config", "bad.toml"]);
    assert_eq!(code, 2);
    assert!(
        text.contains("bad.toml:2: nam: unknown field, did you mean `name`?"),
        "{text}"
    );
    assert_eq!(command(&["plan", "absent.toml"]).0, 4);
    assert_eq!(command(&["no-such-command"]).0, 2);
    assert_eq!(command(&["--help"]).0, 0);
    let (code, text) = command(&["--admin", "http://127.0.0.1:1", "status", "--json"]);
    let error: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, error["error"]["kind"].as_str()),
        (8, Some("peer_unavailable"))
    );
    // If an entry cannot be reached, the next one is tried.
    let both = format!("http://127.0.0.1:1,http://{entry}");
    assert_eq!(command(&["--admin", &both, "status"]).0, 0);
    fs::write(directory.path().join("other.key"), "other").unwrap();
    assert_eq!(
        command(&["--operator-key-file", "other.key", "status"]).0,
        3
    );
}

/// Guards against a repeated command that replaces certificates in use or the authority.
#[test]
fn certificates_are_kept_unless_renewed() {
    let directory = tempdir().unwrap();
    let entry = start_entry();
    let command =
        |arguments: &[&str]| exit_code_and_output(&run(directory.path(), entry, arguments));
    let read = |file: &str| fs::read(directory.path().join("certs").join(file)).unwrap();
    let issue = [
        "certs", "--dir", "certs", "--entry", "entry-a", "--agent", "draft.1",
    ];
    assert_eq!(command(&issue).0, 0);
    let first = [
        read("authority.pem"),
        read("entry-entry-a.pem"),
        read("agent-draft.1.key"),
    ];
    let (code, text) = command(&issue);
    assert_eq!(code, 0, "{text}");
    let second = [
        read("authority.pem"),
        read("entry-entry-a.pem"),
        read("agent-draft.1.key"),
    ];
    assert_eq!(first, second);
    assert_eq!(
        command(&["certs", "--dir", "certs", "--entry", "entry-a", "--renew"]).0,
        0
    );
    assert_ne!(read("entry-entry-a.pem"), first[1]);
    assert_eq!(read("authority.pem"), first[0]);
    assert_eq!(
        command(&["certs", "--dir", "certs", "--entry", "Entry A"]).0,
        2
    );
}

/// Guards against a configuration file that an entry does not load, and against new revisions without
/// a change.
#[test]
fn written_snapshot_has_next_revision() {
    let directory = tempdir().unwrap();
    let unused_address = "127.0.0.1:1".parse().unwrap();
    let path = directory.path().join("snapshot.json");
    let write = |text: &str| {
        fs::write(directory.path().join("a.toml"), text).unwrap();
        let arguments = ["check-config", "--snapshot", "snapshot.json", "a.toml"];
        let (code, text) = exit_code_and_output(&run(directory.path(), unused_address, &arguments));
        assert_eq!(code, 0, "{text}");
        let logger = catkindeck::log::discard_logger();
        let source = catkindeck_entry::source::FileSource::open(&path, logger).unwrap();
        let current = catkindeck_control::source::ConfigSource::current(&*source);
        (current.revision.0, current.customers[0].weight)
    };
    assert_eq!(write(DECLARATIONS), (1, 1));
    assert_eq!(write(DECLARATIONS), (1, 1));
    assert_eq!(
        write(&DECLARATIONS.replace("\"courts\"\n\n[[zones", "\"courts\"\nweight = 3\n\n[[zones")),
        (2, 3)
    );
}
