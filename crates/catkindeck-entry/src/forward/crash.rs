//! Sharing crash reports with the other entries.

use {
    super::PeerDirectory,
    crate::events::CRASH_SHARE_FAILED,
    catkindeck::{
        link::PeerLink,
        log_event,
        message::{CrashReport, PeerRequest},
    },
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded},
    slog::Logger,
    std::{sync::Arc, thread, time::Duration},
};

/// The number of reports that wait; beyond it reports are dropped, because a crash that happens
/// again is reported again.
const REPORT_QUEUE: usize = 256;

/// The number of reports sent together.
const BATCH: usize = 64;

/// The time to reach one entry; a lost report only delays the quarantine there.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends crash reports to the other entries from a thread of its own.
pub struct CrashShare {
    queue: Sender<CrashReport>,
    logger: Logger,
}

impl CrashShare {
    /// Starts the thread, which ends when the value is dropped.
    pub fn start(link: Arc<dyn PeerLink>, peers: Arc<dyn PeerDirectory>, logger: Logger) -> Self {
        let (queue, reports) = bounded(REPORT_QUEUE);
        let log = logger.clone();
        let spawned = thread::Builder::new()
            .name("crash-share".to_owned())
            .spawn(move || run(&reports, &*link, &*peers, &log));
        if let Err(error) = spawned {
            log_event!(logger, CRASH_SHARE_FAILED; "error" => %error);
        }
        Self { queue, logger }
    }

    /// Queues a report.
    pub fn share(&self, crash: CrashReport) {
        if let Err(TrySendError::Full(crash)) = self.queue.try_send(crash) {
            log_event!(self.logger, CRASH_SHARE_FAILED; "upstream" => %crash.upstream,
                "error" => "the queue is full");
        }
    }
}

fn run(
    reports: &Receiver<CrashReport>,
    link: &dyn PeerLink,
    peers: &dyn PeerDirectory,
    logger: &Logger,
) {
    while let Ok(first) = reports.recv() {
        let mut crashes = vec![first];
        crashes.extend(reports.try_iter().take(BATCH - 1));
        for (name, address) in peers.entries() {
            let request = PeerRequest::ReportCrashes {
                crashes: crashes.clone(),
            };
            let sent = link
                .call(address, request, SHARE_TIMEOUT)
                .and_then(|mut stream| stream.receive(SHARE_TIMEOUT));
            if let Err(error) = sent {
                log_event!(logger, CRASH_SHARE_FAILED; "peer" => %name, "error" => %error);
            }
        }
    }
}
