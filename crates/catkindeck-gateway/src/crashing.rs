//! Refuses requests that crash each upstream which begins to run them (`docs/design/crashing-requests.md`).

use {
    crate::{
        caller_handler::AdmittedRequest,
        core::GatewayCore,
        events::{
            CRASH_RECORDED, CRASHES_UNSENT, REQUEST_CLEARED, REQUEST_QUARANTINED, RUN_BROKEN,
            SUSPECT_ANSWERED,
        },
        notices::{NoticeCall, NoticeExchange, NoticeSource, SharedNotice},
        peer::{PeerCall, PeerResponse},
        watched_run::{RunEnd, RunState, RunningRuns},
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{BodyDigest, ObjectName},
        log::LogEvent,
        log_event,
    },
    catkindeck_policy::direct::{
        BrokenRun, BrokenRuns, CrashChange, CrashEvidence, CrashNotice, CrashRegister, CrashedRun,
        RunAdmission, UpstreamKey,
    },
    http::StatusCode,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout_at},
    },
};

/// The pauses after a run broke off before its upstream is asked for a connection. A process that ends closes its
/// listener at the same moment as its connections; the second try is for one that takes longer to end.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(300)];

/// How long a suspected request waits at most until it is known how another run of it at this process ends.
const TURN_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a suspected request looks whether notices of further crashes have come.
const SETTLING_PAUSE: Duration = Duration::from_millis(10);

/// What this process knows of requests that crash upstreams.
#[derive(Default)]
pub struct CrashWatch {
    register: RefCell<CrashRegister>,
    broken: RefCell<BrokenRuns>,
    pub(crate) running: RunningRuns,
    /// The upstreams that are being asked for a connection.
    probed: RefCell<Vec<UpstreamKey>>,
    /// Notified when a run has ended, or a probe.
    pub(crate) settled: Notify,
    pub exchange: NoticeExchange<CrashNotice>,
}

impl SharedNotice for CrashNotice {
    const UNSENT: LogEvent = CRASHES_UNSENT;

    fn exchange(core: &GatewayCore) -> &NoticeExchange<Self> {
        &core.crashes.exchange
    }

    fn known(core: &GatewayCore) -> Vec<Self> {
        core.crashes.register.borrow().notices(core.now())
    }

    fn record(&self, core: &GatewayCore, source: NoticeSource) -> bool {
        let change = {
            let mut register = core.crashes.register.borrow_mut();
            match source {
                NoticeSource::Run | NoticeSource::Response => register.record(core.now(), self),
                NoticeSource::Report | NoticeSource::Announcement => {
                    register.record_received(core.now(), self)
                }
            }
        };
        let Some(change) = change else { return false };
        let digest = digest_text(self.digest());
        if let Some((run, evidence)) = self.crash() {
            core.metrics.load.crashed_runs.inc();
            log_event!(core.logger, CRASH_RECORDED;
            "digest" => &digest, "upstream" => %run.upstream, "born_ms" => run.born_ms,
            "source" => source.name(), "ended_ago_ms" => run.ended_ago_ms,
            "strong" => evidence == CrashEvidence::Strong,
            "sequence" => match change {
                CrashChange::Suspected(count) => Some(count),
                _ => None,
            });
        }
        match change {
            CrashChange::Quarantined => {
                log_event!(core.logger, REQUEST_QUARANTINED; "digest" => digest, "source" => source.name());
            }
            CrashChange::Cleared => {
                log_event!(core.logger, REQUEST_CLEARED; "digest" => digest, "source" => source.name());
            }
            CrashChange::Suspected(_) | CrashChange::Extended => {}
        }
        true
    }

    fn aged(self, elapsed_ms: u64) -> Self {
        self.aged(elapsed_ms)
    }

    fn into_call(call: NoticeCall<Self>) -> PeerCall {
        PeerCall::Crash(call)
    }

    fn into_response(notices: Vec<Self>) -> PeerResponse {
        PeerResponse::Crash(notices)
    }

    fn from_response(response: PeerResponse) -> Option<Vec<Self>> {
        match response {
            PeerResponse::Crash(notices) => Some(notices),
            _ => None,
        }
    }
}

