//! Tests failures of the platform's store, alone and together with other failures, and concurrent
//! operators.
//!
//! Numbers such as G5 refer to the guarantees in `docs/proofs.md`.

use {
    catkindeck_system::{
        DeploymentSpec, TestDeployment,
        http::{HttpResponse, post_json, wait_for},
        spec::{DESK_KEY, LAB_KEY},
    },
    serde_json::{Value, json},
    std::{fs, thread},
};

/// The exit code of `apply` if another change was accepted after the plan was made.
const EXIT_CONFLICT: Option<i32> = Some(5);

fn complete(deployment: &TestDeployment, entry: usize, key: &str, prompt: &str) -> HttpResponse {
    let body = json!({"model": "drafting", "prompt": prompt, "max_tokens": 4});
    post_json(
        &format!("{}/v1/completions", deployment.caller_url(entry)),
        key,
        &body,
    )
}

fn complete_prompts(deployment: &TestDeployment, entry: usize, label: &str) {
    for turn in 0..10 {
        let response = complete(deployment, entry, DESK_KEY, &format!("{label} {turn}"));
        assert_eq!(response.status, 200, "{label}: {:?}", response.json());
    }
}

/// Plans the declarations in `file` and returns the plan's id.
fn plan_id(deployment: &TestDeployment, file: &str) -> String {
    let result = deployment.command(&["--json", "plan", file]);
    assert_eq!(result.exit_code, Some(0), "{result:?}");
    let plan: Value = serde_json::from_str(&result.stdout).expect("the plan is JSON");
    let id = plan["id"].as_str().or(plan["plan"]["id"].as_str());
    id.unwrap_or_else(|| panic!("the plan has no id: {plan}"))
        .to_owned()
}

/// Writes the current declarations to `file` with the weight of one customer changed.
fn write_changed_weight(deployment: &TestDeployment, file: &str, weight: u32) {
    let path = deployment.directory().join("declarations.toml");
    let text = fs::read_to_string(path).expect("declarations are readable");
    let changed = text.replacen("weight = 1", &format!("weight = {weight}"), 1);
    assert_ne!(text, changed);
    fs::write(deployment.directory().join(file), changed).expect("declarations are written");
}

/// Guarantees G6 and G16 (docs/proofs.md): once the command reports that a key's revocation is
/// applied, every entry rejects the key, while other keys remain valid.
#[test]
fn an_accepted_revocation_is_in_force_everywhere() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    complete_prompts(&deployment, 0, "before");
    let revoked = deployment.command(&["keys", "revoke", "desk-1", "--yes"]);
    assert_eq!(revoked.exit_code, Some(0), "{revoked:?}");
    for entry in 0..2 {
        let response = complete(&deployment, entry, DESK_KEY, "after");
        assert_eq!(
            response.error(),
            ("unauthenticated".to_owned(), "not_run".to_owned())
        );
        assert_eq!(complete(&deployment, entry, LAB_KEY, "other").status, 200);
    }
}

/// Guarantees G10 and G16 (docs/proofs.md): once the command reports that a zone is out, its
/// engines start no new requests.
#[test]
fn an_accepted_zone_out_is_in_force() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    let engines = [
        deployment.upstream_index("draft-b1"),
        deployment.upstream_index("draft-b2"),
    ];
    let executions = || -> usize {
        let counts = engines.map(|engine| deployment.upstream_state(engine)["runs"].clone());
        counts
            .iter()
            .filter_map(|counts| counts.as_object().map(serde_json::Map::len))
            .sum()
    };
    complete_prompts(&deployment, 0, "before");
    complete_prompts(&deployment, 1, "before");
    let out = deployment.command(&["zone", "out", "vault-b", "--yes", "--accept-shortfall"]);
    assert_eq!(out.exit_code, Some(0), "{out:?}");
    let before = executions();
    complete_prompts(&deployment, 0, "out");
    complete_prompts(&deployment, 1, "out");
    assert_eq!(executions(), before, "the zone received new requests");
    let back = deployment.command(&["zone", "in", "vault-b", "--yes"]);
    assert_eq!(back.exit_code, Some(0), "{back:?}");
    wait_for("requests in the returned zone", || {
        complete_prompts(&deployment, 0, "back");
        (executions() > before).then_some(())
    });
}

