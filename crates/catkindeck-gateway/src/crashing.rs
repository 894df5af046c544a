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
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{BodyDigest, ObjectName},
        log::LogEvent,
        log_event,
    },
    catkindeck_policy::direct::{
        BrokenRun, BrokenRuns, CrashChange, CrashNotice, CrashRegister, CrashedRun, RunAdmission,
        UpstreamKey,
    },
    http::StatusCode,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The pauses after a run broke off before its upstream is asked for a connection. A process that ends closes its
/// listener at the same moment as its connections; the second try is for one that takes longer to end.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(300)];

/// What this process knows of requests that crash upstreams.
#[derive(Debug, Default)]
pub struct CrashWatch {
    register: RefCell<CrashRegister>,
    broken: RefCell<BrokenRuns>,
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
        if let Self::Crashed(run) = self {
            core.metrics.load.crashed_runs.inc();
            log_event!(core.logger, CRASH_RECORDED;
            "digest" => &digest, "upstream" => %run.upstream, "born_ms" => run.born_ms,
            "source" => source.name(), "ended_ago_ms" => run.ended_ago_ms,
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
    /// Returns `quarantined` if it crashed three upstreams, until a trial is due.
    pub fn admit_run(&self, request: &AdmittedRequest) -> Result<(), ServiceError> {
        let mut register = self.crashes.register.borrow_mut();
        // The digest of a request is not needed on a day without crashes.
        if register.is_empty() {
            return Ok(());
        }
        match register.admit(self.now(), request.digest()) {
            RunAdmission::Refused(_) => Err(ServiceError::not_run(
                ErrorKind::Quarantined,
                "upstreams crashed under this request three times in sequence",
            )),
            RunAdmission::Unsuspected | RunAdmission::Suspected | RunAdmission::Trial => Ok(()),
        }
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

    /// Records that the connection of a run broke before its upstream had answered, and finds out whether the
    /// upstream crashed.
    pub fn record_broken_run(
        self: &Rc<Self>,
        request: &AdmittedRequest,
        upstream: UpstreamKey,
        begun: Moment,
    ) {
        let (id, address, is_expected) = {
            let roster = self.roster.borrow();
            let record = &roster.get(upstream).record;
            let is_expected = roster.is_expected_to_run(upstream);
            (record.id.clone(), record.address, is_expected)
        };
        let run = BrokenRun {
            digest: *request.digest(),
            upstream,
            begun,
            ended: self.now(),
        };
        log_event!(self.logger, RUN_BROKEN;
            "request" => &request.head.id, "digest" => digest_text(&run.digest),
            "customer" => request.customer.as_ref().map(ToString::to_string),
            "path" => &request.head.path, "upstream" => %id, "expected" => is_expected,
            "lasted_ms" => run.ended.since(begun));
        if !is_expected || !self.crashes.broken.borrow_mut().record(run) {
            return;
        }
        let core = Rc::clone(self);
        tokio::task::spawn_local(async move {
            for pause in PROBE_PAUSES {
                sleep(pause).await;
                if core.upstream_client.is_refused(address).await {
                    return core.confirm_crashes(&[upstream]);
                }
            }
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

    /// Records that an upstream answered a request sent at `sent`, so that it had not crashed before.
    pub fn observe_life(&self, upstream: UpstreamKey, sent: Moment) {
        let mut broken = self.crashes.broken.borrow_mut();
        if !broken.is_empty() {
            broken.refute(upstream, sent);
        }
    }

    /// Records that instances of upstreams do not run any more, without having said that they would end.
    pub fn confirm_crashes(&self, upstreams: &[UpstreamKey]) {
        for key in upstreams {
            let now = self.now();
            let runs = self.crashes.broken.borrow_mut().confirm(now, *key);
            let (id, born_ms) = {
                let roster = self.roster.borrow();
                let state = roster.get(*key);
                if roster.is_leaving(*key) || state.record.draining {
                    continue;
                }
                (state.record.id.clone(), state.record.born_ms)
            };
            for run in runs {
                let crashed = CrashedRun {
                    digest: run.digest,
                    upstream: id.clone(),
                    born_ms,
                    begun_ago_ms: now.since(run.begun),
                    ended_ago_ms: now.since(run.ended),
                };
                self.share_notice(CrashNotice::Crashed(crashed), NoticeSource::Run);
            }
        }
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
