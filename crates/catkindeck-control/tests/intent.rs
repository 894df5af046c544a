//! Tests of declarations, plans and their application.

mod memory_config;

use {
    catkindeck::{
        ErrorKind,
        config::{ConfigRevision, ConfigSnapshot, ZoneState},
        id::{KeyDigest, ObjectName},
        log::discard_logger,
        settings::SettingsText,
    },
    catkindeck_control::intent::{
        AdminRequest, ApplyOutcome, CapacityVerdict, ConfigStore, DeclarationFile, DeclarationText,
        DeclaredIntent, IntentAdmin, IntentAnnouncer, IntentApplier, IntentPatch, IntentUpdate,
        LoadSource, LoadView, PlanId, ServiceLoad, plan,
    },
    memory_config::{MemoryConfigStore, StoreFault},
    std::sync::{Arc, Mutex},
};

const BASE_DECLARATION: &str = r#"
[[customers]]
name = "courts"
weight = 4

[[keys]]
label = "courts-1"
customer = "courts"
digest = "0000000000000000000000000000000000000000000000000000000000000001"

[[services]]
name = "drafting"
kind = "engine"
warm_limit = 10
cold_start_ms = 60000

[[routes]]
name = "draft"
service = "drafting"

[[zones]]
name = "vault-a"
region = "tvm"

[[zones]]
name = "vault-b"
region = "tvm"

[[upstreams]]
name = "draft-1"
service = "drafting"
zone = "vault-a"
agent = "127.0.0.1:7001"

[[upstreams]]
name = "draft-2"
service = "drafting"
zone = "vault-b"
agent = "127.0.0.1:7002"
"#;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

fn parse_intent(text: &str) -> Result<DeclaredIntent, String> {
    let file = DeclarationFile::parse(SettingsText::new("base.toml", text));
    file.and_then(|file| DeclaredIntent::try_from([file].as_slice()))
        .map_err(|fault| fault.to_string())
}

fn full_update(text: &str) -> IntentUpdate {
    IntentUpdate::Declarations(vec![DeclarationText {
        file: "base.toml".to_owned(),
        text: text.to_owned(),
    }])
}

fn zone_out_update() -> IntentUpdate {
    IntentUpdate::Amendment(IntentPatch::SetZone {
        zone: name("vault-a"),
        state: ZoneState::Out,
    })
}

fn load(running: [u32; 2], demand: u32) -> LoadView {
    let record = |zone, running| ServiceLoad {
        service: name("drafting"),
        zone: name(zone),
        running,
        warm: running,
        demand: demand / 2,
    };
    LoadView {
        records: vec![record("vault-a", running[0]), record("vault-b", running[1])],
    }
}

fn base_store() -> MemoryConfigStore {
    let empty = ConfigSnapshot::default();
    let first = parse_intent(BASE_DECLARATION)
        .unwrap()
        .to_snapshot(&empty, 1000);
    MemoryConfigStore::new(vec![empty, first])
}

fn applier(store: &MemoryConfigStore) -> IntentApplier<'_> {
    IntentApplier {
        store,
        announcer: None,
        view: load([1, 1], 8),
        now_ms: 5000,
    }
}

struct FixedLoad;

impl LoadSource for FixedLoad {
    fn load(&self) -> LoadView {
        load([1, 1], 8)
    }
}

/// Each line contains the text to replace, its replacement, and a part of the expected error
/// message.
const FAULTS: &str = r#"
weight = 4 | weight = "4" | base.toml:4: weight: invalid type: string "4", expected a whole number
[[customers]] | [customers] | expected a list
weight = 4 | weigth = 4 | base.toml:4: weigth: unknown field, did you mean `weight`?
weight = 4 | weight = 0 | base.toml:4: customers.weight: expected 1 to 1000 shares
kind = "engine" | kind = "gpu" | base.toml:13: services.kind: expected one of engine, plain
service = "drafting"\nzone = "vault-b" | service = "drafing"\nzone = "vault-b" | base.toml:37: upstreams.service: no service `drafing` is declared, did you mean `drafting`?
name = "vault-b" | name = "vault-a" | base.toml:26: zone: expected a new name, but zone `vault-a` is declared at base.toml:22
127.0.0.1:7002 | 127.0.0.1 | base.toml:39: upstreams.agent: expected an IP address and port such as 127.0.0.1:7000, got `127.0.0.1`
0001" | secret" | base.toml:9: keys.digest: expected 64 hexadecimal digits
"#;

/// Guards against error messages that state the wrong line, field or name.
#[test]
fn errors_state_file_line_field_and_expected_value() {
    for case in FAULTS.trim().lines() {
        let case = case.replace("\\n", "\n");
        let [from, to, expected] = case.split(" | ").collect::<Vec<_>>()[..] else {
            panic!("{case}");
        };
        let message = parse_intent(&BASE_DECLARATION.replacen(from, to, 1)).unwrap_err();
        assert!(
            message.contains(expected),
            "{message}\nshould contain\n{expected}"
        );
        assert!(
            !message.contains("secret"),
            "the message contains a key that was pasted by mistake"
        );
    }
}

