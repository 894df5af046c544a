//! Broadcasting crash reports to the other entries.

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

/// The maximum number of queued reports; further ones are dropped, because a repeated crash is
/// reported again.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// The maximum number of reports in one message.
const BATCH_SIZE: usize = 64;

/// The timeout for one entry; a lost report only delays the quarantine there.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum time that the response to a caller is delayed until the other entries have the
/// report.
const BROADCAST_WAIT: Duration = Duration::from_millis(500);

/// The number of entries that are called concurrently.
const BROADCAST_THREADS: usize = 16;

/// Sends crash reports to the other entries from a background thread.
pub struct CrashBroadcaster {
    report_queue: Sender<QueuedReport>,
    logger: Logger,
}

/// A report with a channel that is closed once it was sent to every reachable entry.
struct QueuedReport {
    crash: CrashReport,
    _sent: Sender<()>,
}

impl CrashBroadcaster {
    /// Starts the thread, which ends when the broadcaster is dropped.
    pub fn start(link: Arc<dyn PeerLink>, peers: Arc<dyn PeerDirectory>, logger: Logger) -> Self {
        let (report_queue, reports) = bounded(REPORT_QUEUE_CAPACITY);
        let thread_logger = logger.clone();
        let result = thread::Builder::new()
            .name("crash-share".to_owned())
            .spawn(move || run_broadcasts(&reports, &*link, &*peers, &thread_logger));
        if let Err(error) = result {
            log_event!(logger, CRASH_SHARE_FAILED; "error" => %error);
        }
        Self {
            report_queue,
            logger,
        }
    }

    /// Sends a report and waits until every reachable entry has it, for at most `BROADCAST_WAIT`.
    ///
    /// The caller gets its response only afterwards. Otherwise a caller that repeats a crashing
    /// request through another entry could be faster than the report.
    pub fn broadcast(&self, crash: CrashReport) {
        let (sent_guard, done) = bounded(0);
        let report = QueuedReport {
            crash,
            _sent: sent_guard,
        };
        if let Err(TrySendError::Full(report)) = self.report_queue.try_send(report) {
            log_event!(self.logger, CRASH_SHARE_FAILED; "upstream" => %report.crash.upstream,
                "error" => "the report queue is full");
            return;
        }
        // Nothing is sent on the channel; it is closed when the report has been sent.
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
        // Entries are called concurrently, so that one unresponsive entry does not delay all
        // others.
        thread::scope(|scope| {
            for chunk in entries.chunks(entries.len().div_ceil(BROADCAST_THREADS).max(1)) {
                scope.spawn(|| send_reports(chunk, &crashes, link, logger));
            }
        });
        drop(queued);
    }
}

fn send_reports(
    entries: &[(ObjectName, SocketAddr)],
    crashes: &[CrashReport],
    link: &dyn PeerLink,
    logger: &Logger,
) {
    for (name, address) in entries {
        let request = PeerRequest::ReportCrashes {
            crashes: crashes.to_vec(),
        };
        let result = link
            .call(*address, request, PEER_TIMEOUT)
            .and_then(|mut stream| stream.receive(PEER_TIMEOUT));
        if let Err(error) = result {
            log_event!(logger, CRASH_SHARE_FAILED; "peer" => %name, "error" => %error);
        }
    }
}
