//! A single run of an item at an engine.

use {
    super::{
        item_forecast::{RunForecast, item_length, reason_to_move},
        owned::OwnedJob,
        service::JobService,
    },
    crate::{
        core::GatewayCore,
        events::{ITEM_RUN_ENDED, ITEM_STARTED},
        forward::{foreign_response, stream_fault},
        port::{StreamEvent, UpstreamCall, UpstreamHead},
        upstream_guard::UpstreamGuard,
    },
    bytes::Bytes,
    catkindeck::{ServiceError, log_event, token::WeightVersion},
    catkindeck_net::{HttpExchange, IdentifiedRequest},
    catkindeck_policy::direct::{ItemKey, ItemOutcome, LOAD_EXTENSION_MS, MIN_LOAD_MS},
    http::{HeaderMap, Request},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// The longest time to the first event. A full engine queues a request until a slot is free, and loading new
/// weights takes about a second.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The longest time between two events of a stream before the run ends and the item is assigned again. Bytes that
/// complete no event do not extend it.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an engine is not selected after it refused an item, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 100;

/// An item and the engine that it is assigned to.
pub struct ItemRun {
    pub key: ItemKey,
    pub guard: UpstreamGuard,
    /// The scheduling priority at the engine.
    pub urgency: u8,
    pub forecast: RunForecast,
}

/// The outcome of a run, with the reason for the log.
struct ItemRunOutcome {
    outcome: ItemOutcome,
    detail: String,
}

/// Runs an item and records the outcome.
pub async fn run_item(service: Rc<JobService>, job: Rc<OwnedJob>, run: ItemRun) {
    let core = Rc::clone(&service.core);
    let started = Instant::now();
    let resumed = job.job.borrow().progress(run.key).last_event;
    log_event!(core.logger, ITEM_STARTED;
        "job" => &job.spec.id, "item" => &job.spec.items[run.key.0 as usize].id,
        "upstream" => %run.guard.id, "software" => %run.guard.software, "resumed_after" => resumed,
        "predicted_ms" => run.forecast.predicted_ms, "prompt_cached" => run.forecast.is_cached,
        "roster_age_ms" => core.roster.borrow().age(core.now()));
    core.metrics.items_running.inc();
    let running = RunningGuard(Rc::clone(&core));
    let run_outcome = stream_item(&core, &job, &run).await;
    drop(running);
    let label = match run_outcome.outcome {
        ItemOutcome::Complete => "complete",
        ItemOutcome::Interrupted => "interrupted",
        ItemOutcome::Failed => "failed",
        ItemOutcome::Impossible => "impossible",
        ItemOutcome::Stale => "stale",
    };
    core.metrics.item_runs.with_label_values(&[label]).inc();
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let text = item_length(&job.job.borrow(), run.key);
    log_event!(core.logger, ITEM_RUN_ENDED;
        "job" => &job.spec.id, "item" => &job.spec.items[run.key.0 as usize].id,
        "upstream" => %run.guard.id, "outcome" => label, "detail" => run_outcome.detail,
        "elapsed_ms" => elapsed_ms, "predicted_ms" => run.forecast.predicted_ms, "events" => text.events,
        "expected_tokens" => text.expected_tokens);
    if run_outcome.outcome == ItemOutcome::Complete {
        let seconds = started.elapsed().as_secs_f64();
        core.metrics.item_seconds.observe(seconds);
        core.metrics
            .observe_prediction(run.forecast.predicted_ms, elapsed_ms);
        core.roster.borrow_mut().record_text(run.guard.key, text);
        service.record_carry_text(&job, run.key);
    }
    let now = core.now();
    let key = run.key;
    // Dropping the run frees the slot before the next item is assigned.
    drop(run);
    job.job
        .borrow_mut()
        .record_run_end(now, key, run_outcome.outcome);
    service.score_items(&job);
    service.commit(&job);
    core.capacity.notify_one();
}

async fn stream_item(core: &Rc<GatewayCore>, job: &OwnedJob, run: &ItemRun) -> ItemRunOutcome {
    let request = match encode_run(core, job, run) {
        Ok(request) => request,
        Err(error) => return run_outcome(ItemOutcome::Impossible, &error.detail),
    };
    let sent_at = Instant::now();
    let id = &job.spec.items[run.key.0 as usize].id;
    let request = IdentifiedRequest::new(id, request);
    let permit = || run.guard.may_send();
    let client = &core.upstream_client;
    let sent = client.send_if(run.guard.address, request, &permit);
    let mut exchange = match timeout(FIRST_EVENT_TIMEOUT, sent).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(fault)) if run.guard.was_withheld(&fault) => {
            return run_outcome(ItemOutcome::Interrupted, &fault.detail);
        }
        Ok(Err(fault)) => {
            run.guard.record_failure();
            return run_outcome(ItemOutcome::Interrupted, &fault.detail);
        }
        Err(_) => {
            run.guard.record_failure();
            let detail = format!("the upstream did not respond within {FIRST_EVENT_TIMEOUT:?}");
            return run_outcome(ItemOutcome::Interrupted, &detail);
        }
    };
    let head = core
        .ports
        .upstreams
        .decode_head(exchange.status(), exchange.headers());
    if let Some(detail) = foreign_response(&head, id) {
        exchange.discard_connection();
        run.guard.record_failure();
        return run_outcome(ItemOutcome::Interrupted, &detail);
    }
    run.guard.observe_head(&head);
    observe_load(core, job, run, head.not_run);
    if let Some(ended) = check_head(&head, exchange.headers(), run) {
        exchange.drain_in_background();
        return ended;
    }
    let mut reader = ItemReader {
        core,
        job,
        run,
        version: head.version,
        sent_at,
        last_event_at: None,
        events: 0,
        gap_us: 0,
    };
    reader.observe_version(head.version);
    reader.read(&mut exchange).await
}

