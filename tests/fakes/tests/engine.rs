//! Tests the fake engine through its HTTP interface.

use {
    catkindeck_fakes::{
        EngineSettings,
        control::{ControlTarget, merge_settings},
        engine::{FakeEngine, token},
    },
    serde_json::{Value, json},
    std::net::SocketAddr,
};

fn start_engine(settings: EngineSettings) -> (FakeEngine, SocketAddr) {
    let engine = FakeEngine::with_settings(settings);
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    (engine, address)
}

fn post_completion(address: SocketAddr, body: &Value) -> Result<Vec<Value>, String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = agent
        .post(format!("http://{address}/v1/completions"))
        .send(body.to_string())
        .map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|error| error.to_string())?;
    if status != 200 {
        return Err(format!("status {status}"));
    }
    Ok(text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect())
}

fn post_order(address: SocketAddr, body: &Value) -> u16 {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let response = agent
        .post(format!("http://{address}/v1/orders"))
        .send(body.to_string())
        .unwrap();
    response.status().as_u16()
}

/// Tests of resumed streams compare texts, so a resumed stream must have the same tokens as the
/// interrupted one.
#[test]
fn a_resumed_stream_continues_with_the_same_tokens() {
    let (_, address) = start_engine(EngineSettings::default());
    let body = json!({"request_id": "a", "prompt": "find carton 7", "max_tokens": 6});
    let full = post_completion(address, &body).unwrap();
    assert_eq!(full.len(), 7);
    let body = json!({
        "request_id": "b", "prompt": "find carton 7", "max_tokens": 6, "resume_tokens": 4,
    });
    let resumed = post_completion(address, &body).unwrap();
    assert_eq!(resumed, full[4..]);
    assert_eq!(full[5]["token"], token("find carton 7", 5));
}

/// Fencing, failed swaps and crashes must have the effect that the tests of the agent rely on.
#[test]
fn fencing_failed_swaps_and_crashes_take_effect() {
    let (engine, address) = start_engine(EngineSettings {
        checks_fence: true,
        ..EngineSettings::default()
    });
    assert_eq!(
        post_order(address, &json!({"kind": "load", "version": 2, "fence": 5})),
        200
    );
    assert_eq!(
        post_order(address, &json!({"kind": "swap", "version": 2, "fence": 4})),
        409
    );
    merge_settings(&engine, br#"{"fail_swaps": 1}"#).unwrap();
    assert_eq!(
        post_order(address, &json!({"kind": "swap", "version": 2, "fence": 5})),
        500
    );
    assert_eq!(
        post_order(address, &json!({"kind": "swap", "version": 2, "fence": 5})),
        200
    );
    let body = json!({"request_id": "a", "prompt": "x", "max_tokens": 1});
    assert_eq!(post_completion(address, &body).unwrap()[0]["version"], 2);

    let boot = engine.state()["boot"].clone();
    let body = json!({"request_id": "c", "prompt": "crash-the-engine", "max_tokens": 3});
    assert!(post_completion(address, &body).is_err());
    assert_ne!(engine.state()["boot"], boot);
    assert_eq!(engine.state()["version"], 1);
    assert!(merge_settings(&engine, br#"{"no_such_fault": 1}"#).is_err());
}

/// Cold-start tests rely on a cold engine that rejects requests beyond its small capacity.
#[test]
fn a_cold_engine_rejects_requests_beyond_its_capacity() {
    let (engine, address) = start_engine(EngineSettings {
        cold_ms: 3_600_000,
        cold_slots: 1,
        frozen: true,
        ..EngineSettings::default()
    });
    let body = json!({"request_id": "a", "prompt": "x", "max_tokens": 1});
    let first = std::thread::spawn(move || post_completion(address, &body));
    while engine.state()["running"] == 0 {
        std::thread::yield_now();
    }
    let body = json!({"request_id": "b", "prompt": "x", "max_tokens": 1});
    assert_eq!(
        post_completion(address, &body),
        Err("status 503".to_owned())
    );
    engine.update_settings(|settings| settings.frozen = false);
    assert_eq!(first.join().unwrap().unwrap().len(), 2);
}

/// Guards against a request that waits although slots are free: it found another one ahead of it in the queue, which
/// then took its slot without waking it. No request ends meanwhile, so nothing else would.
#[test]
fn simultaneous_requests_all_get_free_slots() {
    const REQUESTS: u32 = 24;
    const ROUNDS: u32 = 40;
    for round in 0..ROUNDS {
        let (engine, address) = start_engine(EngineSettings {
            slots: REQUESTS,
            frozen: true,
            ..EngineSettings::default()
        });
        let clients: Vec<_> = (0..REQUESTS)
            .map(|index| {
                let id = format!("{round} {index}");
                let body = json!({"request_id": id, "prompt": id, "max_tokens": 1});
                std::thread::spawn(move || post_completion(address, &body))
            })
            .collect();
        let mut polls_left = 2_000;
        while engine.state()["running"] != REQUESTS {
            assert!(polls_left > 0, "{}", engine.state());
            polls_left -= 1;
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        engine.update_settings(|settings| settings.frozen = false);
        for client in clients {
            assert_eq!(client.join().unwrap().unwrap().len(), 2);
        }
    }
}
