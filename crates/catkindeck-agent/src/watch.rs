//! The agent's periodic work, on threads of its own.

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

/// The interval of looking at deadlines and gone callers.
const TICK: Duration = Duration::from_millis(50);

/// The number of ticks between two updates of what nobody waits for.
const TICKS_PER_UPKEEP: u32 = 20;

/// The interval of looking whether an upstream that could not be reached has returned.
const RETURN_CHECK: Duration = Duration::from_millis(100);

/// The interval of asking peers for a missing configuration.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(500);

/// How long a request must have run until its caller is told even though the upstream has not
/// answered, in milliseconds.
///
/// A failure to connect is known earlier in all usual cases, and it must stay a proof that nothing
/// ran; a caller who waits long for a slow answer needs the incarnation to revoke the request.
const NOTICE_AFTER_MS: u64 = 1500;

/// How often an entry is asked for its configuration's revision.
///
/// A zone that is taken out gets no new work after 2 s (`docs/design.md`, G10); one exchange of
/// about 200 bytes a second stays well below the 6 KB/s for control.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the threads, which end when the agent is dropped.
///
/// # Errors
///
/// Returns the system's error if a thread cannot be started.
pub(crate) fn start(core: &Arc<AgentCore>, hosts: Option<Arc<dyn HostList>>) -> io::Result<()> {
    if let Some(hosts) = hosts {
        let interval = core.settings.timeouts.hosts_interval;
        repeat("hosts", core, interval, move |core| {
            core.read_hosts(hosts.as_ref());
        })?;
    }
    let mut ticks = 0;
    repeat("tick", core, TICK, move |core| {
        tick(core);
        ticks += 1;
        if ticks % TICKS_PER_UPKEEP == 0 {
            let now = core.now();
            core.lock().quarantine.sweep(now);
            core.lock().table.expire(now);
            core.update_gauges();
        }
    })?;
    let interval = core.settings.timeouts.probe_interval;
    repeat("probe", core, interval.min(RETURN_CHECK), move |core| {
        let due = core.lock().unreachable || core.probe_age() >= interval;
        if due {
            core.probe();
        }
    })?;
    repeat("catch-up", core, CATCH_UP_INTERVAL, |core| {
        core.cache().catch_up();
    })?;
    repeat("follow", core, FOLLOW_INTERVAL, |core| {
        core.cache().follow();
    })
}

fn repeat(
    name: &str,
    core: &Arc<AgentCore>,
    interval: Duration,
    mut work: impl FnMut(&Arc<AgentCore>) + Send + 'static,
) -> io::Result<()> {
    let core: Weak<AgentCore> = Arc::downgrade(core);
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(move || {
        while let Some(core) = core.upgrade() {
            work(&core);
            drop(core);
            thread::sleep(interval);
        }
    })?;
    Ok(())
}

/// Sheds what is late, and stops running work that nobody wants any more.
fn tick(core: &Arc<AgentCore>) {
    core.refresh_closed();
    let now = core.now();
    let mut notices = Vec::new();
    let mut unwanted: Vec<RequestId> = Vec::new();
    {
        let mut state = core.lock();
        for (request, work) in &mut state.running {
            if now.since(work.since) >= NOTICE_AFTER_MS {
                notices.push(work.notice.clone());
            }
            if work.idempotent && work.notice.sink.is_closed() {
                work.unwanted = true;
            }
            if work.unwanted && !work.stopped {
                work.stopped = true;
                unwanted.push(*request);
            }
        }
    }
    for notice in notices {
        if !notice.was_sent() {
            notice.send();
        }
    }
    for request in unwanted {
        core.upstream.cancel(&request);
    }
}