/// Guards against dropping a removed upstream from the configuration while its agent may hold
/// idempotency records.
#[test]
fn removed_upstreams_stay_listed_for_the_retention() {
    let first = parse_intent(BASE_DECLARATION)
        .unwrap()
        .to_snapshot(&ConfigSnapshot::default(), 1000);
    let (kept, _) = BASE_DECLARATION.rsplit_once("[[upstreams]]").unwrap();
    let fewer = parse_intent(kept).unwrap();
    let second = fewer.to_snapshot(&first, 2000);
    let removed = second.upstream(&name("draft-2")).unwrap();
    assert_eq!((removed.added_ms, removed.removed_ms), (1000, Some(2000)));
    assert!(
        fewer
            .to_snapshot(&second, 601_999)
            .upstream(&name("draft-2"))
            .is_some()
    );
    assert!(
        fewer
            .to_snapshot(&second, 602_000)
            .upstream(&name("draft-2"))
            .is_none()
    );
    // A removed upstream that returns counts as a new member, because requests in the meantime had
    // another home agent.
    let third = parse_intent(BASE_DECLARATION)
        .unwrap()
        .to_snapshot(&second, 3000);
    let returned = third.upstream(&name("draft-2")).unwrap();
    assert_eq!((returned.added_ms, returned.removed_ms), (3000, None));
}

/// Guards against plans that do not show that the other zones cannot handle the load of a zone that
/// is taken out of service, or only after cold starts.
#[test]
fn plans_consider_cold_starts_and_missing_upstreams() {
    let current = base_store().head().unwrap();
    let target = zone_out_update().target(&current, 0).unwrap();
    let verdict = |view: &LoadView| plan(&current, &target, view).capacity.remove(0);
    assert_eq!(verdict(&load([1, 1], 8)).verdict, CapacityVerdict::Bears);
    let started = verdict(&load([1, 0], 8));
    assert_eq!(started.start_first.len(), 1);
    assert_eq!(
        (
            started.start_first[0].zone.as_str(),
            started.start_first[0].count
        ),
        ("vault-b", 1)
    );
    assert_eq!(
        (
            started.running_before,
            started.running_peak,
            started.running_after
        ),
        (1, 2, 1)
    );
    let expected = CapacityVerdict::BearsAfter {
        wait_ms: 60_000,
        meanwhile_percent: 0,
    };
    assert_eq!(started.verdict, expected);
    assert_eq!(
        verdict(&load([1, 1], 10)).verdict,
        CapacityVerdict::Short { lacking: 1 }
    );
    assert_eq!(
        verdict(&LoadView::default()).verdict,
        CapacityVerdict::Unknown
    );
}

/// Guards against applying anything other than the confirmed plan, and against applying it twice.
#[test]
fn apply_accepts_exactly_the_plan_and_is_safe_to_repeat() {
    let store = base_store();
    let applier = applier(&store);
    let planned = applier.plan(&zone_out_update()).unwrap();
    assert_eq!(planned.changes.len(), 1);
    assert_eq!(
        planned.changes[0].to_string(),
        "~ zone vault-a  state: in -> out"
    );
    let other = applier
        .apply(&full_update(BASE_DECLARATION), &planned.id, false)
        .unwrap_err();
    assert_eq!(other.kind, ErrorKind::Conflict);
    let accepted = ApplyOutcome::Accepted {
        revision: ConfigRevision(2),
    };
    for _ in 0..3 {
        assert_eq!(
            applier
                .apply(&zone_out_update(), &planned.id, false)
                .unwrap(),
            accepted
        );
        assert_eq!(applier.outcome(&planned.id).unwrap(), accepted);
    }
    assert_eq!(store.head().unwrap().revision, ConfigRevision(2));
    // Declarations without a zone state leave the state unchanged.
    assert!(
        applier
            .plan(&full_update(BASE_DECLARATION))
            .unwrap()
            .changes
            .is_empty()
    );
}

/// Guards against an operator who unknowingly undoes another operator's change.
#[test]
fn stale_plan_is_refused_with_the_concurrent_change() {
    let store = base_store();
    let applier = applier(&store);
    let late = applier
        .plan(&full_update(
            &BASE_DECLARATION.replace("weight = 4", "weight = 5"),
        ))
        .unwrap();
    let first = applier.plan(&zone_out_update()).unwrap();
    applier.apply(&zone_out_update(), &first.id, false).unwrap();
    for outcome in [
        applier.apply(
            &full_update(&BASE_DECLARATION.replace("weight = 4", "weight = 5")),
            &late.id,
            false,
        ),
        applier.outcome(&late.id),
    ] {
        let ApplyOutcome::Refused { changed, .. } = outcome.unwrap() else {
            panic!("a plan whose base has moved was applied");
        };
        assert_eq!(changed.len(), 1);
        assert_eq!(changed[0].name, "vault-a");
    }
}

