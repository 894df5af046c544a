//! Tests failures of single processes while requests are in progress.
//!
//! Numbers such as G5 refer to the guarantees in `docs/proofs.md`.

use {
    catkindeck::config::{ServiceKind, ZoneState},
    catkindeck_system::{
        DeploymentSpec, TestDeployment,
        http::{EventStream, HttpResponse, post_json, send, try_send, wait_for},
        spec::{DESK_KEY, LAB_KEY},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
    },
};

fn completion_body(prompt: &str, tokens: u32) -> Value {
    json!({"model": "drafting", "prompt": prompt, "max_tokens": tokens})
}

fn streamed_completion_body(prompt: &str, tokens: u32) -> Value {
    json!({"model": "drafting", "prompt": prompt, "max_tokens": tokens, "stream": true})
}

fn open_stream(deployment: &TestDeployment, entry: usize, key: &str, body: &Value) -> EventStream {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    EventStream::post(
        &format!("{}/v1/completions", deployment.caller_url(entry)),
        &headers,
        body,
    )
}

/// Concatenates the text of a stream's events.
fn stream_text(events: &[String]) -> String {
    let parsed = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok());
    parsed
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// Waits until an engine runs a request and returns its index.
fn find_busy_engine(deployment: &TestDeployment) -> usize {
    wait_for("a running request", || {
        deployment
            .spec
            .upstreams
            .iter()
            .enumerate()
            .find_map(|(index, upstream)| {
                let engine = upstream.kind == ServiceKind::Engine;
                let running = || deployment.upstream_state(index)["running"].as_u64();
                (engine && running() > Some(0)).then_some(index)
            })
    })
}

/// Sends enough requests that the customer's retry budget allows a few retries; each first attempt
/// adds 10 percent of a retry to the budget.
fn fill_retry_budget(deployment: &TestDeployment) {
    for entry in 0..deployment.spec.entries.len() {
        let url = format!("{}/v1/completions", deployment.caller_url(entry));
        for turn in 0..30 {
            let response = post_json(&url, DESK_KEY, &completion_body(&format!("earn {turn}"), 1));
            assert_eq!(response.status, 200, "{:?}", response.json());
        }
    }
}

fn engine_indices(deployment: &TestDeployment) -> Vec<usize> {
    let upstreams = deployment.spec.upstreams.iter().enumerate();
    upstreams
        .filter(|(_, u)| u.kind == ServiceKind::Engine)
        .map(|(index, _)| index)
        .collect()
}

/// Returns the number of requests executed by all plain services.
fn plain_service_executions(deployment: &TestDeployment) -> u64 {
    let upstreams = deployment.spec.upstreams.iter().enumerate();
    let services = upstreams.filter(|(_, upstream)| upstream.kind == ServiceKind::Plain);
    services
        .map(|(index, _)| {
            let state = deployment.upstream_state(index);
            let runs = state["runs"].as_object().cloned().unwrap_or_default();
            runs.values().filter_map(Value::as_u64).sum::<u64>()
        })
        .sum()
}