/// Guarantee G16 (docs/proofs.md): if two operators concurrently apply plans that are based on the
/// same revision, one plan is accepted, and the other is rejected without effect.
#[test]
fn one_of_two_racing_operators_wins() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    let files = ["first.toml", "second.toml"];
    for (index, file) in files.iter().enumerate() {
        write_changed_weight(
            &deployment,
            file,
            7 + u32::try_from(index).expect("it is small"),
        );
    }
    let plans = files.map(|file| plan_id(&deployment, file));
    let results = thread::scope(|scope| {
        let operators: Vec<_> = files
            .iter()
            .zip(&plans)
            .map(|(file, plan)| {
                let deployment = &deployment;
                scope.spawn(move || deployment.command(&["apply", "--plan", plan, file]))
            })
            .collect();
        let results = operators
            .into_iter()
            .map(|operator| operator.join().expect("the command finishes"));
        results.collect::<Vec<_>>()
    });
    let codes: Vec<Option<i32>> = results.iter().map(|result| result.exit_code).collect();
    let accepted = codes
        .iter()
        .filter(|exit_code| **exit_code == Some(0))
        .count();
    let conflicts = codes
        .iter()
        .filter(|exit_code| **exit_code == EXIT_CONFLICT)
        .count();
    assert_eq!((accepted, conflicts), (1, 1), "{results:?}");
    // Applying the accepted plan again succeeds; the rejected one stays rejected.
    for (exit_code, (file, plan)) in codes.iter().zip(files.iter().zip(&plans)) {
        let again = deployment.command(&["apply", "--plan", plan, file]);
        assert_eq!(again.exit_code, *exit_code, "{again:?}");
    }
}

/// Guarantee G16 (docs/proofs.md): if the store's responses are lost after a change has taken
/// effect, the change is made once, and the command reports the actual outcome.
#[test]
fn a_change_is_made_once_if_store_responses_are_lost() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    write_changed_weight(&deployment, "changed.toml", 9);
    let plan = plan_id(&deployment, "changed.toml");
    deployment
        .platform()
        .set_faults("store", &json!({"lose_answers": 4}));
    let applied = deployment.command(&["apply", "--plan", &plan, "changed.toml"]);
    deployment.platform().set_faults("store", &json!({}));
    if applied.exit_code != Some(0) {
        // The outcome is unknown at first; a query with the plan's id resolves it.
        assert_eq!(applied.exit_code, Some(9), "{applied:?}");
        wait_for("the outcome", || {
            (deployment
                .command(&["status", "--outcome", &plan])
                .exit_code
                == Some(0))
            .then_some(())
        });
    }
    let again = deployment.command(&["apply", "--plan", &plan, "changed.toml"]);
    assert_eq!(again.exit_code, Some(0), "{again:?}");
    let status = deployment.command(&["--json", "status"]);
    let status: Value = serde_json::from_str(&status.stdout).expect("the status is JSON");
    assert_eq!(status["revision"], 2, "{status}");
}

/// Callers must be served during a store outage in which an entry and an agent are killed.
///
/// An entry that restarts without stored state must get the configuration from its peer. Changes
/// must be rejected during the outage and accepted after it.
#[test]
fn an_outage_with_lost_processes_is_survived() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    complete_prompts(&deployment, 0, "before");
    write_changed_weight(&deployment, "changed.toml", 9);
    let plan = plan_id(&deployment, "changed.toml");
    deployment
        .platform()
        .set_faults("store", &json!({"outage": true}));

    let agent = deployment.upstream_index("draft-a1");
    deployment.agents[agent].kill();
    deployment.entries[1].kill();
    complete_prompts(&deployment, 0, "outage");
    deployment.restart_entry(1);
    deployment.restart_agent(agent);
    deployment.wait_until_ready();
    complete_prompts(&deployment, 1, "new entry");
    let rejected = deployment.command(&["apply", "--plan", &plan, "changed.toml"]);
    assert!(matches!(rejected.exit_code, Some(8 | 9)), "{rejected:?}");

    deployment.platform().set_faults("store", &json!({}));
    wait_for("the change after the outage", || {
        let applied = deployment.command(&["apply", "--plan", &plan, "changed.toml"]);
        (applied.exit_code == Some(0)).then_some(())
    });
    complete_prompts(&deployment, 0, "after");
    complete_prompts(&deployment, 1, "after");
}
