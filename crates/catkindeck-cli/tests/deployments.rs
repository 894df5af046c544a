//! Tests that the deployments' files are valid and describe the users' deployments.

mod support;

use {
    catkindeck::config::{ConfigSnapshot, ServiceKind, ZoneState},
    catkindeck_control::intent::{DeclarationFile, DeclaredIntent},
    std::{
        fs,
        path::{Path, PathBuf},
    },
    support::{outcome, run},
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

/// Guards against declarations that drift from the deployments in `docs/design.md`, section 1.
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
        // Every zone has an upstream of every service, so that any one zone can leave.
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

/// Guards against files that the operators' command refuses.
#[test]
fn check_config_accepts_every_file() {
    let scratch = tempdir().unwrap();
    let nowhere = "127.0.0.1:1".parse().unwrap();
    for name in ["directorate", "listkovnica"] {
        let load = directory(name).join("load.toml");
        let declarations = directory(name).join("declarations");
        let objectives = directory(name).join("objectives.toml");
        let words = [
            "check-config",
            "--objectives",
            objectives.to_str().unwrap(),
            "--load",
            load.to_str().unwrap(),
            declarations.to_str().unwrap(),
        ];
        let (code, text) = outcome(&run(scratch.path(), nowhere, &words));
        assert_eq!(code, 0, "{text}");
    }
}