fn metric_value(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn wait_for_revision(deployment: &TestDeployment, upstream: usize, revision: u64) {
    let url = format!("http://{}/metrics", deployment.agent_health(upstream));
    wait_for("the configuration at the agent", || {
        let text = String::from_utf8(send("GET", &url, &[], b"").body).ok()?;
        let known = metric_value(&text, "catkindeck_agent_configuration_revision")?;
        (known >= revision as f64).then_some(())
    });
}

/// Guarantee G5 (docs/proofs.md): no API key, however it is sent, reaches an upstream or a log, and
/// no request body reaches a log.
#[test]
fn keys_stay_at_the_entry() {
    let deployment = TestDeployment::start(DeploymentSpec::minimal());
    let url = deployment.caller_url(0);
    let bearer = format!("Bearer {DESK_KEY}");
    let secret_body = b"the carton of case 4711";
    let url_with_key =
        format!("{url}/r/shelf-lookup/a?api_key={DESK_KEY}&rack=7&Access_Token={DESK_KEY}");
    let request_forms: [(&str, Vec<(&str, &str)>); 4] = [
        (&url_with_key, vec![("X-API-KEY", DESK_KEY)]),
        (
            &url_with_key,
            vec![("authorization", &bearer), ("x-api-key", DESK_KEY)],
        ),
        (
            &url_with_key,
            vec![("AUTHORIZATION", &bearer), ("Authorization", &bearer)],
        ),
        (
            &url_with_key,
            vec![("authorization", &bearer), ("x-custom-key", DESK_KEY)],
        ),
    ];
    for (target_url, headers) in &request_forms {
        let response = send("POST", target_url, headers, secret_body);
        assert_eq!(response.status, 200, "{:?}", response.json());
    }
    let completed = post_json(
        &format!("{url}/v1/completions"),
        DESK_KEY,
        &completion_body("a slip", 4),
    );
    assert_eq!(completed.status, 200);

    let service = deployment.upstream_state(deployment.upstream_index("desk-a"));
    let recorded_requests = service["calls"].as_array().expect("calls are recorded");
    assert_eq!(recorded_requests.len(), request_forms.len());
    assert!(
        service.to_string().contains("rack=7"),
        "the other query parameters are forwarded"
    );
    assert!(
        !service.to_string().contains(DESK_KEY),
        "the service received the key: {service}"
    );
    let engine = deployment.upstream_state(deployment.upstream_index("draft-a1"));
    assert!(!engine.to_string().contains(DESK_KEY));
    let logs = deployment.all_logs();
    assert!(!logs.is_empty());
    for secret in [DESK_KEY, "case 4711", "a slip"] {
        assert!(!logs.contains(secret), "a log contains `{secret}`");
    }
}

/// Guarantee G6 (docs/proofs.md): revoking a key ends its open streams with a terminal error and
/// rejects new requests, while the streams of other customers continue to their end.
#[test]
fn a_revoked_key_ends_its_streams_only() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones());
    for engine in engine_indices(&deployment) {
        deployment.control_upstream(engine, "settings", &json!({"token_ms": 20}));
    }
    let mut revoked = open_stream(
        &deployment,
        0,
        DESK_KEY,
        &streamed_completion_body("first", 4000),
    );
    let mut other = open_stream(
        &deployment,
        0,
        LAB_KEY,
        &streamed_completion_body("second", 150),
    );
    assert!(revoked.next_data().is_some());
    assert!(other.next_data().is_some());

    deployment.change_configuration(|snapshot| {
        snapshot.keys.retain(|key| key.customer.as_str() != "desk")
    });
    let events = revoked.collect();
    let last = events.last().expect("the stream ends with an error");
    assert!(last.contains("key_revoked"), "{last}");
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let rejected = post_json(&url, DESK_KEY, &completion_body("again", 1));
    assert_eq!(
        rejected.error(),
        ("unauthenticated".to_owned(), "not_run".to_owned())
    );
    assert_eq!(other.collect().last().map(String::as_str), Some("[DONE]"));
}

/// Guarantees G1 and G11 (docs/proofs.md): if the agent of a stream is killed, the response
/// continues at another upstream, is complete, and lists the weight version of each part.
///
/// Every engine has another weight version, so the response has two parts with different versions.
#[test]
fn a_killed_agent_leaves_a_whole_and_truly_labelled_answer() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones());
    for (version, engine) in engine_indices(&deployment).into_iter().enumerate() {
        let settings = json!({"token_ms": 10, "boot_version": version + 5});
        deployment.control_upstream(engine, "settings", &settings);
        deployment.control_upstream(engine, "crash", &json!({}));
    }
    fill_retry_budget(&deployment);
    let expected = post_json(
        &format!("{}/v1/completions", deployment.caller_url(0)),
        DESK_KEY,
        &completion_body("kill", 100),
    );
    assert_eq!(expected.status, 200, "{:?}", expected.json());

    let mut stream = open_stream(
        &deployment,
        0,
        DESK_KEY,
        &streamed_completion_body("kill", 100),
    );
    let mut events: Vec<String> = (0..10).filter_map(|_| stream.next_data()).collect();
    let busy = find_busy_engine(&deployment);
    deployment.agents[busy].kill();
    events.extend(stream.collect());
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(
        stream_text(&events),
        expected.json()["choices"][0]["text"].as_str().unwrap()
    );

    let versions = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["catkindeck"]["versions"].as_array().cloned())
        .next_back()
        .expect("an event lists the versions");
    assert_eq!(versions.len(), 2, "{versions:?}");
    assert_eq!(
        versions[0]["version"],
        json!(engine_version(&deployment, busy))
    );
    assert_eq!(versions[1]["end"], 100);
    assert_eq!(versions[0]["end"], versions[1]["start"]);
    assert_ne!(versions[0]["version"], versions[1]["version"]);
}

