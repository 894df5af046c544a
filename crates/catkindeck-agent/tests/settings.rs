//! Tests the agent's settings and command line.

use {
    catkindeck::settings::SettingsText,
    catkindeck_agent::{AgentSettings, RawAgent},
    std::{fs, process::Command},
};

const SETTINGS_TEXT: &str = r#"
[process]
host = "vault-a-1"
zone = "vault-a"
peer_listen = "127.0.0.1:7100"
health_listen = "127.0.0.1:7101"
[process.tls]
authority = "authority.pem"
certificate = "agent.pem"
key = "agent.key"
[upstream]
name = "vault-a-1"
service = "drafting"
kind = "engine"
base_url = "http://127.0.0.1:9000/"
"#;

fn parse(text: &str) -> Result<AgentSettings, String> {
    let text = SettingsText::new("agent.toml", text);
    let raw: RawAgent = text.parse().map_err(|error| error.to_string())?;
    AgentSettings::try_from((&text, raw)).map_err(|error| error.to_string())
}

/// Guards against invalid settings that are accepted, and against errors that do not state the
/// location and the expected value.
#[test]
fn errors_state_line_field_and_expected_value() {
    let settings = parse(SETTINGS_TEXT).unwrap();
    assert_eq!(settings.upstream.base_url, "http://127.0.0.1:9000");
    assert!(!settings.upstream.first_start);
    for (from, to, parts) in [
        (
            "kind = \"engine\"",
            "kind = \"gpu\"",
            ["agent.toml:14", "kind", "engine"],
        ),
        (
            "service =",
            "sevice =",
            ["agent.toml:13", "sevice", "did you mean `service`"],
        ),
        (
            "http://127.0.0.1:9000/",
            "https://h/",
            ["agent.toml:15", "base_url", "http://127"],
        ),
        (
            "http://127.0.0.1:9000/",
            "http://h/v1",
            ["agent.toml:15", "base_url", "without a path"],
        ),
        (
            "name = \"vault-a-1\"",
            "name = \"vault-a-2\"",
            ["agent.toml:12", "name", "`vault-a-1`"],
        ),
        (
            "[upstream]",
            "[timeouts]\nprobe_ms = 1\n[upstream]",
            [":12", "probe_ms", "10 to 60000"],
        ),
        (
            "[upstream]",
            "[limits]\nqueue = 0\n[upstream]",
            [":12", "queue", "1 to 100000"],
        ),
        (
            "[upstream]",
            "[peers]\naddresses = [\"h\"]\n[upstream]",
            [":12", "addresses", "IP"],
        ),
    ] {
        let error = parse(&SETTINGS_TEXT.replacen(from, to, 1)).unwrap_err();
        for part in parts {
            assert!(error.contains(part), "{error} does not name {part}");
        }
    }
}

/// Guards against a `--check` run that starts the agent or exits with an undocumented code.
#[test]
fn the_command_checks_settings() {
    let directory = tempfile::TempDir::new().unwrap();
    let path = directory.path().join("agent.toml");
    let check = |text: &str| {
        fs::write(&path, text).unwrap();
        Command::new(env!("CARGO_BIN_EXE_catkindeck-agent"))
            .arg("--settings")
            .arg(&path)
            .arg("--check")
            .output()
            .unwrap()
    };
    assert_eq!(check(SETTINGS_TEXT).status.code(), Some(0));
    let output = check(&SETTINGS_TEXT.replace("zone =", "zoen ="));
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        error.contains("agent.toml:4: zoen: unknown field"),
        "{error}"
    );
}
