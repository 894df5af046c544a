//! The agent's periodic tasks, each on its own thread.

use {
    crate::core::AgentCore,
    catkindeck::{id::RequestId, platform::HostList},
    std::{
        io,
        sync::{Arc, Weak},
        thread,
        time::Duration,
    },
};

/// The interval between checks for missed deadlines and disconnected callers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of ticks between two cleanups, which remove expired entries and update the gauges.
const TICKS_PER_CLEANUP: u32 = 20;

/// The probe interval while the upstream is unreachable.
const UNREACHABLE_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between attempts to fetch a missing configuration.
const MISSING_CONFIG_INTERVAL: Duration = Duration::from_millis(500);

/// The time after which the caller is notified that its request started, even if the upstream has
/// not responded, in milliseconds.
///
/// The notice must not be sent while the connection to the upstream may still fail, which proves
/// that the request did not run; such a failure is usually detected within this time. But a caller
/// that waits for a slow response needs the notice, because it contains the incarnation that is
/// required to revoke the request.
const START_NOTICE_DELAY_MS: u64 = 1500;

/// The interval between queries of entries for their configuration revision.
///
/// A zone that is taken out of service must get no new requests after 2 s (`docs/design.md`, G10).
/// One query of about 200 bytes per second is well below the limit of 6 KB/s for control traffic.
const REVISION_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the threads, which end when the agent is dropped.
///
/// # Errors
///
/// Returns the error of the operating system if a thread cannot be started.
pub(crate) fn start(core: &Arc<AgentCore>, hosts: Option<Arc<dyn HostList>>) -> io::Result<()> {
    if let Some(hosts) = hosts {
        let interval = core.settings.timeouts.hosts_interval;
        spawn_periodic("hosts", core, interval, move |core| {
            core.read_hosts(hosts.as_ref());
        })?;
    }
    let mut ticks = 0;
    spawn_periodic("tick", core, TICK_INTERVAL, move |core| {
        tick(core);
        ticks += 1;
        if ticks % TICKS_PER_CLEANUP == 0 {
            let now = core.now();
            core.lock().quarantine.sweep(now);
            core.lock().table.expire(now);
            core.update_gauges();
        }
    })?;
    let interval = core.settings.timeouts.probe_interval;
    spawn_periodic(
        "probe",
        core,
        interval.min(UNREACHABLE_PROBE_INTERVAL),
        move |core| {
            let due = core.lock().unreachable || core.probe_age() >= interval;
            if due {
                core.probe();
            }
        },
    )?;
    spawn_periodic("catch-up", core, MISSING_CONFIG_INTERVAL, |core| {
        core.cache().fetch_missing();
    })?;
    spawn_periodic("follow", core, REVISION_POLL_INTERVAL, |core| {
        core.cache().poll_next_entry();
    })
}

fn spawn_periodic(
    name: &str,
    core: &Arc<AgentCore>,
    interval: Duration,
    mut task: impl FnMut(&Arc<AgentCore>) + Send + 'static,
) -> io::Result<()> {
    let core: Weak<AgentCore> = Arc::downgrade(core);
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(move || {
        while let Some(core) = core.upgrade() {
            task(&core);
            drop(core);
            thread::sleep(interval);
        }
    })?;
    Ok(())
}

/// Rejects queued requests whose deadline has passed, and cancels running requests whose result is
/// no longer needed.
fn tick(core: &Arc<AgentCore>) {
    core.update_queue_closed();
    let now = core.now();
    let mut notices = Vec::new();
    let mut to_cancel: Vec<RequestId> = Vec::new();
    {
        let mut state = core.lock();
        for (request, work) in &mut state.running {
            if now.since(work.started_at) >= START_NOTICE_DELAY_MS {
                notices.push(work.notice.clone());
            }
            if work.idempotent && work.notice.sink.is_closed() {
                work.cancelled = true;
            }
            if work.cancelled && !work.cancel_sent {
                work.cancel_sent = true;
                to_cancel.push(*request);
            }
        }
    }
    for notice in notices {
        if !notice.was_sent() {
            notice.send();
        }
    }
    for request in to_cancel {
        core.upstream.cancel(&request);
    }
}