fn engine_version(deployment: &TestDeployment, engine: usize) -> Value {
    deployment.upstream_state(engine)["version"].clone()
}

/// Guarantees G12 and G13 (docs/proofs.md): if an agent is killed during a request that is not
/// idempotent, the request is not executed again, and the caller is told that its outcome is
/// unknown.
#[test]
fn a_lost_call_is_unknown_and_not_repeated() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones());
    let services = [
        deployment.upstream_index("desk-a"),
        deployment.upstream_index("desk-b"),
    ];
    for service in services {
        deployment.control_upstream(service, "settings", &json!({"latency_ms": 3000}));
    }
    let url = format!("{}/r/carton-request/rack/9", deployment.caller_url(0));
    let bearer = format!("Bearer {DESK_KEY}");
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| send("POST", &url, &[("authorization", &bearer)], b"carton 9"));
        let busy = wait_for("a running request", || {
            services
                .into_iter()
                .find(|service| deployment.upstream_state(*service)["running"].as_u64() > Some(0))
        });
        deployment.agents[busy].kill();
        caller.join().expect("the caller ends")
    });
    assert_eq!(response.error().1, "unknown", "{:?}", response.json());
    assert_eq!(plain_service_executions(&deployment), 1);
}

/// Guarantee G13 (docs/proofs.md): if an entry is killed during a request with an idempotency key
/// and the caller repeats the request through another entry, it is executed only once.
#[test]
fn an_idempotency_key_is_found_through_another_entry() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones());
    let services = [
        deployment.upstream_index("desk-a"),
        deployment.upstream_index("desk-b"),
    ];
    for service in services {
        deployment.control_upstream(service, "settings", &json!({"latency_ms": 1000}));
    }
    let bearer = format!("Bearer {DESK_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "carton-12"),
    ];
    let urls: Vec<String> = (0..2)
        .map(|entry| format!("{}/r/carton-request/rack/12", deployment.caller_url(entry)))
        .collect();
    thread::scope(|scope| {
        let first = scope.spawn(|| try_send("POST", &urls[0], &headers, b"carton 12"));
        wait_for("a running request", || {
            (plain_service_executions(&deployment) > 0).then_some(())
        });
        deployment.entries[0].kill();
        assert!(
            first.join().expect("the caller ends").is_err(),
            "the connection was closed"
        );
    });
    let response = wait_for("the stored response", || {
        let response = send("POST", &urls[1], &headers, b"carton 12");
        if response.status != 200 {
            // The outcome is unknown while the first execution is in progress.
            assert_eq!(response.error().1, "unknown", "{:?}", response.json());
        }
        (response.status == 200).then_some(response)
    });
    assert_eq!(response.json()["path"], "/rack/12", "{:?}", response.json());
    assert_eq!(plain_service_executions(&deployment), 1);
    let other_body = send("POST", &urls[1], &headers, b"carton 13");
    assert_eq!(
        other_body.error(),
        ("conflict".to_owned(), "not_run".to_owned())
    );
    assert_eq!(plain_service_executions(&deployment), 1);
}

/// A request that crashes every engine and that its caller keeps repeating must be quarantined, so
/// that the customer's other requests are served.
#[test]
fn a_crashing_request_is_quarantined_and_others_are_served() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones());
    let url = |entry| format!("{}/v1/completions", deployment.caller_url(entry));
    fill_retry_budget(&deployment);
    let crashing = completion_body("crash-the-engine please", 8);
    let responses: Vec<HttpResponse> = (0..6)
        .map(|turn| post_json(&url(turn % 2), DESK_KEY, &crashing))
        .collect();
    assert!(responses.iter().all(|response| response.status != 200));
    assert_eq!(
        responses.last().expect("there are six responses").error(),
        ("quarantined".to_owned(), "not_run".to_owned())
    );
    let crashes: u64 = engine_indices(&deployment)
        .into_iter()
        .filter_map(|engine| deployment.upstream_state(engine)["crashes"].as_u64())
        .sum();
    assert_eq!(crashes, 2, "{responses:?}");
    for turn in 0..10 {
        let other = post_json(
            &url(turn % 2),
            DESK_KEY,
            &completion_body(&format!("slip {turn}"), 4),
        );
        assert_eq!(other.status, 200, "{:?}", other.json());
    }
}