impl GatewayCore {
    /// Checks, before each attempt, that a request does not crash the upstreams that run it.
    ///
    /// # Errors
    ///
    /// Returns `quarantined` if it crashed upstreams in sequence, until a trial is due.
    pub fn admit_run(&self, request: &AdmittedRequest) -> Result<(), ServiceError> {
        let mut register = self.crashes.register.borrow_mut();
        // The digest of a request is not needed on a day without crashes.
        if register.is_empty() {
            return Ok(());
        }
        match register.admit(self.now(), request.digest()) {
            RunAdmission::Refused(_) => Err(ServiceError::not_run(
                ErrorKind::Quarantined,
                "upstreams crashed under this request in sequence",
            )),
            RunAdmission::Unsuspected | RunAdmission::Suspected | RunAdmission::Trial => Ok(()),
        }
    }

    /// Waits until no other run of a suspected request is in progress at this process, so that copies of it crash one
    /// upstream after the other and not all at once. An ordinary request is cleared by the first that is answered.
    pub async fn await_turn(&self, request: &AdmittedRequest) {
        let until = request.expires.min(Instant::now() + TURN_TIMEOUT);
        while self.is_crash_suspected(request) && Instant::now() < until {
            let digest = request.digest();
            if self.is_run_open(digest) {
                let settled = self.crashes.settled.notified();
                // The time limit is looked at above.
                let _ = timeout_at(until, settled).await;
                continue;
            }
            let is_settling = {
                let register = self.crashes.register.borrow();
                register.is_settling(self.now(), digest)
            };
            if !is_settling {
                return;
            }
            sleep(SETTLING_PAUSE).await;
        }
    }

    /// Returns whether a run of a request is in progress, or it is being found out whether it crashed its upstream.
    fn is_run_open(&self, digest: &BodyDigest) -> bool {
        let broken = self.crashes.broken.borrow();
        let probed = self.crashes.probed.borrow();
        self.crashes.running.has(digest)
            || broken
                .upstreams(digest)
                .any(|upstream| probed.contains(&upstream))
    }

    /// Returns for how long a request is refused, in milliseconds.
    pub fn quarantine_ms(&self, digest: &BodyDigest) -> Option<u64> {
        let register = self.crashes.register.borrow();
        register.refused_ms(self.now(), digest)
    }

    /// Returns whether upstreams crashed, or may have crashed, under a request. It is then not hedged.
    pub fn is_crash_suspected(&self, request: &AdmittedRequest) -> bool {
        let register = self.crashes.register.borrow();
        !register.is_empty() && register.is_suspected(request.digest())
    }

    /// Records that a run ended without a complete answer, and finds out whether its upstream crashed.
    pub(crate) fn record_run_end(self: &Rc<Self>, state: &RunState, end: RunEnd) {
        let (upstream, request) = (state.upstream, &state.request);
        let (id, address, is_expected, is_listed, is_replaced) = {
            let roster = self.roster.borrow();
            let instance = roster.get(upstream);
            (
                instance.record.id.clone(),
                instance.record.address,
                roster.is_expected_to_run(upstream),
                instance.listed,
                roster.is_replaced(upstream),
            )
        };
        let is_proven = is_expected || is_replaced;
        let is_proven =
            is_proven && (end == RunEnd::Broken || end == RunEnd::Silent && state.is_fresh);
        let run = BrokenRun {
            digest: *request.digest(),
            upstream,
            begun: state.begun,
            ended: self.now(),
            evidence: match is_proven {
                true => CrashEvidence::Strong,
                false => CrashEvidence::Weak,
            },
        };
        log_event!(self.logger, RUN_BROKEN;
            "request" => &request.head.id, "digest" => digest_text(&run.digest),
            "customer" => request.customer.as_ref().map(ToString::to_string),
            "path" => &request.head.path, "upstream" => %id, "expected" => is_expected,
            "end" => end.name(), "fresh" => state.is_fresh,
            "lasted_ms" => run.ended.since(run.begun));
        if is_replaced || !is_listed && end == RunEnd::Silent {
            return self.report_crash(run);
        }
        self.crashes.broken.borrow_mut().record(run);
        if end != RunEnd::Silent {
            self.probe(upstream, address);
        }
    }

