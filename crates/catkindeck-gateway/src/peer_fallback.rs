//! Calls to another process with fallback through a third one.
//!
//! The network may separate two processes while others can reach both. A call to a job's owner then goes
//! through one of these, so that every entry can serve the jobs of every owner.

use {
    crate::{
        core::GatewayCore,
        events::{PEER_RELAYED, RELAY_SHED},
        keys::MemberRecord,
        peer::{ForwardedCall, PeerCall, PeerResponse},
    },
    catkindeck::{ErrorKind, ServiceError, id::IncarnationId, log_event},
    catkindeck_policy::direct::RELAY_LIMIT,
    std::time::Duration,
};

/// The additional time for a relayed call, which includes opening a connection from the relay to the target.
const RELAY_EXTRA_TIMEOUT: Duration = Duration::from_millis(600);

/// The number of further processes that are asked in place of those that refuse relayed work at once.
pub(crate) const SHED_EXTRA: usize = 2;

impl GatewayCore {
    /// Calls a process, and relays the call through another one if the process does not answer.
    ///
    /// The call may be executed twice, so it must be idempotent.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if there is no response in time. A [`PeerResponse::Refused`] is a response.
    pub async fn call_peer_with_fallback(
        &self,
        target: &MemberRecord,
        call: &PeerCall,
        wait: Duration,
    ) -> Result<PeerResponse, ServiceError> {
        let id = target.incarnation;
        let mut failure = None;
        let in_backoff = self.reach.borrow_mut().in_backoff(self.now(), id);
        if !in_backoff {
            match self.call_peer(target.peer, call, wait).await {
                Ok(response) => return Ok(response),
                Err(error) => failure = Some(error),
            }
            self.reach.borrow_mut().record_failure(self.now(), id);
        }
        let forwarded = PeerCall::Forward(Box::new(ForwardedCall {
            target: target.clone(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            call: call.clone(),
        }));
        let mut tried = 0;
        for relay in self.relay_candidates(id) {
            if tried >= RELAY_LIMIT {
                break;
            }
            let response = self.call_peer(relay.peer, &forwarded, wait + RELAY_EXTRA_TIMEOUT);
            match response.await {
                // If the relay cannot reach the target either, the target is considered lost.
                Ok(PeerResponse::Unreachable) => break,
                Ok(PeerResponse::Shed) => {
                    log_event!(self.logger, RELAY_SHED;
                        "peer" => %relay.host, "work" => "call", "target" => %target.host);
                    let mut reach = self.reach.borrow_mut();
                    reach.record_refused_relay(relay.incarnation);
                    continue;
                }
                Ok(response) => {
                    log_event!(self.logger, PEER_RELAYED;
                        "host" => %target.host, "through" => %relay.host);
                    self.reach.borrow_mut().record_relay(relay.incarnation);
                    return Ok(response);
                }
                Err(error) => {
                    self.reach
                        .borrow_mut()
                        .record_failure(self.now(), relay.incarnation);
                    failure = Some(error);
                    tried += 1;
                }
            }
        }
        Err(failure.unwrap_or_else(|| {
            let detail = "the peer did not answer recent calls";
            ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
        }))
    }

    /// Forwards a call on behalf of another process, only by a direct connection.
    pub(crate) async fn forward_call(&self, forwarded: &ForwardedCall) -> PeerResponse {
        let target = &forwarded.target;
        let in_backoff = {
            let mut reach = self.reach.borrow_mut();
            reach.in_backoff(self.now(), target.incarnation)
        };
        if in_backoff {
            return PeerResponse::Unreachable;
        }
        let wait = Duration::from_millis(forwarded.wait_ms);
        match self.call_peer(target.peer, &forwarded.call, wait).await {
            Ok(response) => response,
            Err(_) => {
                // `call_peer` has logged the failure.
                self.reach
                    .borrow_mut()
                    .record_failure(self.now(), target.incarnation);
                PeerResponse::Unreachable
            }
        }
    }

    /// Returns the processes that may be able to reach `target`. Entries come first, because a fault that
    /// separates an entry from processes without callers often affects several of these.
    fn relay_candidates(&self, target: IncarnationId) -> Vec<MemberRecord> {
        let mut others = self.peers();
        self.sort_by_room(&mut others);
        others.sort_by_key(|member| (self.is_shedding(member), !member.serves_callers));
        let ranked: Vec<IncarnationId> = others.iter().map(|member| member.incarnation).collect();
        let mut reach = self.reach.borrow_mut();
        let chosen = reach.relays_up_to(self.now(), target, &ranked, RELAY_LIMIT + SHED_EXTRA);
        let known = |id: &IncarnationId| others.iter().find(|member| member.incarnation == *id);
        chosen.iter().filter_map(known).cloned().collect()
    }
}