/// Guarantee G15 (docs/proofs.md): while an agent and an entry shut down gracefully under load, no
/// response is truncated, and a rejected request is not executed.
#[test]
fn shutdowns_cut_no_request() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones());
    for engine in engine_indices(&deployment) {
        deployment.control_upstream(engine, "settings", &json!({"token_ms": 5}));
    }
    let (finished, rejected) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (stop, first_is_ready) = (AtomicBool::new(false), AtomicBool::new(true));
    let urls: Vec<String> = (0..2)
        .map(|entry| format!("{}/v1/completions", deployment.caller_url(entry)))
        .collect();
    let bearer = format!("Bearer {DESK_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    thread::scope(|scope| {
        for caller in 0..12 {
            let (finished, rejected, stop, urls, headers, first_is_ready) = (
                &finished,
                &rejected,
                &stop,
                &urls,
                &headers,
                &first_is_ready,
            );
            scope.spawn(move || {
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let body = completion_body(&format!("{caller} {turn}"), 40).to_string();
                    // Like a load balancer, send to the first entry that passed the last readiness
                    // check.
                    let entry = usize::from(!first_is_ready.load(Ordering::Relaxed));
                    let response = try_send("POST", &urls[entry], headers, body.as_bytes())
                        .unwrap_or_else(|error| panic!("a response was truncated: {error}"));
                    if response.status == 200 {
                        assert_eq!(response.json()["usage"]["completion_tokens"], 40);
                        finished.fetch_add(1, Ordering::Relaxed);
                    } else {
                        assert_eq!(response.error().1, "not_run", "{:?}", response.json());
                        rejected.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        let wait_for_finished = |count: usize| {
            wait_for("finished requests", || {
                (finished.load(Ordering::Relaxed) >= count).then_some(())
            });
        };
        wait_for_finished(20);
        let draining = deployment.upstream_index("draft-a1");
        deployment.agents[draining].terminate();
        wait_for_finished(finished.load(Ordering::Relaxed) + 40);
        deployment.entries[0].terminate();
        wait_for("the entry to become unready", || {
            (!deployment.is_ready(0)).then_some(())
        });
        first_is_ready.store(false, Ordering::Relaxed);
        assert!(
            deployment.entries[0].wait().success(),
            "the entry shuts down gracefully"
        );
        wait_for_finished(finished.load(Ordering::Relaxed) + 40);
        stop.store(true, Ordering::Relaxed);
    });
    let draining = deployment.upstream_index("draft-a1");
    assert!(
        deployment.agents[draining].wait().success(),
        "the agent shuts down gracefully"
    );
}

/// A second termination signal must end an agent that waits for its usage to be collected.
///
/// Guards against agents that ignore the signal; three such agents were still running 20 s after
/// it.
#[test]
fn a_second_signal_ends_a_waiting_agent() {
    let mut spec = DeploymentSpec::minimal();
    spec.drain_collect_ms = 600_000;
    let mut deployment = TestDeployment::start(spec);
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    assert_eq!(
        post_json(&url, DESK_KEY, &completion_body("a slip", 4)).status,
        200
    );

    let index = deployment.upstream_index("draft-a1");
    let agent = &mut deployment.agents[index];
    agent.terminate();
    wait_for("the drain", || {
        agent.log_text().contains("drain_complete").then_some(())
    });
    agent.terminate();
    wait_for("the agent's exit", || (!agent.is_running()).then_some(()));
}

/// Guarantee G10 (docs/proofs.md): once the configuration that takes a zone out has reached the
/// zone's agents, no request starts in the zone, although requests in progress may finish.
///
/// After the zone has returned, it must be used again.
#[test]
fn a_zone_out_gets_no_new_work() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones());
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let zone_b: Vec<usize> = engine_indices(&deployment)
        .into_iter()
        .filter(|engine| deployment.spec.upstreams[*engine].zone == "vault-b")
        .collect();
    let executions_in_zone_b = |deployment: &TestDeployment| -> usize {
        let counts = zone_b
            .iter()
            .map(|engine| deployment.upstream_state(*engine)["runs"].clone());
        counts
            .filter_map(|counts| counts.as_object().map(serde_json::Map::len))
            .sum()
    };
    let set_zone = |deployment: &mut TestDeployment, state: ZoneState| {
        deployment.change_configuration(|snapshot| {
            let zone = snapshot
                .zones
                .iter_mut()
                .find(|zone| zone.name.as_str() == "vault-b");
            zone.expect("the zone is declared").state = state;
        });
    };
    let send_completions = |from: u32| {
        for turn in from..from + 40 {
            let response = post_json(&url, DESK_KEY, &completion_body(&format!("slip {turn}"), 2));
            assert_eq!(response.status, 200, "{:?}", response.json());
        }
    };
    send_completions(0);
    assert!(
        executions_in_zone_b(&deployment) > 0,
        "the zone is used before it is out"
    );

    set_zone(&mut deployment, ZoneState::Out);
    zone_b
        .iter()
        .for_each(|engine| wait_for_revision(&deployment, *engine, 2));
    let before = executions_in_zone_b(&deployment);
    send_completions(100);
    assert_eq!(
        executions_in_zone_b(&deployment),
        before,
        "the zone received new requests"
    );

    set_zone(&mut deployment, ZoneState::In);
    zone_b
        .iter()
        .for_each(|engine| wait_for_revision(&deployment, *engine, 3));
    wait_for("requests in the returned zone", || {
        send_completions(200);
        (executions_in_zone_b(&deployment) > before).then_some(())
    });
}