    /// Asks an upstream for a connection, to find out whether it has ended.
    fn probe(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr) {
        let mut probed = self.crashes.probed.borrow_mut();
        if probed.contains(&upstream) {
            return;
        }
        probed.push(upstream);
        drop(probed);
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            for pause in PROBE_PAUSES {
                sleep(pause).await;
                if core.upstream_client.is_refused(address).await {
                    core.confirm_crashes(&[upstream]);
                    break;
                }
            }
            core.crashes
                .probed
                .borrow_mut()
                .retain(|other| *other != upstream);
            core.crashes.settled.notify_waiters();
        });
    }

    /// Records that an upstream answered a request, which clears it if the answer shows that it ran to its end.
    pub fn record_answered_run(
        &self,
        request: &AdmittedRequest,
        upstream: &ObjectName,
        status: StatusCode,
    ) {
        let is_watched =
            !self.crashes.register.borrow().is_empty() || !self.crashes.broken.borrow().is_empty();
        if !is_watched {
            return;
        }
        let digest = *request.digest();
        let is_suspected = self.crashes.register.borrow().is_suspected(&digest);
        if is_suspected {
            log_event!(self.logger, SUSPECT_ANSWERED;
                "request" => &request.head.id, "digest" => digest_text(&digest),
                "upstream" => %upstream, "status" => status.as_u16());
        }
        if !shows_complete_run(status) {
            return;
        }
        self.crashes.broken.borrow_mut().clear(&digest);
        let notice = CrashNotice::Answered { digest, ago_ms: 0 };
        if is_suspected {
            return self.share_notice(notice, NoticeSource::Response);
        }
        // Another process may know of a crash before the answer.
        self.crashes
            .register
            .borrow_mut()
            .record(self.now(), &notice);
    }

    /// Records that an upstream answered a request sent at `sent`, so that it had not crashed before, or was back.
    pub fn observe_life(&self, upstream: UpstreamKey, sent: Moment) {
        let mut broken = self.crashes.broken.borrow_mut();
        if !broken.is_empty() {
            broken.refute(upstream, sent);
        }
    }

    /// Records that instances of upstreams do not run any more. Those that said that they would end are weak evidence.
    pub fn confirm_crashes(&self, upstreams: &[UpstreamKey]) {
        for key in upstreams {
            let (is_replaced, is_leaving) = {
                let roster = self.roster.borrow();
                let is_leaving = roster.is_leaving(*key) || roster.get(*key).record.draining;
                (roster.is_replaced(*key), is_leaving)
            };
            let now = self.now();
            let runs = self
                .crashes
                .broken
                .borrow_mut()
                .confirm(now, *key, is_replaced);
            for run in runs {
                let evidence = match is_leaving {
                    true => CrashEvidence::Weak,
                    false => run.evidence,
                };
                self.report_crash(BrokenRun { evidence, ..run });
            }
            // An instance that leaves goes on for a while after it has left the list.
            if !is_leaving {
                self.report_running(*key, is_replaced);
            }
        }
    }

    /// Reports the runs in progress at an instance that has ended. If it only left the list, it may still be at work.
    fn report_running(&self, key: UpstreamKey, is_replaced: bool) {
        for state in self.crashes.running.unanswered(key) {
            self.report_crash(BrokenRun {
                digest: *state.request.digest(),
                upstream: key,
                begun: state.begun,
                ended: self.now(),
                evidence: match is_replaced && state.is_fresh {
                    true => CrashEvidence::Strong,
                    false => CrashEvidence::Weak,
                },
            });
        }
    }

    fn report_crash(&self, run: BrokenRun) {
        let now = self.now();
        let crashed = {
            let roster = self.roster.borrow();
            let record = &roster.get(run.upstream).record;
            CrashedRun {
                digest: run.digest,
                upstream: record.id.clone(),
                born_ms: record.born_ms,
                begun_ago_ms: now.since(run.begun),
                ended_ago_ms: now.since(run.ended),
            }
        };
        let notice = CrashNotice::crashed(crashed, run.evidence);
        self.share_notice(notice, NoticeSource::Run);
    }

    /// Records that the list of upstreams was read and its changes were looked at.
    pub fn observe_list(&self) {
        let now = self.now();
        let age_ms = self.roster.borrow().age(now).unwrap_or(0);
        let mut broken = self.crashes.broken.borrow_mut();
        broken.observe_read(now, now - age_ms);
    }

    /// Forgets old crashes, and returns the number of requests that are refused.
    pub fn sweep_crashes(&self) -> usize {
        let mut register = self.crashes.register.borrow_mut();
        register.sweep(self.now());
        register.refused(self.now())
    }
}

/// Returns whether an answer shows that its upstream ran the request to the end. One that failed, refused or ran out of
/// time may not have begun it.
fn shows_complete_run(status: StatusCode) -> bool {
    let is_refusal = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
    );
    !status.is_server_error() && !is_refusal
}

/// Returns the start of a digest, which finds a request in the logs of all processes.
fn digest_text(digest: &BodyDigest) -> String {
    digest.0[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
