//! Cold starts, crashes and cache reports of a model engine.

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
        engine::{EngineSite, running, start, start_unconfigured},
        name, wait_until,
    },
    std::thread,
};

/// Guards against overloading an engine that has just started (G9), first and after a restart.
#[test]
fn a_cold_engine_never_fails_under_load() {
    let site = start_unconfigured(
        EngineSettings {
            slots: 32,
            cold_ms: 1500,
            cold_slots: 2,
            ..EngineSettings::default()
        },
        "",
    );
    site.entry.configure(&site.agent, 1, |config| {
        config.services[0].warm_limit = 16;
        config.services[0].cold_limit = 2;
        config.services[0].cold_start_ms = 60_000;
    });
    for round in 0..2 {
        thread::scope(|scope| {
            for index in 0..24 {
                let site = &site;
                scope.spawn(move || {
                    let request = completion(&format!("{round} {index}"), 20);
                    let answer = site.entry.execute(&site.agent, &request);
                    assert!(answer.finished.is_some(), "{answer:?}");
                });
            }
        });
        let state = site.engine.state();
        assert_eq!(state["overload_failures"], 0);
        assert!(state["max_running"].as_u64().unwrap() >= 2);
        let boot = site.entry.load(&site.agent).boot;
        site.engine.crash();
        // Without traffic the restart is noticed by the engine's own report.
        wait_until("the restart is noticed", || {
            let load = site.entry.load(&site.agent);
            load.boot != boot && load.limit == 2
        });
    }
}

/// Guards against a burst that meets an engine just after it crashed, before its new boot identity
/// came with a reply: under load, and after a pause in which nothing noticed the crash.
#[test]
fn an_engine_that_crashed_is_not_overloaded() {
    for (down_ms, idle) in [(0, false), (300, false), (0, true)] {
        let site = start_unconfigured(
            EngineSettings {
                slots: 32,
                token_ms: 2,
                down_ms,
                ..EngineSettings::default()
            },
            "[timeouts]\nprobe_interval_ms = 60000\n[limits]\nadaptive = false",
        );
        site.entry.configure(&site.agent, 1, |config| {
            config.services[0].warm_limit = 16;
            config.services[0].cold_limit = 2;
            config.services[0].cold_start_ms = 2000;
        });
        wait_until("the limit has grown", || {
            burst_one(&site);
            site.entry.load(&site.agent).limit == 16
        });
        // From its next start the engine bears a little more than the agent's limit allows. Long
        // prompts keep its first reply, which would show the new boot, until the burst is there.
        site.engine.set(|settings| {
            settings.prefill_ms = 10_000;
            settings.cold_ms = 1500;
            settings.cold_slots = 2;
        });
        if idle {
            site.engine.crash();
            thread::sleep(std::time::Duration::from_millis(50));
            burst(&site, "after", 24, || {});
        } else {
            burst(&site, "around", 24, || {
                wait_until("the engine is busy", || running(&site.engine) == 16);
                site.engine.crash();
            });
        }
        let state = site.engine.state();
        assert_eq!(state["overload_failures"], 0, "{down_ms} {idle} {state}");
    }
}

fn burst_one(site: &EngineSite) {
    let request = completion("one more", 1);
    site.entry.execute(&site.agent, &request);
}

/// Runs requests at once, each again until it is answered, while `action` runs.
fn burst(site: &EngineSite, round: &str, count: u32, action: impl FnOnce()) {
    thread::scope(|scope| {
        for index in 0..count {
            scope.spawn(move || {
                wait_until("the request is answered", || {
                    let request = completion(&format!("{round} {index}"), 60);
                    let answer = site.entry.execute(&site.agent, &request);
                    answer.finished.is_some()
                });
            });
        }
        action();
    });
}

/// Guards against a crash that looks like a whole answer, and against bodies that crash one engine
/// after another.
#[test]
fn a_crash_is_reported_and_its_body_quarantined() {
    let site = start(EngineSettings::default());
    let request = completion("crash-the-engine", 5);
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(answer.error().kind, ErrorKind::UpstreamFailed);
    assert_eq!(answer.error().execution, ExecutionOutcome::Unknown);
    assert!(answer.finished.is_none());

    let crash = CrashReport {
        digest: request.digest,
        upstream: name("vault-b-1"),
    };
    let report = PeerRequest::ReportCrashes {
        crashes: vec![crash],
    };
    assert_eq!(site.entry.ask(&site.agent, report), PeerFrame::Done);
    let mut again = request.clone();
    again.request = catkindeck::id::RequestId::random();
    let answer = site.entry.execute(&site.agent, &again);
    assert_eq!(answer.error().kind, ErrorKind::Quarantined);
    assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);
    assert_eq!(site.engine.state()["crashes"], 1);

    let other = completion("harmless", 5);
    assert_ne!(other.digest, BodyDigest([0; 32]));
    assert!(site.entry.execute(&site.agent, &other).finished.is_some());
}

/// Guards against cache reports that come from another definition of a prefix than the router's.
#[test]
fn cached_prefixes_are_reported() {
    let site = start(EngineSettings {
        cache_prefixes: 1,
        ..EngineSettings::default()
    });
    for prompt in ["first", "second"] {
        site.entry.execute(&site.agent, &completion(prompt, 1));
    }
    wait_until("the cache is reported", || {
        site.entry.load(&site.agent).prefixes == [prefix_digest("second")]
    });
}