fn encode_run(
    core: &GatewayCore,
    job: &OwnedJob,
    run: &ItemRun,
) -> Result<Request<Bytes>, ServiceError> {
    let state = job.job.borrow();
    let item = state.item(run.key);
    let gives_up_ms = job.spec.submitted_ms + state.limits().item_ttl_ms;
    let call = UpstreamCall {
        upstream: &run.guard.id,
        customer: job.spec.customer.as_ref(),
        deadline_ms: Some(gives_up_ms.saturating_sub(core.unix_ms())),
        urgency: Some(run.urgency),
        last_event: state.progress(run.key).last_event,
    };
    let upstreams = &core.ports.upstreams;
    upstreams.encode_item(item, &job.spec.host, &call)
}

/// Learns from a response whether the latest load of the item's model at the engine is complete.
fn observe_load(core: &GatewayCore, job: &OwnedJob, run: &ItemRun, refused: bool) {
    let state = job.job.borrow();
    let Some(model) = &state.item(run.key).model else {
        return;
    };
    let now = core.now();
    let mut roster = core.roster.borrow_mut();
    let engine = roster.get_mut(run.guard.key);
    let Some(age_ms) = engine.load_age(now, model) else {
        return;
    };
    let mut load_time = core.load_time.get();
    // A load takes at least this long, so an earlier response says nothing about its end.
    match refused {
        true => {
            load_time.record_refusal(age_ms);
            engine.extend_weight_load(now + LOAD_EXTENSION_MS);
        }
        false if age_ms >= MIN_LOAD_MS => {
            load_time.record_ready();
            engine.complete_weight_load();
        }
        false => {}
    }
    core.load_time.set(load_time);
}

/// Returns the outcome of a run if the response is not a stream of events.
fn check_head(head: &UpstreamHead, headers: &HeaderMap, run: &ItemRun) -> Option<ItemRunOutcome> {
    if head.not_run {
        run.guard.record_refusal(REFUSAL_PAUSE_MS);
        let detail = format!(
            "the upstream refused the request with status {}",
            head.status
        );
        return Some(run_outcome(ItemOutcome::Interrupted, &detail));
    }
    match head.status.as_u16() {
        200 => stream_fault(head, headers).map(|detail| {
            run.guard.record_failure();
            run_outcome(ItemOutcome::Interrupted, &detail)
        }),
        422 => {
            let detail = "the upstream responded with status 422: it cannot run this item";
            Some(run_outcome(ItemOutcome::Impossible, detail))
        }
        500 => Some(run_outcome(
            ItemOutcome::Failed,
            "the upstream responded with status 500: the run failed",
        )),
        _ => {
            run.guard.record_failure();
            let detail = format!("the upstream responded with status {}", head.status);
            Some(run_outcome(ItemOutcome::Interrupted, &detail))
        }
    }
}

struct ItemReader<'a> {
    core: &'a Rc<GatewayCore>,
    job: &'a OwnedJob,
    run: &'a ItemRun,
    version: Option<WeightVersion>,
    sent_at: Instant,
    last_event_at: Option<Instant>,
    events: u64,
    gap_us: u64,
}

