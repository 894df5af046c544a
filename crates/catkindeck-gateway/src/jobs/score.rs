//! Scorer calls for complete texts.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        events::{ITEM_SCORED, SCORER_FAILED},
        forward::{CallOptions, CallOutcome, HedgedCall},
        port::UpstreamCall,
    },
    catkindeck::{ServiceError, id::ObjectName, log_event},
    catkindeck_policy::direct::{ItemKey, ItemPhase, ScorerCall},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time for one round of attempts to call a scorer.
const ROUND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// The time after which a scorer call is also sent to a second upstream, if the route sets no target latency.
const DEFAULT_HEDGE: Duration = Duration::from_millis(250);

/// The same time as a share of the route's target latency, in percent.
const HEDGE_PERCENT: u64 = 50;

impl JobService {
    /// Starts the scorer calls of texts that are complete and not scored yet.
    pub(super) fn score_items(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        if job.is_lost.get() || job.job.borrow().is_ended() {
            return;
        }
        for key in job.job.borrow_mut().take_unscored() {
            let task = Rc::clone(self).score(Rc::clone(job), key);
            let task = tokio::task::spawn_local(task);
            job.set_task(key, task.abort_handle());
        }
    }

    async fn score(self: Rc<Self>, job: Rc<OwnedJob>, key: ItemKey) {
        let scorer = job.spec.items[key.0 as usize].scorer.clone();
        let score = match &scorer {
            Some(scorer) => self.call_scorer(&job, key, scorer).await,
            None => return,
        };
        log_event!(self.core.logger, ITEM_SCORED;
            "job" => &job.spec.id, "item" => &job.spec.items[key.0 as usize].id,
            "scored" => score.is_some());
        job.job
            .borrow_mut()
            .record_score(self.core.now(), key, score);
        self.commit(&job);
    }

    /// Calls the scorer until it answers, or until its failures reach the limit of its route.
    async fn call_scorer(
        &self,
        job: &OwnedJob,
        key: ItemKey,
        scorer: &ScorerCall,
    ) -> Option<String> {
        let mut server_errors = 0;
        loop {
            if job.job.borrow().phase(key) != ItemPhase::Scoring {
                return None;
            }
            let Some((options, limit)) = self.scorer_options(scorer) else {
                sleep(ROUND_PAUSE).await;
                continue;
            };
            let builder = |upstream: &ObjectName, left: Duration| {
                let call = UpstreamCall {
                    upstream,
                    customer: None,
                    deadline_ms: Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
                    urgency: None,
                    last_event: None,
                };
                self.core.ports.upstreams.encode_scorer(scorer, &call)
            };
            let report = HedgedCall::new(&self.core, options, &builder).run().await;
            server_errors += report.server_errors;
            let fault = match report.outcome {
                CallOutcome::Answered(response) if response.head.status.is_success() => {
                    return response.head.stamp;
                }
                CallOutcome::Answered(response) => {
                    format!("the scorer responded with status {}", response.head.status)
                }
                CallOutcome::Failed(ServiceError { detail, .. }) => detail,
            };
            log_event!(self.core.logger, SCORER_FAILED;
                "job" => &job.spec.id, "scorer" => &scorer.id, "detail" => fault,
                "server_errors" => server_errors, "limit" => limit);
            if server_errors >= limit {
                return None;
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    /// Returns the options of one round, and the number of failures after which the scorer is given up. Returns
    /// `None` if no route matches.
    fn scorer_options(&self, scorer: &ScorerCall) -> Option<(CallOptions, u32)> {
        let view = self.core.intent.borrow();
        let matched = view
            .routes()
            .resolve(&scorer.host, &scorer.path, &scorer.id)?;
        let attempts = matched.route.terms.max_attempts.max(1);
        let hedge_after = match matched.route.terms.target_latency_ms {
            0 => DEFAULT_HEDGE,
            target_ms => Duration::from_millis(target_ms * HEDGE_PERCENT / 100),
        };
        let options = CallOptions {
            id: scorer.id.clone(),
            service: matched.service,
            idempotent: true,
            attempts,
            expires: Instant::now() + ROUND_TIMEOUT,
            hedge_after: Some(hedge_after),
        };
        Some((options, attempts))
    }
}