/// Guards against reporting a change as refused because the response to its commit was lost, and
/// against applying it twice.
#[test]
fn a_lost_response_is_resolved_by_the_plan_id() {
    let store = base_store();
    *store.fault.lock().unwrap() = StoreFault::LostAfterWrite;
    let planned = applier(&store).plan(&zone_out_update()).unwrap();
    let before = applier(&store).outcome(&planned.id).unwrap();
    assert!(matches!(before, ApplyOutcome::NotApplied { .. }));
    let lost = applier(&store)
        .apply(&zone_out_update(), &planned.id, false)
        .unwrap();
    assert!(matches!(lost, ApplyOutcome::Unknown { .. }));
    let resolved = applier(&store)
        .apply(&zone_out_update(), &planned.id, false)
        .unwrap();
    assert!(matches!(resolved, ApplyOutcome::Accepted { .. }));
    // A revision that a live node has not confirmed is not reported as accepted.
    *store.waiting.lock().unwrap() = true;
    let outcome = applier(&store).outcome(&planned.id).unwrap();
    assert!(matches!(outcome, ApplyOutcome::Unknown { .. }));
}

#[derive(Default)]
struct RecordAnnouncer(Mutex<Vec<(u64, u64)>>);

impl IntentAnnouncer for RecordAnnouncer {
    fn announce(&self, before: &ConfigSnapshot, after: &ConfigSnapshot) {
        let announced = (before.revision.0, after.revision.0);
        self.0.lock().unwrap().push(announced);
    }
}

/// Guards against notifying agents of a change that is not known to be committed, and against never
/// notifying them because the response to the commit was lost.
#[test]
fn a_change_is_announced_once_it_is_known_to_be_committed() {
    let store = base_store();
    *store.fault.lock().unwrap() = StoreFault::LostAfterWrite;
    let announcer = RecordAnnouncer::default();
    let mut applier = applier(&store);
    applier.announcer = Some(&announcer);
    let planned = applier.plan(&zone_out_update()).unwrap();
    applier
        .apply(&zone_out_update(), &planned.id, false)
        .unwrap();
    assert!(announcer.0.lock().unwrap().is_empty());
    applier
        .apply(&zone_out_update(), &planned.id, false)
        .unwrap();
    assert_eq!(*announcer.0.lock().unwrap(), [(1, 2)]);
}

/// Guards against applying a plan although a service has too few upstreams by now, without the
/// operator's consent.
#[test]
fn a_shortfall_needs_explicit_consent() {
    let store = base_store();
    let mut applier = applier(&store);
    let planned = applier.plan(&zone_out_update()).unwrap();
    applier.view = load([1, 1], 40);
    let refused = applier
        .apply(&zone_out_update(), &planned.id, false)
        .unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Conflict);
    assert_eq!(store.head().unwrap().revision, ConfigRevision(1));
    let outcome = applier
        .apply(&zone_out_update(), &planned.id, true)
        .unwrap();
    assert!(matches!(outcome, ApplyOutcome::Accepted { .. }));
}

/// Guards against handling unauthenticated requests, and against response statuses that differ from
/// the error table.
#[test]
fn admin_calls_need_an_operator_key_and_a_known_path() {
    let store = Arc::new(base_store());
    let operators = vec![KeyDigest::of("operator-key")];
    let admin = IntentAdmin::new(
        store.clone(),
        Arc::new(FixedLoad),
        operators,
        discard_logger(),
    );
    let call = |method, path, key, body: &str| {
        let request = AdminRequest {
            method,
            path,
            key,
            body: body.as_bytes(),
            now_ms: 0,
        };
        admin.handle(request).status
    };
    let key = Some("operator-key");
    assert_eq!(call("GET", "/v1/intent/status", None, ""), 401);
    assert_eq!(call("GET", "/v1/intent/status", Some("other"), ""), 401);
    assert_eq!(call("GET", "/v1/intent/status", key, ""), 200);
    assert_eq!(call("DELETE", "/v1/intent/status", key, ""), 404);
    assert_eq!(call("POST", "/v1/intent/plan", key, "{}"), 400);
    assert_eq!(call("GET", "/v1/intent/outcome/7", key, ""), 400);
    let body = serde_json::to_string(&zone_out_update()).unwrap();
    assert_eq!(call("POST", "/v1/intent/plan", key, &body), 200);
    let current = store.head().unwrap();
    let id = PlanId::derive(
        current.revision,
        &zone_out_update().target(&current, 0).unwrap(),
    );
    let apply = format!(r#"{{"statement": {body}, "plan": "{id}"}}"#);
    assert_eq!(call("POST", "/v1/intent/apply", key, &apply), 200);
    assert_eq!(
        call("GET", &format!("/v1/intent/outcome/{id}"), key, ""),
        200
    );
}
