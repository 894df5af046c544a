//! Failures of single processes, with requests in progress.

use {
    catkindeck::config::{ServiceKind, ZoneState},
    catkindeck_system::{
        DeploymentShape, TestDeployment,
        http::{EventStream, HttpAnswer, call, post_json, try_call, wait_for},
        shape::{FIRST_KEY, SECOND_KEY},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
    },
};

fn completion(prompt: &str, tokens: u32) -> Value {
    json!({"model": "drafting", "prompt": prompt, "max_tokens": tokens})
}

fn streamed(prompt: &str, tokens: u32) -> Value {
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

/// Returns the text of a stream's events.
fn text_of(events: &[String]) -> String {
    let parsed = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok());
    parsed
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// Returns the position of the engine that has a request running.
fn busy_engine(deployment: &TestDeployment) -> usize {
    wait_for("a running request", || {
        deployment
            .shape
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

/// Serves enough requests that the customer's retry budget, which first attempts pay for at 10
/// percent, holds a few retries.
fn earn_retries(deployment: &TestDeployment) {
    for entry in 0..deployment.shape.entries.len() {
        let url = format!("{}/v1/completions", deployment.caller_url(entry));
        for turn in 0..30 {
            let answer = post_json(&url, FIRST_KEY, &completion(&format!("earn {turn}"), 1));
            assert_eq!(answer.status, 200, "{:?}", answer.json());
        }
    }
}

fn engines(deployment: &TestDeployment) -> Vec<usize> {
    let upstreams = deployment.shape.upstreams.iter().enumerate();
    upstreams
        .filter(|(_, u)| u.kind == ServiceKind::Engine)
        .map(|(index, _)| index)
        .collect()
}

/// Returns the number of runs at all plain services.
fn service_runs(deployment: &TestDeployment) -> u64 {
    let upstreams = deployment.shape.upstreams.iter().enumerate();
    let services = upstreams.filter(|(_, upstream)| upstream.kind == ServiceKind::Plain);
    services
        .map(|(index, _)| {
            let state = deployment.upstream_state(index);
            let runs = state["runs"].as_object().cloned().unwrap_or_default();
            runs.values().filter_map(Value::as_u64).sum::<u64>()
        })
        .sum()
}

fn metric(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn wait_revision(deployment: &TestDeployment, upstream: usize, revision: u64) {
    let url = format!("http://{}/metrics", deployment.agent_health(upstream));
    wait_for("the configuration at the agent", || {
        let text = String::from_utf8(call("GET", &url, &[], b"").body).ok()?;
        let known = metric(&text, "catkindeck_agent_configuration_revision")?;
        (known >= revision as f64).then_some(())
    });
}

/// Guards G5 and the logs: no key in any form reaches an upstream or a log, and no body a log.
#[test]
fn keys_stay_at_the_entry() {
    let deployment = TestDeployment::start(DeploymentShape::smallest());
    let url = deployment.caller_url(0);
    let bearer = format!("Bearer {FIRST_KEY}");
    let secret_body = b"the carton of case 4711";
    let queried =
        format!("{url}/r/shelf-lookup/a?api_key={FIRST_KEY}&rack=7&Access_Token={FIRST_KEY}");
    let forms: [(&str, Vec<(&str, &str)>); 4] = [
        (&queried, vec![("X-API-KEY", FIRST_KEY)]),
        (
            &queried,
            vec![("authorization", &bearer), ("x-api-key", FIRST_KEY)],
        ),
        (
            &queried,
            vec![("AUTHORIZATION", &bearer), ("Authorization", &bearer)],
        ),
        (
            &queried,
            vec![("authorization", &bearer), ("x-custom-key", FIRST_KEY)],
        ),
    ];
    for (target, headers) in &forms {
        let answer = call("POST", target, headers, secret_body);
        assert_eq!(answer.status, 200, "{:?}", answer.json());
    }
    let whole = post_json(
        &format!("{url}/v1/completions"),
        FIRST_KEY,
        &completion("a slip", 4),
    );
    assert_eq!(whole.status, 200);

    let desk = deployment.upstream_state(deployment.upstream_index("desk-a"));
    let calls = desk["calls"].as_array().expect("calls are recorded");
    assert_eq!(calls.len(), forms.len());
    assert!(
        desk.to_string().contains("rack=7"),
        "the rest of the query is passed on"
    );
    assert!(
        !desk.to_string().contains(FIRST_KEY),
        "the service saw the key: {desk}"
    );
    let engine = deployment.upstream_state(deployment.upstream_index("draft-a1"));
    assert!(!engine.to_string().contains(FIRST_KEY));
    let logs = deployment.all_logs();
    assert!(!logs.is_empty());
    for secret in [FIRST_KEY, "case 4711", "a slip"] {
        assert!(!logs.contains(secret), "a log holds `{secret}`");
    }
}

/// Guards G6: a revoked key ends its open stream with a terminal error and opens no new request,
/// while another customer's stream goes on to its end.
#[test]
fn a_revoked_key_ends_its_streams_only() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones());
    for engine in engines(&deployment) {
        deployment.upstream_control(engine, "settings", &json!({"token_ms": 20}));
    }
    let mut revoked = open_stream(&deployment, 0, FIRST_KEY, &streamed("first", 4000));
    let mut other = open_stream(&deployment, 0, SECOND_KEY, &streamed("second", 150));
    assert!(revoked.next_data().is_some());
    assert!(other.next_data().is_some());

    deployment.change(|snapshot| snapshot.keys.retain(|key| key.customer.as_str() != "desk"));
    let events = revoked.collect();
    let last = events.last().expect("the stream ends with an error");
    assert!(last.contains("key_revoked"), "{last}");
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let refused = post_json(&url, FIRST_KEY, &completion("again", 1));
    assert_eq!(
        refused.error(),
        ("unauthenticated".to_owned(), "not_run".to_owned())
    );
    assert_eq!(other.collect().last().map(String::as_str), Some("[DONE]"));
}

/// Guards G1 and G11: the agent of a stream is killed; the answer goes on at another upstream with
/// other weights, is whole, and names the version of each part.
#[test]
fn a_killed_agent_leaves_a_whole_and_truly_labelled_answer() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones());
    for (version, engine) in engines(&deployment).into_iter().enumerate() {
        let settings = json!({"token_ms": 10, "boot_version": version + 5});
        deployment.upstream_control(engine, "settings", &settings);
        deployment.upstream_control(engine, "crash", &json!({}));
    }
    earn_retries(&deployment);
    let expected = post_json(
        &format!("{}/v1/completions", deployment.caller_url(0)),
        FIRST_KEY,
        &completion("kill", 100),
    );
    assert_eq!(expected.status, 200, "{:?}", expected.json());

    let mut stream = open_stream(&deployment, 0, FIRST_KEY, &streamed("kill", 100));
    let mut events: Vec<String> = (0..10).filter_map(|_| stream.next_data()).collect();
    let busy = busy_engine(&deployment);
    deployment.agents[busy].kill();
    events.extend(stream.collect());
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(
        text_of(&events),
        expected.json()["choices"][0]["text"].as_str().unwrap()
    );

    let labelled = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["catkindeck"]["versions"].as_array().cloned())
        .next_back()
        .expect("the last part names the versions");
    assert_eq!(labelled.len(), 2, "{labelled:?}");
    assert_eq!(
        labelled[0]["version"],
        json!(busy_version(&deployment, busy))
    );
    assert_eq!(labelled[1]["end"], 100);
    assert_eq!(labelled[0]["end"], labelled[1]["start"]);
    assert_ne!(labelled[0]["version"], labelled[1]["version"]);
}