/// Guarantee G9 (docs/proofs.md): an engine that crashes and restarts cold under load never
/// receives more requests than a cold engine can run.
#[test]
fn a_cold_engine_is_not_overloaded() {
    let mut spec = DeploymentSpec::two_zones();
    spec.engine_limits = (16, 2);
    spec.engine_cold_start_ms = 3_600_000;
    let deployment = TestDeployment::start(spec);
    let cold = engine_indices(&deployment)[0];
    let settings = json!({"cold_ms": 3_600_000, "cold_slots": 2, "slots": 16, "token_ms": 3});
    deployment.control_upstream(cold, "settings", &settings);
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let load = |count: usize, name: &str| {
        thread::scope(|scope| {
            for caller in 0..24 {
                let url = &url;
                scope.spawn(move || {
                    for turn in 0..count {
                        let prompt = format!("{name} {caller} {turn}");
                        let response = post_json(url, DESK_KEY, &completion_body(&prompt, 10));
                        assert_eq!(response.status, 200, "{:?}", response.json());
                    }
                });
            }
        });
    };
    load(10, "warm up");
    deployment.control_upstream(cold, "crash", &json!({}));
    load(10, "cold");
    let state = deployment.upstream_state(cold);
    assert_eq!(state["overload_failures"], 0, "{state}");
    assert!(
        state["completed"].as_u64() > Some(0),
        "the cold engine completed no request: {state}"
    );
}

/// Guarantee G11 (docs/proofs.md): if an agent is suspended in the middle of responses and resumed,
/// the late responses are complete and reach the right callers.
#[test]
fn late_answers_are_whole_and_not_crossed() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones());
    for engine in engine_indices(&deployment) {
        deployment.control_upstream(engine, "settings", &json!({"token_ms": 5}));
    }
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let responses: BTreeMap<usize, HttpResponse> = thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|caller| {
                let url = &url;
                scope.spawn(move || {
                    let body = completion_body(&format!("own prompt {caller}"), 60);
                    (caller, post_json(url, DESK_KEY, &body))
                })
            })
            .collect();
        let busy = find_busy_engine(&deployment);
        deployment.agents[busy].suspend();
        let other_engine = wait_for("a completed request at another engine", || {
            engine_indices(&deployment).into_iter().find(|engine| {
                *engine != busy
                    && deployment.upstream_state(*engine)["completed"].as_u64() > Some(0)
            })
        });
        assert_ne!(other_engine, busy);
        deployment.agents[busy].resume();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller ends"))
            .collect()
    });
    for (caller, response) in &responses {
        assert_eq!(response.status, 200, "{:?}", response.json());
        let again = post_json(
            &url,
            DESK_KEY,
            &completion_body(&format!("own prompt {caller}"), 60),
        );
        assert_eq!(
            response.json()["choices"][0]["text"],
            again.json()["choices"][0]["text"]
        );
    }
}
