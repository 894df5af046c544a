//! Sharing crash reports with the other entries.

use {
    super::PeerDirectory,
    crate::events::CRASH_SHARE_FAILED,
    catkindeck::{
        id::ObjectName,
        link::PeerLink,
        log_event,
        message::{CrashReport, PeerRequest},
    },
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded},
    slog::Logger,
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// The number of reports that wait; beyond it reports are dropped, because a crash that happens
/// again is reported again.
const REPORT_QUEUE: usize = 256;

/// The number of reports sent together.
const BATCH_SIZE: usize = 64;

/// The time to reach one entry; a lost report only delays the quarantine there.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the answer to a caller waits until the other entries have the report.
const BROADCAST_WAIT: Duration = Duration::from_millis(500);

/// The number of entries that are told at once.
const BROADCAST_THREADS: usize = 16;

/// Sends crash reports to the other entries from a thread of its own.
pub struct CrashBroadcaster {
    queue: Sender<QueuedReport>,
    logger: Logger,
}

/// A report with the channel that is closed when every reachable entry has it.
struct QueuedReport {
    crash: CrashReport,
    _sent: Sender<()>,
}

impl CrashBroadcaster {
    /// Starts the thread, which ends when the value is dropped.
    pub fn start(link: Arc<dyn PeerLink>, peers: Arc<dyn PeerDirectory>, logger: Logger) -> Self {
        let (queue, reports) = bounded(REPORT_QUEUE);
        let log = logger.clone();
        let spawned = thread::Builder::new()
            .name("crash-share".to_owned())
            .spawn(move || run_broadcasts(&reports, &*link, &*peers, &log));
        if let Err(error) = spawned {
            log_event!(logger, CRASH_SHARE_FAILED; "error" => %error);
        }
        Self { queue, logger }
    }

    /// Sends a report, and returns when every reachable entry has it or after `BROADCAST_WAIT`.
    ///
    /// The caller is answered only then: a caller that sends a crashing request again through
    /// another entry would otherwise be faster than the report.
    pub fn broadcast(&self, crash: CrashReport) {
        let (sent_guard, done) = bounded(0);
        let report = QueuedReport {
            crash,
            _sent: sent_guard,
        };
        if let Err(TrySendError::Full(report)) = self.queue.try_send(report) {
            log_event!(self.logger, CRASH_SHARE_FAILED; "upstream" => %report.crash.upstream,
                "error" => "the queue is full");
            return;
        }
        // The channel carries nothing; it is closed after the report was sent.
        let _ = done.recv_timeout(BROADCAST_WAIT);
    }
}

fn run_broadcasts(
    reports: &Receiver<QueuedReport>,
    link: &dyn PeerLink,
    peers: &dyn PeerDirectory,
    logger: &Logger,
) {
    while let Ok(first) = reports.recv() {
        let mut queued = vec![first];
        queued.extend(reports.try_iter().take(BATCH_SIZE - 1));
        let crashes: Vec<CrashReport> = queued.iter().map(|report| report.crash.clone()).collect();
        let entries = peers.entries();
        // A few threads at once, so that one entry that hangs does not delay all others.
        thread::scope(|scope| {
            for part in entries.chunks(entries.len().div_ceil(BROADCAST_THREADS).max(1)) {
                scope.spawn(|| send_to(part, &crashes, link, logger));
            }
        });
        drop(queued);
    }
}

fn send_to(
    entries: &[(ObjectName, SocketAddr)],
    crashes: &[CrashReport],
    link: &dyn PeerLink,
    logger: &Logger,
) {
    for (name, address) in entries {
        let request = PeerRequest::ReportCrashes {
            crashes: crashes.to_vec(),
        };
        let sent = link
            .call(*address, request, PEER_TIMEOUT)
            .and_then(|mut stream| stream.receive(PEER_TIMEOUT));
        if let Err(error) = sent {
            log_event!(logger, CRASH_SHARE_FAILED; "peer" => %name, "error" => %error);
        }
    }
}
