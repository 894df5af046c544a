//! Tests of the files in `deployments/`, which describe the users' deployments.

mod support;

use {
    catkindeck::{
        config::{ConfigSnapshot, ServiceKind, ZoneState},
        settings::SettingsText,
    },
    catkindeck_agent::AgentSettings,
    catkindeck_control::intent::{DeclarationFile, DeclaredIntent},
    catkindeck_entry::settings::EntrySettings,
    std::{
        fs,
        path::{Path, PathBuf},
    },
    support::{exit_code_and_output, run},
    tempfile::tempdir,
};

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deployments")
        .join(name)
}

fn declared(name: &str) -> ConfigSnapshot {
    let entries = fs::read_dir(directory(name).join("declarations")).unwrap();
    let files = entries.map(|entry| DeclarationFile::read(&entry.unwrap().path()).unwrap());
    let files: Vec<DeclarationFile> = files.collect();
    let intent = DeclaredIntent::try_from(files.as_slice()).unwrap();
    intent.to_snapshot(&ConfigSnapshot::default(), 0)
}

/// Guards against declarations that differ from the deployments in `docs/design.md`, section 1.
#[test]
fn declarations_match_the_users_deployments() {
    let directorate: &[&str] = &["vault-a", "vault-b", "vault-c"];
    let listkovnica: &[&str] = &["bezigrad", "moste", "siska", "vic"];
    let cases = [
        ("directorate", "tvm", directorate, 8, 3),
        ("listkovnica", "ljubljana", listkovnica, 9, 4),
    ];
    for (name, region, zones, engines, plain) in cases {
        let snapshot = declared(name);
        let names: Vec<&str> = snapshot
            .zones
            .iter()
            .map(|zone| zone.name.as_str())
            .collect();
        assert_eq!(names, zones);
        assert!(
            snapshot
                .zones
                .iter()
                .all(|zone| zone.region.as_str() == region)
        );
        assert!(
            snapshot
                .zones
                .iter()
                .all(|zone| zone.state == ZoneState::In)
        );
        assert_eq!(snapshot.customers.len(), 8);
        let large = snapshot
            .customers
            .iter()
            .filter(|customer| customer.weight >= 4);
        assert!((2..=4).contains(&large.count()));
        let count = |kind: ServiceKind| {
            let members = snapshot.upstreams.iter().filter(|upstream| {
                snapshot
                    .service(&upstream.service)
                    .is_some_and(|service| service.kind == kind)
            });
            members.count()
        };
        assert_eq!(
            (count(ServiceKind::Engine), count(ServiceKind::Plain)),
            (engines, plain)
        );
        // Every zone has an upstream of every service, so that any single zone can be taken out.
        for zone in &snapshot.zones {
            for service in &snapshot.services {
                assert!(snapshot.upstreams.iter().any(|upstream| {
                    upstream.zone == zone.name && upstream.service == service.name
                }));
            }
        }
        assert!(snapshot.routes.iter().any(|route| !route.idempotent));
        assert!(!snapshot.runs.is_empty());
    }
}

/// Returns the settings files of the entries and of the agents of a deployment.
fn settings_files(name: &str) -> (Vec<PathBuf>, Vec<PathBuf>) {
    let entries = fs::read_dir(directory(name).join("settings")).unwrap();
    let files = entries.map(|entry| entry.unwrap().path());
    files.partition(|file| {
        file.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with("entry-")
    })
}

/// Guards against settings and declarations that name different hosts, zones or addresses.
#[test]
fn settings_agree_with_declarations() {
    for name in ["directorate", "listkovnica"] {
        let snapshot = declared(name);
        let (entries, agents) = settings_files(name);
        assert_eq!(agents.len(), snapshot.upstreams.len());
        for file in agents {
            let settings = AgentSettings::read(&file).unwrap();
            let upstream = snapshot.upstream(&settings.upstream.name).unwrap();
            assert_eq!(settings.process.peer_listen, upstream.agent);
            assert_eq!(settings.process.zone, upstream.zone);
            assert_eq!(settings.upstream.service, upstream.service);
            let service = snapshot.service(&upstream.service).unwrap();
            assert_eq!(settings.upstream.kind, service.kind);
            // The agent cuts off requests that exceed its own limit.
            let longest = settings.timeouts.longest_request.as_millis();
            assert!(
                snapshot
                    .routes
                    .iter()
                    .all(|route| u128::from(route.timeout_ms) <= longest)
            );
        }
        let zones = entries.iter().map(|file| {
            let text = SettingsText::read(file).unwrap();
            EntrySettings::load(&text).unwrap().process.zone
        });
        let mut zones: Vec<_> = zones.collect();
        zones.sort();
        let declared: Vec<_> = snapshot
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect();
        assert_eq!(zones, declared);
    }
}

/// Guards against files that `check-config` rejects.
#[test]
fn check_config_accepts_every_file() {
    let scratch = tempdir().unwrap();
    let unused_address = "127.0.0.1:1".parse().unwrap();
    for name in ["directorate", "listkovnica"] {
        let (entries, agents) = settings_files(name);
        let mut arguments = vec!["check-config".to_owned()];
        let mut add = |option: &str, files: &[PathBuf]| {
            for file in files {
                arguments.extend([option.to_owned(), file.display().to_string()]);
            }
        };
        add("--entry", &entries);
        add("--agent", &agents);
        add("--objectives", &[directory(name).join("objectives.toml")]);
        add("--load", &[directory(name).join("load.toml")]);
        arguments.push(directory(name).join("declarations").display().to_string());
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (code, text) = exit_code_and_output(&run(scratch.path(), unused_address, &arguments));
        assert_eq!(code, 0, "{text}");
        // One line per file, and one for all declarations.
        assert_eq!(
            text.lines().count(),
            entries.len() + agents.len() + 3,
            "{text}"
        );
    }
}