impl ItemReader<'_> {
    async fn read(&mut self, exchange: &mut HttpExchange) -> ItemRunOutcome {
        if !self.can_resume() {
            self.job.job.borrow_mut().discard_text(self.run.key);
            return run_outcome(
                ItemOutcome::Stale,
                "the partial text comes from a different version of the weights or the software",
            );
        }
        let mut decoder = self.core.ports.upstreams.event_decoder();
        let answered_at = Instant::now();
        loop {
            let (since, limit) = match self.last_event_at {
                None => (answered_at, FIRST_EVENT_TIMEOUT),
                Some(last_event_at) => (last_event_at, EVENT_TIMEOUT),
            };
            let chunk = match timeout_at(since + limit, exchange.chunk()).await {
                Err(_) => {
                    self.run.guard.record_failure();
                    let detail = format!("no event from the upstream within {limit:?}");
                    return run_outcome(ItemOutcome::Interrupted, &detail);
                }
                Ok(Err(fault)) => {
                    self.run.guard.record_failure();
                    return run_outcome(ItemOutcome::Interrupted, &fault.detail);
                }
                Ok(Ok(None)) if !decoder.is_at_boundary() => {
                    return run_outcome(
                        ItemOutcome::Interrupted,
                        "the stream ended in the middle of an event",
                    );
                }
                // A response without a length may have been cut right after its head.
                Ok(Ok(None)) if !self.has_text() => {
                    self.run.guard.record_failure();
                    let detail = "the stream ended before its first event";
                    return run_outcome(ItemOutcome::Interrupted, detail);
                }
                Ok(Ok(None)) => {
                    self.run.guard.record_success();
                    return run_outcome(ItemOutcome::Complete, "");
                }
                Ok(Ok(Some(chunk))) => chunk,
            };
            let events = match decoder.push(&chunk) {
                Ok(events) => events,
                Err(error) => return run_outcome(ItemOutcome::Interrupted, &error.detail),
            };
            for event in events {
                if let Some(ended) = self.append_event(&event) {
                    return ended;
                }
            }
            if let Some(detail) = self.reason_to_move() {
                return run_outcome(ItemOutcome::Interrupted, &detail);
            }
        }
    }

    /// Returns whether the item has any event of this run or an earlier one.
    fn has_text(&self) -> bool {
        let state = self.job.job.borrow();
        state.progress(self.run.key).last_event.is_some()
    }

    fn append_event(&mut self, event: &StreamEvent) -> Option<ItemRunOutcome> {
        if let Some(ended) = self.check_length(event) {
            return Some(ended);
        }
        self.measure();
        self.version = event.version.or(self.version);
        self.observe_version(event.version);
        let mut state = self.job.job.borrow_mut();
        if state.append(
            self.run.key,
            event.number,
            &event.data,
            (self.version, &self.run.guard.software),
        ) {
            return None;
        }
        let least = self.job.spec.least_version;
        if self.version.is_none_or(|version| version < least) {
            return Some(run_outcome(
                ItemOutcome::Stale,
                &format!(
                    "the upstream does not have weight version {} or newer",
                    least.0
                ),
            ));
        }
        state.discard_text(self.run.key);
        Some(run_outcome(
            ItemOutcome::Interrupted,
            &format!("event {} does not continue the partial text", event.number),
        ))
    }

    /// Ends the run if the text has more events than the item has output tokens. An event holds at least one token,
    /// so the engine is faulty, and an engine that never ends would let the text grow until the job ends.
    fn check_length(&self, event: &StreamEvent) -> Option<ItemRunOutcome> {
        let mut state = self.job.job.borrow_mut();
        let item = state.item(self.run.key);
        let limit = self.core.ports.upstreams.max_output_tokens(item)?;
        if state.text_events(self.run.key, event.number) <= limit {
            return None;
        }
        state.discard_text(self.run.key);
        self.run.guard.record_failure();
        let detail = format!(
            "event {} exceeds the item's maximum of {limit} output tokens",
            event.number
        );
        Some(run_outcome(ItemOutcome::Interrupted, &detail))
    }

    fn measure(&mut self) {
        let now = Instant::now();
        let since = self.last_event_at.replace(now);
        let gap = now.duration_since(since.unwrap_or(self.sent_at));
        let gap_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        let (moment, key) = (self.core.now(), self.run.guard.key);
        let mut roster = self.core.roster.borrow_mut();
        if since.is_none() {
            let is_cached = self.run.forecast.is_cached;
            roster.record_first_event(moment, key, is_cached, gap_us);
            return;
        }
        self.events += 1;
        self.gap_us += gap_us;
        roster.record_event_gap(moment, key, gap_us);
    }

    /// Returns why the item should move to another engine that can start it now, or `None` if the run goes on.
    fn reason_to_move(&self) -> Option<String> {
        reason_to_move(self.core, self.job, self.run, (self.events, self.gap_us))
    }

    fn can_resume(&self) -> bool {
        let state = self.job.job.borrow();
        state.can_resume(self.run.key, self.version, &self.run.guard.software)
    }

    fn observe_version(&self, version: Option<WeightVersion>) {
        let state = self.job.job.borrow();
        let model = &state.item(self.run.key).model;
        if let (Some(model), Some(version)) = (model, version) {
            let mut roster = self.core.roster.borrow_mut();
            roster
                .get_mut(self.run.guard.key)
                .observe_version(model, version);
        }
    }
}

/// Decrements the gauge of running items on drop, also when the task is aborted.
struct RunningGuard(Rc<GatewayCore>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.metrics.items_running.dec();
    }
}

fn run_outcome(outcome: ItemOutcome, detail: &str) -> ItemRunOutcome {
    ItemRunOutcome {
        outcome,
        detail: detail.to_owned(),
    }
}
