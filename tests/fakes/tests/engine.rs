//! The engine mode over its HTTP interface.

use {
    catkindeck_fakes::{
        EngineSettings,
        control::{ControlTarget, merge_settings},
        engine::{FakeEngine, token},
    },
    serde_json::{Value, json},
    std::net::SocketAddr,
};

fn start(settings: EngineSettings) -> (FakeEngine, SocketAddr) {
    let engine = FakeEngine::with_settings(settings);
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    (engine, address)
}

fn complete(address: SocketAddr, body: &Value) -> Result<Vec<Value>, String> {
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

fn order(address: SocketAddr, body: &Value) -> u16 {
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

/// Guards the tests that rely on resumed streams: they must go on with the same tokens.
#[test]
fn a_resumed_stream_goes_on_with_the_same_tokens() {
    let (_, address) = start(EngineSettings::default());
    let body = json!({"request_id": "a", "prompt": "find carton 7", "max_tokens": 6});
    let whole = complete(address, &body).unwrap();
    assert_eq!(whole.len(), 7);
    let body = json!({
        "request_id": "b", "prompt": "find carton 7", "max_tokens": 6, "resume_tokens": 4,
    });
    let rest = complete(address, &body).unwrap();
    assert_eq!(rest, whole[4..]);
    assert_eq!(whole[5]["token"], token("find carton 7", 5));
}

/// Guards the tests that rely on faults: each must have the effect that its name says.
#[test]
fn faults_have_their_effect() {
    let (engine, address) = start(EngineSettings {
        checks_fence: true,
        ..EngineSettings::default()
    });
    assert_eq!(
        order(address, &json!({"kind": "load", "version": 2, "fence": 5})),
        200
    );
    assert_eq!(
        order(address, &json!({"kind": "swap", "version": 2, "fence": 4})),
        409
    );
    merge_settings(&engine, br#"{"fail_swaps": 1}"#).unwrap();
    assert_eq!(
        order(address, &json!({"kind": "swap", "version": 2, "fence": 5})),
        500
    );
    assert_eq!(
        order(address, &json!({"kind": "swap", "version": 2, "fence": 5})),
        200
    );
    let body = json!({"request_id": "a", "prompt": "x", "max_tokens": 1});
    assert_eq!(complete(address, &body).unwrap()[0]["version"], 2);

    let boot = engine.state()["boot"].clone();
    let body = json!({"request_id": "c", "prompt": "crash-the-engine", "max_tokens": 3});
    assert!(complete(address, &body).is_err());
    assert_ne!(engine.state()["boot"], boot);
    assert_eq!(engine.state()["version"], 1);
    assert!(merge_settings(&engine, br#"{"no_such_fault": 1}"#).is_err());
}

/// Guards the cold-start tests: a cold engine must fail above its small capacity.
#[test]
fn a_cold_engine_fails_under_full_load() {
    let (engine, address) = start(EngineSettings {
        cold_ms: 3_600_000,
        cold_slots: 1,
        frozen: true,
        ..EngineSettings::default()
    });
    let body = json!({"request_id": "a", "prompt": "x", "max_tokens": 1});
    let first = std::thread::spawn(move || complete(address, &body));
    while engine.state()["running"] == 0 {
        std::thread::yield_now();
    }
    let body = json!({"request_id": "b", "prompt": "x", "max_tokens": 1});
    assert_eq!(complete(address, &body), Err("status 503".to_owned()));
    engine.set(|settings| settings.frozen = false);
    assert_eq!(first.join().unwrap().unwrap().len(), 2);
}
