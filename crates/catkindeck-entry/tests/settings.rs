//! Tests of the settings file and the configuration file.

use {
    catkindeck::{log::discard_logger, settings::SettingsText},
    catkindeck_control::source::ConfigSource,
    catkindeck_entry::{
        settings::{ConfigOrigin, EntrySettings},
        source::FileSource,
    },
    std::fs,
};

const PROCESS_SETTINGS: &str = r#"
[process]
host = "entry-1"
zone = "vault-a"
peer_listen = "127.0.0.1:7100"
health_listen = "127.0.0.1:7200"

[process.tls]
authority = "authority.pem"
certificate = "entry-1.pem"
key = "entry-1.key"
"#;

fn load(text: &str) -> Result<EntrySettings, String> {
    let text = SettingsText::new("entry.toml", &format!("{text}{PROCESS_SETTINGS}"));
    EntrySettings::load(&text).map_err(|error| error.to_string())
}

/// Guards against starting with invalid settings, and against errors that do not name the line, the
/// field and the expected value.
#[test]
fn settings_errors_name_line_and_field() {
    let head = "caller_listen = \"127.0.0.1:7000\"\nconfig_file = \"deck.toml\"\n";
    assert!(load(head).is_ok());
    for (text, wanted) in [
        (
            "caller_listen = \"here\"\nconfig_file = \"a\"\n".to_owned(),
            "entry.toml:1: caller_listen: expected an IP address",
        ),
        (
            format!("{head}caller_lisen = 1\n"),
            "did you mean `caller_listen`?",
        ),
        (
            "caller_listen = \"127.0.0.1:7000\"\n".to_owned(),
            "config_file: expected either the table `[platform]` or the field `config_file`",
        ),
        (
            format!("{head}admin_listen = \"127.0.0.1:7001\"\n"),
            "operator_digests: expected at least one digest",
        ),
        (
            format!("{head}admin_listen = \"127.0.0.1:7001\"\noperator_digests = [\"ab\"]\n"),
            "entry.toml:3: admin_listen: expected the table `[platform]`",
        ),
        (
            format!("{head}operator_digests = [\"ab\"]\n"),
            "entry.toml:3: operator_digests: expected blake3 digests",
        ),
        (
            format!("{head}[limits]\nattempts = 0\n"),
            "entry.toml:4: limits.attempts: expected 1 to 10, got 0",
        ),
        (
            format!("{head}[limits]\nbody_bytes = 9000000\n"),
            "limits.body_bytes: expected 1024 to",
        ),
        (
            format!("{head}[timeouts]\nheader_ms = 1\n"),
            "timeouts.header_ms: expected 10 to 600000, got 1",
        ),
        (
            format!("{head}[[peers]]\npeer_host = \"Entry\"\npeer_address = \"127.0.0.1:1\"\n"),
            "entry.toml:4: peer_host: expected a name of 1 to 64 lower-case letters",
        ),
    ] {
        let error = load(&text).expect_err("a fault");
        assert!(error.contains(wanted), "{error} instead of {wanted}");
    }
}

/// Guards against a platform section that is accepted but not used.
#[test]
fn platform_settings_are_read() {
    let text = "caller_listen = \"127.0.0.1:7000\"\n\
                [platform.store]\naddress = \"127.0.0.1:9000\"\ntimeout_ms = 250\n\
                [platform.hosts]\naddress = \"127.0.0.1:9001\"\n";
    let settings = load(text).expect("valid settings");
    let ConfigOrigin::Platform(platform) = settings.origin else {
        panic!("the platform is named");
    };
    assert_eq!(platform.store.timeout_ms, 250);
    assert_eq!(platform.hosts.address.port(), 9001);
    assert!(platform.zones.is_none());
}

/// Guards against a configuration file that reverts to a lower revision, and against losing the
/// configuration to an invalid edit.
#[test]
fn configuration_file_revision_never_decreases() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("deck.json");
    let write = |revision: u64, zone: &str| {
        let zone = match zone {
            "" => String::new(),
            zone => format!(r#"{{"name": "{zone}", "region": "tvm", "state": "in"}}"#),
        };
        let text = format!(
            r#"{{"revision": {revision}, "customers": [], "keys": [], "services": [],
            "routes": [], "zones": [{zone}], "upstreams": [], "runs": []}}"#
        );
        fs::write(&path, text).expect("written");
    };
    write(4, "");
    let source = FileSource::open(&path, discard_logger()).expect("a valid file");
    assert!(source.is_fresh());
    write(3, "vault-a");
    source.reload(&path).expect("a valid file");
    assert_eq!(source.current().revision.0, 4);
    write(5, "vault-a");
    source.reload(&path).expect("a valid file");
    assert_eq!(source.current().zones.len(), 1);
    fs::write(&path, "{\n\"revision\": \"x\"").expect("written");
    let error = source.reload(&path).expect_err("a fault");
    assert_eq!(error.line, 2, "{error}");
    assert_eq!(source.current().revision.0, 5);
}

/// Guards against an example in the documentation that the entry rejects.
#[test]
fn documented_settings_are_valid() {
    let page = include_str!("../../../docs/http.md");
    let example = page.split("```toml\n").nth(1).expect("an example");
    let example = example.split("```").next().expect("its end");
    let digest = "0".repeat(64);
    let start = example.find('<').expect("a placeholder");
    let end = example.find('>').expect("its end");
    let text = format!("{}{digest}{}", &example[..start], &example[end + 1..]);
    let settings = EntrySettings::load(&SettingsText::new("http.md", &text));
    let settings = settings.expect("a valid example");
    assert!(matches!(settings.origin, ConfigOrigin::Platform(_)));
    assert_eq!(settings.peers.len(), 1);
}
