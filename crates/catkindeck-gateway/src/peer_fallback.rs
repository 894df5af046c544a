//! The way to another process: directly, or through a third one.
//!
//! Two processes may be cut off from each other while others reach both. A job's owner is then asked
//! through one of these, so that entries go on serving the jobs that run elsewhere.

use {
    crate::{
        core::GatewayCore,
        events::PEER_RELAYED,
        keys::MemberRecord,
        peer::{ForwardedCall, PeerAnswer, PeerCall},
    },
    catkindeck::{ErrorKind, ServiceError, id::IncarnationId, log_event},
    std::time::Duration,
};

/// The time for the call of the process that passes it on, which includes opening a connection.
const FORWARD_WAIT: Duration = Duration::from_millis(600);

impl GatewayCore {
    /// Calls a process, through another one if it does not answer this one.
    ///
    /// The call may be carried out twice, so it must be one that can be repeated.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if there is no answer in time; a refusal is an answer.
    pub async fn call_peer_with_fallback(
        &self,
        target: &MemberRecord,
        call: &PeerCall,
        wait: Duration,
    ) -> Result<PeerAnswer, ServiceError> {
        let id = target.incarnation;
        let mut failure = None;
        let in_backoff = self.reach.borrow_mut().in_backoff(self.now(), id);
        if !in_backoff {
            match self.call_peer(target.peer, call, wait).await {
                Ok(answer) => return Ok(answer),
                Err(error) => failure = Some(error),
            }
            self.reach.borrow_mut().failed(self.now(), id);
        }
        let forwarded = PeerCall::Forward(Box::new(ForwardedCall {
            target: target.clone(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            call: call.clone(),
        }));
        for relay in self.relay_candidates(id) {
            let answer = self.call_peer(relay.peer, &forwarded, wait + FORWARD_WAIT);
            match answer.await {
                // Whoever is reached by nobody else either is lost.
                Ok(PeerAnswer::Unreachable) => break,
                Ok(answer) => {
                    log_event!(self.logger, PEER_RELAYED;
                        "host" => %target.host, "through" => %relay.host);
                    self.reach.borrow_mut().relay_succeeded(relay.incarnation);
                    return Ok(answer);
                }
                Err(error) => {
                    self.reach
                        .borrow_mut()
                        .failed(self.now(), relay.incarnation);
                    failure = Some(error);
                }
            }
        }
        Err(failure.unwrap_or_else(|| {
            let detail = "the process did not answer a moment ago";
            ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
        }))
    }

    /// Passes a call of another process on, by the direct way only.
    pub(crate) async fn forward_call(&self, forwarded: &ForwardedCall) -> PeerAnswer {
        let target = &forwarded.target;
        let in_backoff = {
            let mut reach = self.reach.borrow_mut();
            reach.in_backoff(self.now(), target.incarnation)
        };
        if in_backoff {
            return PeerAnswer::Unreachable;
        }
        let wait = Duration::from_millis(forwarded.wait_ms);
        match self.call_peer(target.peer, &forwarded.call, wait).await {
            Ok(answer) => answer,
            Err(_) => {
                // The failed call was logged.
                self.reach
                    .borrow_mut()
                    .failed(self.now(), target.incarnation);
                PeerAnswer::Unreachable
            }
        }
    }

    /// Returns the processes that may reach `target`. Entries are first, because what cuts one off from
    /// a process without callers often cuts it off from the others too.
    fn relay_candidates(&self, target: IncarnationId) -> Vec<MemberRecord> {
        let mut others = self.peers();
        others.sort_by_key(|member| !member.serves_callers);
        let ranked: Vec<IncarnationId> = others.iter().map(|member| member.incarnation).collect();
        let chosen = self.reach.borrow_mut().relays(self.now(), target, &ranked);
        let known = |id: &IncarnationId| others.iter().find(|member| member.incarnation == *id);
        chosen.iter().filter_map(known).cloned().collect()
    }
}
