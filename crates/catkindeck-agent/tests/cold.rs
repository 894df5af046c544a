//! Tests cold starts, crashes and cache reports of a model engine.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        id::BodyDigest,
        message::{CrashReport, PeerFrame, PeerRequest, prefix_digest},
    },
    catkindeck_fakes::{EngineSettings, control::ControlTarget},
    common::{
        completion,
        engine::{EngineSetup, running, start, start_unconfigured},
        name, wait_until,
    },
    std::thread,
};

/// The prefill time of the engine after a crash, in milliseconds for 1,000 bytes of a prompt.
const RESTARTED_PREFILL_MS: u64 = 10_000;

/// The prefill time while a burst is held until the crash, in milliseconds for 1,000 bytes of a
/// prompt; prompts of a few bytes take longer than any test.
const HELD_PREFILL_MS: u64 = 100_000_000;

/// Guards against overloading an engine after its first start and after a restart (G9).
#[test]
fn a_cold_engine_never_fails_under_load() {
    let setup = start_unconfigured(
        EngineSettings {
            slots: 32,
            cold_ms: 1500,
            cold_slots: 2,
            ..EngineSettings::default()
        },
        "",
    );
    setup.entry.configure(&setup.agent, 1, |config| {
        config.services[0].warm_limit = 16;
        config.services[0].cold_limit = 2;
        config.services[0].cold_start_ms = 60_000;
    });
    for round in 0..2 {
        thread::scope(|scope| {
            for index in 0..24 {
                let setup = &setup;
                scope.spawn(move || {
                    let request = completion(&format!("{round} {index}"), 20);
                    let response = setup.entry.execute(&setup.agent, &request);
                    assert!(response.finished.is_some(), "{response:?}");
                });
            }
        });
        let state = setup.engine.state();
        assert_eq!(state["overload_failures"], 0);
        assert!(state["max_running"].as_u64().unwrap() >= 2);
        let boot = setup.entry.load(&setup.agent).boot;
        setup.engine.crash();
        // Without requests, the restart is detected from the engine's load report.
        wait_until("the restart is noticed", || {
            let load = setup.entry.load(&setup.agent);
            load.boot != boot && load.limit == 2
        });
    }
}

/// Guards against a burst that overloads an engine right after a crash, before any response
/// contains the new boot ID. The crash happens under load, or while the agent is idle and does not
/// detect it.
#[test]
fn an_engine_that_crashed_is_not_overloaded() {
    for (down_ms, idle) in [(0, false), (300, false), (0, true)] {
        let setup = start_unconfigured(
            EngineSettings {
                slots: 32,
                token_ms: 2,
                down_ms,
                ..EngineSettings::default()
            },
            "[timeouts]\nprobe_interval_ms = 60000\n[limits]\nadaptive = false",
        );
        setup.entry.configure(&setup.agent, 1, |config| {
            config.services[0].warm_limit = 16;
            config.services[0].cold_limit = 2;
            config.services[0].cold_start_ms = 2000;
        });
        wait_until("the limit has grown", || {
            send_one(&setup);
            setup.entry.load(&setup.agent).limit == 16
        });
        // After its restart the engine tolerates exactly the agent's cold limit. Its first response
        // would reveal the new boot ID, so a long prefill time delays the response until the burst
        // has arrived.
        setup.engine.update_settings(|settings| {
            settings.prefill_ms = RESTARTED_PREFILL_MS;
            settings.cold_ms = 1500;
            settings.cold_slots = 2;
        });
        if idle {
            setup.engine.crash();
            thread::sleep(std::time::Duration::from_millis(50));
            burst(&setup, "after", 24, || {});
        } else {
            // No request ends before the crash, however slowly the burst arrives.
            setup
                .engine
                .update_settings(|settings| settings.prefill_ms = HELD_PREFILL_MS);
            burst(&setup, "around", 24, || {
                wait_until("the engine is busy", || running(&setup.engine) == 16);
                setup
                    .engine
                    .update_settings(|settings| settings.prefill_ms = RESTARTED_PREFILL_MS);
                setup.engine.crash();
            });
        }
        let state = setup.engine.state();
        assert_eq!(state["overload_failures"], 0, "{down_ms} {idle} {state}");
    }
}

fn send_one(setup: &EngineSetup) {
    let request = completion("one more", 1);
    setup.entry.execute(&setup.agent, &request);
}

/// Sends requests concurrently, retrying each until it finishes, while `action` runs.
fn burst(setup: &EngineSetup, round: &str, count: u32, action: impl FnOnce()) {
    thread::scope(|scope| {
        for index in 0..count {
            scope.spawn(move || {
                wait_until("the request finishes", || {
                    let request = completion(&format!("{round} {index}"), 60);
                    let response = setup.entry.execute(&setup.agent, &request);
                    response.finished.is_some()
                });
            });
        }
        action();
    });
}

/// Guards against reporting a crash as a complete response, and against a body that crashes one
/// engine after another.
#[test]
fn a_crash_is_reported_and_its_body_quarantined() {
    let setup = start(EngineSettings::default());
    let request = completion("crash-the-engine", 5);
    let response = setup.entry.execute(&setup.agent, &request);
    assert_eq!(response.error().kind, ErrorKind::UpstreamFailed);
    assert_eq!(response.error().execution, ExecutionOutcome::Unknown);
    assert!(response.finished.is_none());

    let crash = CrashReport {
        digest: request.digest,
        upstream: name("vault-b-1"),
    };
    let report = PeerRequest::ReportCrashes {
        crashes: vec![crash],
    };
    assert_eq!(setup.entry.query(&setup.agent, report), PeerFrame::Done);
    let mut retry = request.clone();
    retry.request = catkindeck::id::RequestId::random();
    let response = setup.entry.execute(&setup.agent, &retry);
    assert_eq!(response.error().kind, ErrorKind::Quarantined);
    assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
    assert_eq!(setup.engine.state()["crashes"], 1);

    let other = completion("harmless", 5);
    assert_ne!(other.digest, BodyDigest([0; 32]));
    assert!(setup.entry.execute(&setup.agent, &other).finished.is_some());
}

/// Guards against cache reports whose prefix digests differ from those that the router computes.
#[test]
fn cached_prefixes_are_reported() {
    let setup = start(EngineSettings {
        cache_prefixes: 1,
        ..EngineSettings::default()
    });
    for prompt in ["first", "second"] {
        setup.entry.execute(&setup.agent, &completion(prompt, 1));
    }
    wait_until("the cache is reported", || {
        setup.entry.load(&setup.agent).prefixes == [prefix_digest("second")]
    });
}
