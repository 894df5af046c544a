//! Streams events to a caller, and resumes the stream at another upstream where the route allows it.

use {
    super::attempt::{REFUSAL_PAUSE_MS, copy_headers, foreign_response, stream_fault},
    crate::{
        caller_handler::{AdmittedRequest, ResponseSource, check_key},
        core::GatewayCore,
        events::{ATTEMPT_FAILED, ORIGIN_UNKNOWN, STREAM_ENDED, STREAM_OPENED},
        port::{EventDecoder, UpstreamCall, UpstreamHead},
        upstream_guard::UpstreamGuard,
        watched_run::{RunEnd, WatchedRun},
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event, token::WeightVersion},
    catkindeck_net::{BodySender, HttpExchange, IdentifiedRequest, ResponseBody, SendError},
    catkindeck_policy::direct::{EngineQuery, SoftwareVersion, StreamKey, UpstreamKey},
    http::{HeaderMap, Response, StatusCode},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// How long a resumable stream may be without an event before it is resumed at another upstream. Callers give up
/// after two seconds, and a slow engine generates an event within a few hundred milliseconds. A stream that cannot
/// be resumed is not cut before its deadline, because it may be slow but sound.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time that an event waits for the caller after which a break of the stream says nothing about the upstream,
/// because the stream was left unread.
const HELD_BACK_LIMIT: Duration = Duration::from_millis(1_000);

/// The number of upstreams that may refuse a stream without running it; these do not count as attempts.
const REFUSAL_LIMIT: u32 = 6;

/// A stream that is being forwarded from upstreams to a caller.
pub struct StreamCall {
    core: Rc<GatewayCore>,
    request: Rc<AdmittedRequest>,
    excluded: Vec<UpstreamKey>,
    attempts: u32,
    refusals: u32,
    last_event: Option<u64>,
    /// The software version that generated the events so far; what another version writes does not continue them.
    software: Option<SoftwareVersion>,
    /// Whether the caller has the head of the response.
    has_begun: bool,
    /// Identifies the stream over all attempts of the caller.
    key: StreamKey,
    /// Whether the caller's slow reading kept the last event, and thus the upstream, waiting.
    is_held_back: bool,
}

struct OpenStream {
    guard: UpstreamGuard,
    run: WatchedRun,
    exchange: HttpExchange,
    head: UpstreamHead,
    headers: HeaderMap,
}

enum OpenOutcome {
    Open(Box<OpenStream>),
    NotRun(String),
    /// The upstream leaves and did not run the request, or was not sent it.
    Withheld(String),
    Unknown(String),
}

enum ForwardOutcome {
    Complete,
    CallerGone,
    /// The stream ended early.
    Broken(RunEnd, String),
}

impl ForwardOutcome {
    /// Until the second event, the upstream has not shown that it goes on with the run.
    fn broken(event_count: u32, early: RunEnd, detail: String) -> Self {
        match event_count {
            0 | 1 => Self::Broken(early, detail),
            _ => Self::Broken(RunEnd::Incomplete, detail),
        }
    }
}

impl StreamCall {
    pub fn new(core: &Rc<GatewayCore>, request: Rc<AdmittedRequest>) -> Self {
        let last_event = request.head.last_event;
        let key = StreamKey::new(
            &request.matched.service,
            request.customer.as_ref(),
            request.head.first_attempt(),
        );
        Self {
            key,
            core: Rc::clone(core),
            request,
            excluded: Vec::new(),
            attempts: 0,
            refusals: 0,
            last_event,
            software: None,
            has_begun: false,
            is_held_back: false,
        }
    }

    /// Opens the stream and returns the response, whose body is forwarded by a separate task.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream answered; it states whether the request may have run.
    pub async fn run(mut self) -> Result<Response<ResponseBody>, ServiceError> {
        self.find_origin().await?;
        let stream = self.open().await?;
        self.has_begun = true;
        self.core
            .count_usage(self.request.customer.as_ref(), self.core.unix_ms());
        let mut response = Response::new(ResponseBody::whole(Bytes::new()));
        response.extensions_mut().insert(ResponseSource {
            service: self.request.matched.service.clone(),
            upstream: stream.guard.id.clone(),
        });
        *response.status_mut() = stream.head.status;
        copy_headers(&stream.headers, response.headers_mut());
        self.log_open(&stream.guard);
        let (sender, body) = ResponseBody::stream();
        *response.body_mut() = body;
        tokio::task::spawn_local(async move {
            let disconnected = sender.clone();
            let core = Rc::clone(&self.core);
            tokio::select! {
                () = self.forward_stream(stream, &sender) => {}
                () = disconnected.closed() => self.record_end("caller_gone", ""),
                () = core.await_drain_end() => {
                    let detail = "this process ended before the stream was complete";
                    self.record_end("cut", detail);
                    disconnected.abort(detail).await;
                }
            }
        });
        Ok(response)
    }

    /// Finds the software version that began a stream that the caller takes up.
    ///
    /// # Errors
    ///
    /// Returns `unresumable` if it cannot be proved which version that was.
    async fn find_origin(&mut self) -> Result<(), ServiceError> {
        if self.last_event.is_none() {
            return Ok(());
        }
        let matched = &self.request.matched;
        let timeout_ms = matched.route.timeout_ms;
        let core = &self.core;
        let origin = core.find_origin(self.key, &matched.service, timeout_ms);
        let origin = timeout_at(self.request.expires, origin).await;
        let origin = origin.ok().flatten();
        if origin.is_none() {
            log_event!(core.logger, ORIGIN_UNKNOWN;
                "request" => &self.request.head.id, "resumes" => &self.request.head.resumes,
                "last_event" => self.last_event);
            return Err(ServiceError::not_run(
                ErrorKind::Unresumable,
                "it is not known which software version of the service began this stream",
            ));
        }
        self.software = origin;
        self.check_versions().await
    }

    /// Checks, before a stream is resumed, that the list says which software versions the upstreams have now.
    async fn check_versions(&self) -> Result<(), ServiceError> {
        let service = &self.request.matched.service;
        let versions = self.core.await_versions(service);
        let is_known = timeout_at(self.request.expires, versions).await;
        if is_known.unwrap_or(false) {
            return Ok(());
        }
        log_event!(self.core.logger, ORIGIN_UNKNOWN;
            "request" => &self.request.head.id, "last_event" => self.last_event,
            "roster_age_ms" => self.core.roster.borrow().age(self.core.now()));
        Err(ServiceError::not_run(
            ErrorKind::Unresumable,
            "the list of upstreams is too old to tell which software versions they have",
        ))
    }

    /// Opens the stream at an upstream, with retries.
    async fn open(&mut self) -> Result<Box<OpenStream>, ServiceError> {
        let mut unknown = None;
        loop {
            let route = &self.request.matched.route;
            let may_repeat = route.terms.resumable;
            if unknown.is_some() && !may_repeat || self.attempts >= route.terms.max_attempts.max(1)
            {
                break;
            }
            self.core.await_turn(&self.request).await;
            let guard = self.await_upstream().await;
            if let Err(error) = self.core.admit_run(&self.request) {
                match unknown {
                    Some(_) => break,
                    None => return Err(error),
                }
            }
            let left = self
                .request
                .expires
                .saturating_duration_since(Instant::now());
            let Some(guard) = guard.filter(|_| !left.is_zero()) else {
                break;
            };
            self.excluded.push(guard.key);
            self.attempts += 1;
            let upstream = guard.id.clone();
            match timeout(left, self.send(guard, left)).await {
                Ok(Ok(OpenOutcome::Open(stream))) => return Ok(stream),
                Ok(Ok(OpenOutcome::NotRun(detail))) => {
                    self.log_failure(&upstream, &detail, "not_run");
                    self.refusals += 1;
                    self.attempts -= 1;
                    if self.refusals > REFUSAL_LIMIT {
                        break;
                    }
                }
                // The upstream is not selected again, so there are at most as many of these as upstreams.
                Ok(Ok(OpenOutcome::Withheld(detail))) => {
                    self.log_failure(&upstream, &detail, "withheld");
                    self.attempts -= 1;
                }
                Ok(Ok(OpenOutcome::Unknown(detail))) => {
                    self.log_failure(&upstream, &detail, "unknown");
                    unknown = Some(detail);
                }
                Ok(Err(error)) => return Err(error),
                Err(_) => {
                    let detail = "no upstream answered before the deadline";
                    return Err(ServiceError::unknown(ErrorKind::DeadlineExceeded, detail));
                }
            }
        }
        Err(match unknown {
            Some(detail) => ServiceError::unknown(ErrorKind::UpstreamFailed, detail),
            None => ServiceError::not_run(
                ErrorKind::NoUpstream,
                "no upstream of the service can take the stream now",
            ),
        })
    }

    /// Acquires an upstream, and waits for a permit if all upstreams are limited.
    async fn await_upstream(&self) -> Option<UpstreamGuard> {
        let service = &self.request.matched.service;
        let until = self.core.permit_deadline(self.request.expires);
        loop {
            let guard = self.acquire_upstream();
            if guard.is_some() || !self.core.await_permit(service, until).await {
                return guard;
            }
        }
    }

    fn acquire_upstream(&self) -> Option<UpstreamGuard> {
        let service = &self.request.matched.service;
        let software = self.software.as_ref();
        let Some(model) = &self.request.head.model else {
            return UpstreamGuard::acquire_plain(&self.core, service, software, &self.excluded);
        };
        let settings = self.core.settings();
        let query = EngineQuery {
            service,
            model,
            least_version: WeightVersion(0),
            software,
            part: self.request.head.part,
            excluded: &self.excluded,
            zone: &settings.zone,
            last_resort: true,
            connected: &|address| self.core.upstream_client.has_idle(address),
        };
        UpstreamGuard::acquire_engine(&self.core, &query, None)
    }

    async fn send(
        &self,
        guard: UpstreamGuard,
        left: Duration,
    ) -> Result<OpenOutcome, ServiceError> {
        let route = &self.request.matched.route;
        let customer = check_key(&self.core, &self.request.head, Some(route))?;
        let urgency = urgency(&self.core, customer.as_ref(), route.terms.priority);
        let call = UpstreamCall {
            upstream: &guard.id,
            customer: customer.as_ref(),
            deadline_ms: Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
            urgency: Some(urgency),
            last_event: self.last_event,
        };
        let codec = &self.core.ports.upstreams;
        let request = codec.encode_request(&self.request.head, self.request.body.clone(), &call);
        let request = IdentifiedRequest::new(&self.request.head.id, request);
        if let Some(part) = self.request.head.part {
            let mut roster = self.core.roster.borrow_mut();
            roster.get_mut(guard.key).record_prompt_part(part);
        }
        let client = &self.core.upstream_client;
        let permit = || guard.permit_send();
        // A new connection shows that the upstream lives when a suspected request is sent.
        let is_fresh = self.core.is_crash_suspected(&self.request);
        let run = WatchedRun::new(&self.core, &self.request, &guard, is_fresh);
        let sent = match is_fresh {
            true => {
                client
                    .send_on_new_connection(guard.address, request, &permit)
                    .await
            }
            false => client.send_if(guard.address, request, &permit).await,
        };
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(fault) => {
                match fault.maybe_received {
                    true => run.end(RunEnd::Broken),
                    false => run.settle(),
                }
                return Ok(failure_outcome(&guard, &fault));
            }
        };
        Ok(self.accept_response(guard, run, exchange))
    }

    /// Decides by the head of a response whether the stream is open.
    fn accept_response(
        &self,
        guard: UpstreamGuard,
        run: WatchedRun,
        exchange: HttpExchange,
    ) -> OpenOutcome {
        let mut exchange = exchange;
        let codec = &self.core.ports.upstreams;
        let head = codec.decode_head(exchange.status(), exchange.headers());
        if let Some(detail) = foreign_response(&head, &self.request.head.id) {
            run.end(RunEnd::Incomplete);
            exchange.discard_connection();
            guard.record_failure();
            return OpenOutcome::Unknown(detail);
        }
        guard.observe_head(&head);
        if head.not_run {
            run.settle();
            guard.record_refusal(REFUSAL_PAUSE_MS);
            exchange.drain_in_background();
            let detail = format!(
                "the upstream refused the request with status {}",
                head.status
            );
            return match guard.may_send() {
                true => OpenOutcome::NotRun(detail),
                false => OpenOutcome::Withheld(detail),
            };
        }
        let headers = exchange.headers().clone();
        if let Some(detail) = self.unusable_response(&head, &headers) {
            run.end(RunEnd::Incomplete);
            exchange.discard_connection();
            guard.record_failure();
            return OpenOutcome::Unknown(detail);
        }
        if !head.status.is_success() {
            run.record_content();
        }
        OpenOutcome::Open(Box::new(OpenStream {
            guard,
            run,
            exchange,
            head,
            headers,
        }))
    }

    /// Returns why a response cannot be passed on to the caller. Once a stream has begun, only the rest of it can.
    fn unusable_response(&self, head: &UpstreamHead, headers: &HeaderMap) -> Option<String> {
        let status = head.status;
        if self.has_begun && status != StatusCode::OK {
            return Some(format!(
                "the upstream responded with status {status} to the resumed stream"
            ));
        }
        status
            .is_success()
            .then(|| stream_fault(head, headers))
            .flatten()
    }

    /// Forwards events until the stream is complete, and resumes it when it breaks.
    async fn forward_stream(&mut self, stream: Box<OpenStream>, sender: &BodySender) {
        let mut stream = stream;
        loop {
            let is_stream = stream.head.status.is_success();
            let end = self.forward_attempt(&mut stream, sender, is_stream).await;
            let OpenStream {
                guard,
                run,
                exchange,
                head,
                ..
            } = *stream;
            let (detail, run_end) = match end {
                ForwardOutcome::Complete => {
                    run.settle();
                    self.core
                        .record_answered_run(&self.request, &guard.id, head.status);
                    return self.record_end("complete", "");
                }
                ForwardOutcome::CallerGone => return self.record_end("caller_gone", ""),
                ForwardOutcome::Broken(run_end, detail) => (detail, run_end),
            };
            // An upstream ends a stream that is left unread for too long.
            if self.is_held_back {
                run.settle();
            } else {
                run.end(run_end);
                guard.record_failure();
            }
            self.log_failure(&guard.id, &detail, "broken");
            // Dropping the exchange closes its connection, which ends the run at that upstream.
            drop((guard, exchange));
            if !self.request.matched.route.terms.resumable || !is_stream {
                self.record_end("broken", &detail);
                return sender.abort(&detail).await;
            }
            self.excluded.clear();
            let opened = match self.check_versions().await {
                Ok(()) => self.open().await,
                Err(error) => Err(error),
            };
            let detail = match opened {
                Ok(next) => {
                    self.log_open(&next.guard);
                    stream = next;
                    continue;
                }
                Err(error) => error.detail,
            };
            self.record_end("broken", &detail);
            return sender.abort(&detail).await;
        }
    }

    async fn forward_attempt(
        &mut self,
        stream: &mut OpenStream,
        sender: &BodySender,
        is_stream: bool,
    ) -> ForwardOutcome {
        let mut decoder: Box<dyn EventDecoder> = self.core.ports.upstreams.event_decoder();
        let resumable = is_stream && self.request.matched.route.terms.resumable;
        let mut is_recorded = !resumable;
        // Bytes that complete no event are no progress.
        let mut last_event_at = Instant::now();
        let mut event_count = 0;
        loop {
            let limit = match resumable {
                true => self.request.expires.min(last_event_at + EVENT_TIMEOUT),
                false => self.request.expires,
            };
            let chunk = match timeout_at(limit, stream.exchange.chunk()).await {
                Err(_) => {
                    let detail = format!(
                        "no event from the upstream within {EVENT_TIMEOUT:?} or before the deadline"
                    );
                    return ForwardOutcome::broken(event_count, RunEnd::Silent, detail);
                }
                Ok(Err(fault)) => {
                    return ForwardOutcome::broken(event_count, RunEnd::Broken, fault.detail);
                }
                Ok(Ok(None)) if is_stream && !decoder.is_at_boundary() => {
                    let detail = "the stream ended in the middle of an event";
                    return ForwardOutcome::broken(event_count, RunEnd::Broken, detail.to_owned());
                }
                // A response without a length may have been cut right after its head.
                Ok(Ok(None)) if is_stream && self.last_event.is_none() => {
                    let detail = "the stream ended before its first event";
                    return ForwardOutcome::broken(event_count, RunEnd::Broken, detail.to_owned());
                }
                Ok(Ok(None)) => return ForwardOutcome::Complete,
                Ok(Ok(Some(chunk))) => chunk,
            };
            if !is_stream {
                if !sender.send(chunk).await {
                    return ForwardOutcome::CallerGone;
                }
                continue;
            }
            let events = match decoder.push(&chunk) {
                Ok(events) => events,
                Err(error) => return ForwardOutcome::Broken(RunEnd::Incomplete, error.detail),
            };
            for event in events {
                if self.last_event.is_some_and(|last| event.number != last + 1) {
                    let detail = format!(
                        "event {} does not follow event {}",
                        event.number,
                        self.last_event.unwrap_or_default()
                    );
                    return ForwardOutcome::Broken(RunEnd::Incomplete, detail);
                }
                self.last_event = Some(event.number);
                event_count += 1;
                if event_count > 1 {
                    stream.run.record_content();
                }
                if !is_recorded {
                    is_recorded = true;
                    let software = &stream.guard.software;
                    self.software.get_or_insert_with(|| software.clone());
                    self.core.record_origin(self.key, software);
                }
                if !self.pass_on(event.raw, sender).await {
                    return ForwardOutcome::CallerGone;
                }
                // The next event can only be read once the caller has made room for this one.
                last_event_at = Instant::now();
            }
        }
    }

    /// Passes an event on to the caller and returns whether the caller is still connected.
    async fn pass_on(&mut self, event: Bytes, sender: &BodySender) -> bool {
        let begun = Instant::now();
        let is_connected = sender.send(event).await;
        self.is_held_back = begun.elapsed() >= HELD_BACK_LIMIT;
        is_connected
    }

    fn log_open(&self, guard: &UpstreamGuard) {
        log_event!(self.core.logger, STREAM_OPENED;
            "request" => &self.request.head.id, "upstream" => %guard.id,
            "software" => %guard.software, "resumed_after" => self.last_event);
    }

    fn record_end(&self, outcome: &str, detail: &str) {
        let length = self.request.arrived.elapsed();
        let service = &self.request.matched.service;
        self.core.record_length(service, length);
        log_event!(self.core.logger, STREAM_ENDED;
            "request" => &self.request.head.id, "outcome" => outcome, "detail" => detail,
            "last_event" => self.last_event,
            "elapsed_ms" => u64::try_from(length.as_millis()).unwrap_or(u64::MAX));
    }

    fn log_failure(&self, upstream: &ObjectName, detail: &str, outcome: &str) {
        self.core.metrics.attempt_failures.inc();
        log_event!(self.core.logger, ATTEMPT_FAILED;
            "request" => &self.request.head.id, "service" => %self.request.matched.service,
            "upstream" => %upstream, "outcome" => outcome, "detail" => detail,
            "last_event" => self.last_event, "attempts" => self.attempts);
    }
}

fn failure_outcome(guard: &UpstreamGuard, fault: &SendError) -> OpenOutcome {
    if guard.was_withheld(fault) {
        return OpenOutcome::Withheld(fault.to_string());
    }
    guard.record_failure();
    match fault.maybe_received {
        true => OpenOutcome::Unknown(fault.to_string()),
        false => OpenOutcome::NotRun(fault.to_string()),
    }
}

/// Returns the scheduling priority of a request at an engine, 0 (first) to 9 (last). The customer's priority
/// takes precedence over the route's.
pub fn urgency(core: &GatewayCore, customer: Option<&ObjectName>, route: u8) -> u8 {
    let view = core.intent.borrow();
    let own = customer
        .and_then(|customer| view.config().customer(customer))
        .and_then(|customer| customer.priority);
    own.unwrap_or(route).min(9)
}
