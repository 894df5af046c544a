//! Scorer calls for complete texts.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        events::{ITEM_SCORED, SCORER_FAILED},
        forward::{CallOptions, CallOutcome, HedgedCall},
        plain_room::RoomPass,
        port::UpstreamCall,
        task::run_guarded,
    },
    catkindeck::{ServiceError, id::ObjectName, log_event},
    catkindeck_policy::direct::{ItemKey, ItemPhase, ScoreEnd, ScorerCall},
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

/// The response that scores an item, and where it came from.
#[derive(Debug)]
struct ScorerAnswer {
    score: String,
    upstream: ObjectName,
    /// Whether the connection had carried an earlier request.
    was_reused: bool,
}

/// A round of scorer calls without a result.
struct ScorerFailure {
    /// The number of calls that the scorer answered with a failure of its own.
    count: u32,
    detail: String,
}

impl JobService {
    /// Starts the scorer calls of texts that are complete and not scored yet.
    pub(super) fn score_items(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        // Places may have become free without a scorer call ending.
        self.core.admit_scores();
        if job.is_lost.get() || job.job.borrow().is_ended() {
            return;
        }
        for key in job.job.borrow_mut().take_unscored() {
            let owned = Rc::clone(job);
            let recover = move || owned.job.borrow_mut().retry_score(key);
            let score = Rc::clone(self).score(Rc::clone(job), key);
            let logger = self.core.logger.clone();
            let task = tokio::task::spawn_local(run_guarded(logger, "score", score, recover));
            job.set_task(key, task.abort_handle());
        }
    }

    /// Calls the scorer of an item until it answers, or until its failures justify giving the item up.
    async fn score(self: Rc<Self>, job: Rc<OwnedJob>, key: ItemKey) {
        let item = &job.spec.items[key.0 as usize];
        let Some(scorer) = &item.scorer else { return };
        let mut accepted = None;
        while job.job.borrow().phase(key) == ItemPhase::Scoring {
            let Some((options, limit)) = self.scorer_options(scorer) else {
                sleep(ROUND_PAUSE).await;
                continue;
            };
            let pass = self.await_place(&job, key, &options).await;
            if job.job.borrow().phase(key) != ItemPhase::Scoring {
                break;
            }
            let started = Instant::now();
            let options = CallOptions {
                expires: started + ROUND_TIMEOUT,
                ..options
            };
            let outcome = self.call_scorer(scorer, options).await;
            if let Some(pass) = pass {
                pass.record_end(match &outcome {
                    Ok(_) => ScoreEnd::Answered(started.elapsed().as_secs_f64() * 1_000.0),
                    Err(failure) if failure.count > 0 => ScoreEnd::Cancelled,
                    Err(_) => ScoreEnd::Refused,
                });
            }
            match outcome {
                Ok(answer) => {
                    let now = self.core.now();
                    let score = answer.score.clone();
                    job.job.borrow_mut().record_score(now, key, score);
                    accepted = Some(answer);
                }
                Err(failure) => {
                    log_event!(self.core.logger, SCORER_FAILED;
                        "job" => &job.spec.id, "scorer" => &scorer.id, "detail" => failure.detail,
                        "server_errors" => failure.count, "limit" => limit);
                    let now = self.core.now();
                    job.job
                        .borrow_mut()
                        .record_scorer_failures(now, key, failure.count, limit);
                    sleep(ROUND_PAUSE).await;
                }
            }
        }
        log_event!(self.core.logger, ITEM_SCORED;
            "job" => &job.spec.id, "item" => &item.id,
            "scored" => job.job.borrow().progress(key).score.is_some(), "scorer" => &scorer.id,
            "score" => accepted.as_ref().map(|answer| &answer.score),
            "upstream" => accepted.as_ref().map(|answer| answer.upstream.as_str()),
            "reused" => accepted.as_ref().map(|answer| answer.was_reused));
        self.commit(&job);
    }

    /// Waits for a place for a scorer call, if callers share its service.
    async fn await_place(
        &self,
        job: &Rc<OwnedJob>,
        key: ItemKey,
        options: &CallOptions,
    ) -> Option<RoomPass> {
        if !self.core.shares_plain_room() {
            return None;
        }
        let owned = Rc::clone(job);
        let remaining = Box::new(move || {
            let state = owned.job.try_borrow();
            state.map_or(u32::MAX, |state| state.group_remaining(key))
        });
        Some(self.core.enter_room(&options.service, remaining).await)
    }

    /// Makes one round of attempts and returns the scorer's result.
    async fn call_scorer(
        &self,
        scorer: &ScorerCall,
        options: CallOptions,
    ) -> Result<ScorerAnswer, ScorerFailure> {
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
        let detail = match report.outcome {
            CallOutcome::Answered(response) => match response.head.stamp {
                Some(score) if response.head.status.is_success() => {
                    return Ok(ScorerAnswer {
                        score,
                        upstream: response.guard.id.clone(),
                        was_reused: response.was_reused,
                    });
                }
                _ => format!("the scorer responded with status {}", response.head.status),
            },
            CallOutcome::Failed(ServiceError { detail, .. }) => detail,
        };
        Err(ScorerFailure {
            count: report.failures,
            detail,
        })
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