fn busy_version(deployment: &TestDeployment, engine: usize) -> Value {
    deployment.upstream_state(engine)["version"].clone()
}

/// Guards G12 and G13: the agent is killed while its service runs a call that must not be repeated;
/// the caller is told that the outcome is unknown, and the call ran once.
#[test]
fn a_lost_call_is_unknown_and_not_repeated() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones());
    let desks = [
        deployment.upstream_index("desk-a"),
        deployment.upstream_index("desk-b"),
    ];
    for desk in desks {
        deployment.upstream_control(desk, "settings", &json!({"latency_ms": 3000}));
    }
    let url = format!("{}/r/carton-request/rack/9", deployment.caller_url(0));
    let bearer = format!("Bearer {FIRST_KEY}");
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| call("POST", &url, &[("authorization", &bearer)], b"carton 9"));
        let busy = wait_for("a running call", || {
            desks
                .into_iter()
                .find(|desk| deployment.upstream_state(*desk)["running"].as_u64() > Some(0))
        });
        deployment.agents[busy].kill();
        caller.join().expect("the caller ends")
    });
    assert_eq!(answer.error().1, "unknown", "{:?}", answer.json());
    assert_eq!(service_runs(&deployment), 1);
}

/// Guards G13: the entry dies in the middle of a call with an idempotency key, and its caller sends
/// the call again through another entry.
#[test]
fn an_idempotency_key_is_found_through_another_entry() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones());
    let desks = [
        deployment.upstream_index("desk-a"),
        deployment.upstream_index("desk-b"),
    ];
    for desk in desks {
        deployment.upstream_control(desk, "settings", &json!({"latency_ms": 1000}));
    }
    let bearer = format!("Bearer {FIRST_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "carton-12"),
    ];
    let urls: Vec<String> = (0..2)
        .map(|entry| format!("{}/r/carton-request/rack/12", deployment.caller_url(entry)))
        .collect();
    thread::scope(|scope| {
        let first = scope.spawn(|| try_call("POST", &urls[0], &headers, b"carton 12"));
        wait_for("a running call", || {
            (service_runs(&deployment) > 0).then_some(())
        });
        deployment.entries[0].kill();
        assert!(
            first.join().expect("the caller ends").is_err(),
            "the connection was cut"
        );
    });
    let answer = wait_for("the stored answer", || {
        let answer = call("POST", &urls[1], &headers, b"carton 12");
        if answer.status != 200 {
            // While the first run is in progress its outcome is not known.
            assert_eq!(answer.error().1, "unknown", "{:?}", answer.json());
        }
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(answer.json()["path"], "/rack/12", "{:?}", answer.json());
    assert_eq!(service_runs(&deployment), 1);
    let other_body = call("POST", &urls[1], &headers, b"carton 13");
    assert_eq!(
        other_body.error(),
        ("conflict".to_owned(), "not_run".to_owned())
    );
    assert_eq!(service_runs(&deployment), 1);
}

/// Guards the rest of a customer's work against one request that crashes each engine that runs it,
/// and whose caller sends it again.
#[test]
fn a_crashing_request_is_quarantined_and_others_are_served() {
    let deployment = TestDeployment::start(DeploymentShape::two_zones());
    let url = |entry| format!("{}/v1/completions", deployment.caller_url(entry));
    earn_retries(&deployment);
    let crashing = completion("crash-the-engine please", 8);
    let answers: Vec<HttpAnswer> = (0..6)
        .map(|turn| post_json(&url(turn % 2), FIRST_KEY, &crashing))
        .collect();
    assert!(answers.iter().all(|answer| answer.status != 200));
    assert_eq!(
        answers.last().expect("six answers").error(),
        ("quarantined".to_owned(), "not_run".to_owned())
    );
    let crashes: u64 = engines(&deployment)
        .into_iter()
        .filter_map(|engine| deployment.upstream_state(engine)["crashes"].as_u64())
        .sum();
    assert_eq!(crashes, 2, "{answers:?}");
    for turn in 0..10 {
        let other = post_json(
            &url(turn % 2),
            FIRST_KEY,
            &completion(&format!("slip {turn}"), 4),
        );
        assert_eq!(other.status, 200, "{:?}", other.json());
    }
}

/// Guards G15: entries and agents are asked to end under load; every request that got an answer's
/// beginning gets the rest, and what was refused was not run.
#[test]
fn shutdowns_cut_no_request() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones());
    for engine in engines(&deployment) {
        deployment.upstream_control(engine, "settings", &json!({"token_ms": 5}));
    }
    let (finished, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (stop, first_is_ready) = (AtomicBool::new(false), AtomicBool::new(true));
    let urls: Vec<String> = (0..2)
        .map(|entry| format!("{}/v1/completions", deployment.caller_url(entry)))
        .collect();
    let bearer = format!("Bearer {FIRST_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    thread::scope(|scope| {
        for caller in 0..12 {
            let (finished, refused, stop, urls, headers, first_is_ready) =
                (&finished, &refused, &stop, &urls, &headers, &first_is_ready);
            scope.spawn(move || {
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let body = completion(&format!("{caller} {turn}"), 40).to_string();
                    // The balancer sends to the first entry that it saw ready when it last asked.
                    let entry = usize::from(!first_is_ready.load(Ordering::Relaxed));
                    let answer = try_call("POST", &urls[entry], headers, body.as_bytes())
                        .unwrap_or_else(|error| panic!("a request was cut: {error}"));
                    if answer.status == 200 {
                        assert_eq!(answer.json()["usage"]["completion_tokens"], 40);
                        finished.fetch_add(1, Ordering::Relaxed);
                    } else {
                        assert_eq!(answer.error().1, "not_run", "{:?}", answer.json());
                        refused.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        let reach = |count: usize| {
            wait_for("finished requests", || {
                (finished.load(Ordering::Relaxed) >= count).then_some(())
            });
        };
        reach(20);
        let leaving = deployment.upstream_index("draft-a1");
        deployment.agents[leaving].terminate();
        reach(finished.load(Ordering::Relaxed) + 40);
        deployment.entries[0].terminate();
        wait_for("the entry to become unready", || {
            (!deployment.is_ready(0)).then_some(())
        });
        first_is_ready.store(false, Ordering::Relaxed);
        assert!(
            deployment.entries[0].wait().success(),
            "the entry ends gracefully"
        );
        reach(finished.load(Ordering::Relaxed) + 40);
        stop.store(true, Ordering::Relaxed);
    });
    let leaving = deployment.upstream_index("draft-a1");
    assert!(
        deployment.agents[leaving].wait().success(),
        "the agent ends gracefully"
    );
}

/// Guards against an agent that cannot be ended: after a second signal it no longer waits until its
/// usage was collected. In a trial three agents were still running 20 s after the second signal.
#[test]
fn a_second_signal_ends_a_waiting_agent() {
    let mut shape = DeploymentShape::smallest();
    shape.drain_collect_ms = 600_000;
    let mut deployment = TestDeployment::start(shape);
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    assert_eq!(
        post_json(&url, FIRST_KEY, &completion("a slip", 4)).status,
        200
    );

    let index = deployment.upstream_index("draft-a1");
    let agent = &mut deployment.agents[index];
    agent.terminate();
    wait_for("the drain", || {
        agent.log_text().contains("drain_complete").then_some(())
    });
    agent.terminate();
    wait_for("the end of the agent", || {
        (!agent.is_running()).then_some(())
    });
}

/// Guards G10: once the configuration that takes a zone out has reached its agents, no request
/// starts there, while work in progress ends; after its return it is used again.
#[test]
fn a_zone_out_gets_no_new_work() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones());
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let zone_b: Vec<usize> = engines(&deployment)
        .into_iter()
        .filter(|engine| deployment.shape.upstreams[*engine].zone == "vault-b")
        .collect();
    let started_in_b = |deployment: &TestDeployment| -> usize {
        let runs = zone_b
            .iter()
            .map(|engine| deployment.upstream_state(*engine)["runs"].clone());
        runs.filter_map(|runs| runs.as_object().map(serde_json::Map::len))
            .sum()
    };
    let set_zone = |deployment: &mut TestDeployment, state: ZoneState| {
        deployment.change(|snapshot| {
            let zone = snapshot
                .zones
                .iter_mut()
                .find(|zone| zone.name.as_str() == "vault-b");
            zone.expect("the zone is declared").state = state;
        });
    };
    let send = |from: u32| {
        for turn in from..from + 40 {
            let answer = post_json(&url, FIRST_KEY, &completion(&format!("slip {turn}"), 2));
            assert_eq!(answer.status, 200, "{:?}", answer.json());
        }
    };
    send(0);
    assert!(started_in_b(&deployment) > 0, "the zone is used before");

    set_zone(&mut deployment, ZoneState::Out);
    zone_b
        .iter()
        .for_each(|engine| wait_revision(&deployment, *engine, 2));
    let before = started_in_b(&deployment);
    send(100);
    assert_eq!(started_in_b(&deployment), before, "the zone got new work");

    set_zone(&mut deployment, ZoneState::In);
    zone_b
        .iter()
        .for_each(|engine| wait_revision(&deployment, *engine, 3));
    wait_for("work in the zone that returned", || {
        send(200);
        (started_in_b(&deployment) > before).then_some(())
    });
}

/// Guards G9: an engine restarts cold without warning under load; it is never sent more than a
/// cold engine bears.
#[test]
fn a_cold_engine_is_not_overloaded() {
    let mut shape = DeploymentShape::two_zones();
    shape.engine_limits = (16, 2);
    shape.engine_cold_start_ms = 3_600_000;
    let deployment = TestDeployment::start(shape);
    let cold = engines(&deployment)[0];
    let settings = json!({"cold_ms": 3_600_000, "cold_slots": 2, "slots": 16, "token_ms": 3});
    deployment.upstream_control(cold, "settings", &settings);
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let load = |count: usize, name: &str| {
        thread::scope(|scope| {
            for caller in 0..24 {
                let url = &url;
                scope.spawn(move || {
                    for turn in 0..count {
                        let prompt = format!("{name} {caller} {turn}");
                        let answer = post_json(url, FIRST_KEY, &completion(&prompt, 10));
                        assert_eq!(answer.status, 200, "{:?}", answer.json());
                    }
                });
            }
        });
    };
    load(10, "warm up");
    deployment.upstream_control(cold, "crash", &json!({}));
    load(10, "cold");
    let state = deployment.upstream_state(cold);
    assert_eq!(state["overload_failures"], 0, "{state}");
    assert!(
        state["completed"].as_u64() > Some(0),
        "the cold engine was used: {state}"
    );
}

/// Guards G11: an agent is suspended in the middle of answers and continued; late answers reach
/// their own callers whole.
#[test]
fn late_answers_are_whole_and_not_crossed() {
    let deployment = TestDeployment::start(DeploymentShape::two_zones());
    for engine in engines(&deployment) {
        deployment.upstream_control(engine, "settings", &json!({"token_ms": 5}));
    }
    let url = format!("{}/v1/completions", deployment.caller_url(0));
    let answers: BTreeMap<usize, HttpAnswer> = thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|caller| {
                let url = &url;
                scope.spawn(move || {
                    let body = completion(&format!("own prompt {caller}"), 60);
                    (caller, post_json(url, FIRST_KEY, &body))
                })
            })
            .collect();
        let busy = busy_engine(&deployment);
        deployment.agents[busy].pause();
        let moved = wait_for("progress elsewhere", || {
            engines(&deployment).into_iter().find(|engine| {
                *engine != busy
                    && deployment.upstream_state(*engine)["completed"].as_u64() > Some(0)
            })
        });
        assert_ne!(moved, busy);
        deployment.agents[busy].resume();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller ends"))
            .collect()
    });
    for (caller, answer) in &answers {
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        let again = post_json(
            &url,
            FIRST_KEY,
            &completion(&format!("own prompt {caller}"), 60),
        );
        assert_eq!(
            answer.json()["choices"][0]["text"],
            again.json()["choices"][0]["text"]
        );
    }
}
