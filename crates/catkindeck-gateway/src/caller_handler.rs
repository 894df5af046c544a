//! Handles callers' requests.

use {
    crate::{
        capacity::{BODY_MEMORY_DIVISOR, BodyBytes, HELD_MEMORY_DIVISOR},
        core::GatewayCore,
        events::{REQUEST_ANSWERED, REQUEST_REFUSED},
        forward::{
            CallOptions, CallOutcome, HedgedCall, UpstreamResponse, copy_headers,
            stream::StreamCall,
        },
        jobs::{JobService, access::JobCaller},
        port::{BufferedResponse, CallerOperation, RequestHead, UpstreamCall},
        watched_run::{RunEnd, WatchedRun},
    },
    bytes::{Bytes, BytesMut},
    catkindeck::{
        ErrorKind, ServiceError,
        config::RouteRecord,
        error::ExecutionOutcome,
        id::{BodyDigest, ObjectName},
        log_event,
    },
    catkindeck_net::{HttpHandler, LocalFuture, ResponseBody},
    catkindeck_policy::direct::{RefusalCause, RouteMatch, request_digest},
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{cell::OnceCell, rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// How long before the caller's deadline the final response is sent, so that it arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// The deadline if neither the caller nor the route sets one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The share of a route's target latency after which a slow request is also sent to a second upstream, in
/// percent. Half of it leaves the second upstream as much time as the first had.
const HEDGE_PERCENT: u64 = 50;

/// The suggested retry delay if no upstream could take the request, in milliseconds. A slot of a busy
/// upstream becomes free in about this time.
const BUSY_RETRY_MS: u64 = 100;

/// The longest suggested retry delay, in milliseconds. A limit may end before its next permit is due.
const MAX_RETRY_MS: u64 = 2_000;

/// Answers requests on the caller address and readiness checks.
pub struct CallerHandler {
    core: Rc<GatewayCore>,
    jobs: Rc<JobService>,
}

/// An authenticated request with its route.
pub struct AdmittedRequest {
    pub head: RequestHead,
    pub body: Bytes,
    /// The matching route and the service selected for the request.
    pub matched: RouteMatch,
    /// The customer; `None` on open routes and in deployments without customers.
    pub customer: Option<ObjectName>,
    pub arrived: Instant,
    /// When the response must be sent.
    pub expires: Instant,
    /// The identity of the request, computed when it is needed.
    digest: OnceCell<BodyDigest>,
}

impl AdmittedRequest {
    /// Returns the identity that all attempts of the request have in common.
    pub fn digest(&self) -> &BodyDigest {
        self.digest
            .get_or_init(|| digest_request(&self.head, self.customer.as_ref(), &self.body))
    }
}

/// The service and upstream that produced a response, for the log.
#[derive(Debug, Clone)]
pub struct ResponseSource {
    pub service: ObjectName,
    pub upstream: ObjectName,
}

impl CallerHandler {
    pub fn new(core: Rc<GatewayCore>, jobs: Rc<JobService>) -> Rc<Self> {
        Rc::new(Self { core, jobs })
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let codec = Rc::clone(&self.core.ports.callers);
        if codec.is_readiness(&parts) {
            return self.answer_readiness();
        }
        let decoded = codec.decode_head(&parts);
        // The body is always read first: closing a connection with unread data resets it, and the caller would
        // not receive the response.
        let deadline_ms = decoded.as_ref().ok().and_then(|(head, _)| head.deadline_ms);
        let limit = Duration::from_millis(deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        let body = tokio::select! {
            body = timeout(limit, self.read_body(body)) => body.unwrap_or_else(|_| {
                let detail = format!("the body of the request was not complete within {limit:?}");
                Err(ServiceError::not_run(ErrorKind::BadRequest, detail))
            }),
            () = self.core.await_drain_end() => {
                let detail = "this process ends before the body of the request is complete";
                Err(ServiceError::not_run(ErrorKind::ShuttingDown, detail))
            }
        };
        let (head, operation, body) = match (decoded, body) {
            (Ok((head, operation)), Ok(body)) => (head, operation, body),
            (Ok((head, _)), Err(error)) => return self.refuse(Some(&head), &error, arrived),
            (Err(error), _) => return self.refuse(None, &error, arrived),
        };
        if matches!(operation, CallerOperation::Request)
            && let Err((error, return_ms)) = self.core.check_room()
        {
            return self.refuse_for(Some(return_ms), Some(&head), &error, arrived);
        }
        if let Err(error) = self.check_held_bytes() {
            return self.refuse(Some(&head), &error, arrived);
        }
        let mut served = BodyBytes::new(&self.core.hosts.served_bytes);
        served.add(body.len() as u64);
        let outcome = tokio::select! {
            biased;
            outcome = self.perform(&head, operation, body.clone(), arrived) => outcome,
            () = self.core.await_drain_end() => {
                let detail = "this process ended before the response was complete";
                Err(ServiceError::unknown(ErrorKind::ShuttingDown, detail))
            }
        };
        match outcome {
            Ok(response) => {
                self.log_response(&head, &response, arrived);
                response
            }
            Err(error) if error.kind == ErrorKind::Quarantined => {
                let retry_ms = self.quarantine_ms(&head, &body);
                self.refuse_for(retry_ms, Some(&head), &error, arrived)
            }
            Err(error) => self.refuse(Some(&head), &error, arrived),
        }
    }

    /// Performs an operation of a caller.
    async fn perform(
        &self,
        head: &RequestHead,
        operation: CallerOperation,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Response<ResponseBody>, ServiceError> {
        match operation {
            CallerOperation::Request => self.answer_request(head, body, arrived).await,
            CallerOperation::JobResults(read) => {
                let caller = self.identify_for_job(head, &read.job)?;
                let results = self.jobs.results(&read, caller.customer()).await;
                let results = results.map_err(|error| caller.explain(error))?;
                Ok(full_response(results))
            }
            CallerOperation::JobItem { job, item } => {
                let caller = self.identify_for_job(head, &job)?;
                let body = self.jobs.item_body(&job, &item, caller.customer()).await;
                let body = body.map_err(|error| caller.explain(error))?;
                Ok(full_response(Response::new(body)))
            }
            CallerOperation::JobCancellation { job } => {
                let caller = self.identify_for_job(head, &job)?;
                let outcome = self.jobs.cancel(&job, caller.customer()).await;
                outcome.map_err(|error| caller.explain(error))?;
                Ok(full_response(Response::new(Bytes::new())))
            }
        }
    }

    async fn answer_request(
        &self,
        head: &RequestHead,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Response<ResponseBody>, ServiceError> {
        let request = match self.admit(head, body.clone(), arrived) {
            Ok(request) => Rc::new(request),
            Err(error) => return self.answer_unadmitted(head, &body, error).await,
        };
        if request.matched.route.terms.job.is_some() {
            let caller = self.identify(head);
            let accepted = self.jobs.submit(&request, caller.customer()).await;
            let accepted = accepted.map_err(|error| caller.explain(error))?;
            return Ok(full_response(accepted));
        }
        self.core.check_drain(&request)?;
        if request.matched.route.terms.streaming {
            return StreamCall::new(&self.core, request).run().await;
        }
        let (response, run) = self.forward(&request).await?;
        let source = ResponseSource {
            service: request.matched.service.clone(),
            upstream: response.guard.id.clone(),
        };
        let mut response = self.forward_response(&request, response, run);
        response.extensions_mut().insert(source);
        Ok(response)
    }

    /// Answers a request that no route admits. It may repeat the submission of a job that was accepted before its route
    /// was closed or removed, and is then answered as the first one was.
    async fn answer_unadmitted(
        &self,
        head: &RequestHead,
        body: &[u8],
        error: ServiceError,
    ) -> Result<Response<ResponseBody>, ServiceError> {
        let is_refused = matches!(error.kind, ErrorKind::NotFound | ErrorKind::Unauthenticated);
        if !is_refused || !self.core.ports.callers.is_job(head, body) {
            return Err(error);
        }
        let caller = self.identify_for_job(head, &head.id)?;
        let repeated = self.jobs.repeat_submission(&head.id, caller.customer());
        match repeated.await {
            Ok(Some(accepted)) => Ok(full_response(accepted)),
            Ok(None) => Err(error),
            Err(unsure) => Err(match unsure.kind {
                ErrorKind::NotFound | ErrorKind::Unauthenticated | ErrorKind::BadRequest => error,
                _ => unsure,
            }),
        }
    }

    /// Resolves the route, the service and the customer of a request.
    fn admit(
        &self,
        head: &RequestHead,
        body: Bytes,
        arrived: Instant,
    ) -> Result<AdmittedRequest, ServiceError> {
        let matched = {
            let view = self.core.intent.borrow();
            if !view.has_config() {
                return Err(stale_error("this process has not read a configuration yet"));
            }
            let matched = view
                .routes()
                .resolve(&head.host, &head.path, head.first_attempt());
            match matched {
                Some(matched) => matched,
                // The route may have been added since the configuration was read.
                None if !self.core.is_fresh() => {
                    return Err(stale_error(
                        "no route matches, but the configuration is too old to rule out a new one",
                    ));
                }
                None => {
                    let detail = "no route matches this host and path";
                    return Err(ServiceError::not_run(ErrorKind::NotFound, detail));
                }
            }
        };
        let customer = self.authenticate(head, Some(&matched.route))?;
        let timeout_ms = match matched.route.timeout_ms {
            // Routes of jobs have no timeout, because a job outlives the call that submits it.
            0 => DEFAULT_DEADLINE_MS,
            timeout_ms => timeout_ms,
        };
        let deadline_ms = head.deadline_ms.unwrap_or(timeout_ms).min(timeout_ms);
        let expires = arrived + Duration::from_millis(deadline_ms);
        Ok(AdmittedRequest {
            head: head.clone(),
            body,
            digest: OnceCell::new(),
            matched,
            customer,
            arrived,
            expires: expires.checked_sub(RESPONSE_MARGIN).unwrap_or(expires),
        })
    }

    fn authenticate(
        &self,
        head: &RequestHead,
        route: Option<&RouteRecord>,
    ) -> Result<Option<ObjectName>, ServiceError> {
        check_key(&self.core, head, route)
    }

    /// Determines who calls for a job that was accepted, and whether it may be searched for.
    fn identify_for_job(&self, head: &RequestHead, job: &str) -> Result<JobCaller, ServiceError> {
        let caller = self.identify(head);
        self.jobs.check_search(job, &caller)?;
        Ok(caller)
    }

    /// Determines who calls for a job. Whether that suffices depends on the job.
    fn identify(&self, head: &RequestHead) -> JobCaller {
        match self.authenticate(head, None) {
            Ok(Some(customer)) => JobCaller::Customer(customer),
            Ok(None) => JobCaller::Anyone,
            Err(refusal) => JobCaller::Unidentified(refusal),
        }
    }

    /// Forwards a request to upstreams. Returns the run with a response of which the rest is still to come.
    async fn forward(
        &self,
        request: &Rc<AdmittedRequest>,
    ) -> Result<(UpstreamResponse, Option<WatchedRun>), ServiceError> {
        let route = &request.matched.route;
        let target_ms = route.terms.target_latency_ms;
        let options = CallOptions {
            id: request.head.id.clone(),
            service: request.matched.service.clone(),
            idempotent: route.idempotent,
            attempts: route.terms.max_attempts.max(1),
            expires: request.expires,
            hedge_after: (route.idempotent && target_ms > 0)
                .then(|| Duration::from_millis(target_ms * HEDGE_PERCENT / 100)),
        };
        let builder = |upstream: &ObjectName, left: Duration| {
            // The key may have been revoked since the request arrived.
            check_key(&self.core, &request.head, Some(route))?;
            let call = UpstreamCall {
                upstream,
                customer: request.customer.as_ref(),
                deadline_ms: Some(milliseconds(left)),
                urgency: None,
                last_event: None,
            };
            let upstreams = &self.core.ports.upstreams;
            Ok(upstreams.encode_request(&request.head, request.body.clone(), &call))
        };
        let call = HedgedCall::new(&self.core, options, &builder).watching(request);
        let report = call.run().await;
        // A refusal tells nothing about how long requests take.
        let is_over = match &report.outcome {
            CallOutcome::Answered(response) => response.rest.is_none(),
            CallOutcome::Failed(error) => error.kind == ErrorKind::DeadlineExceeded,
        };
        if is_over {
            let service = &request.matched.service;
            self.core.record_length(service, request.arrived.elapsed());
        }
        match report.outcome {
            CallOutcome::Answered(response) => {
                let customer = request.customer.as_ref();
                self.core.count_usage(customer, response.sent_ms);
                self.core.record_served(&request.matched.service, customer);
                Ok((*response, report.run))
            }
            CallOutcome::Failed(error) => Err(error),
        }
    }

    /// Forwards a response. The rest of a body that is not complete yet is forwarded until the request expires, because
    /// an upstream may send bytes without end.
    fn forward_response(
        &self,
        request: &Rc<AdmittedRequest>,
        response: UpstreamResponse,
        run: Option<WatchedRun>,
    ) -> Response<ResponseBody> {
        let UpstreamResponse {
            head,
            headers,
            body,
            rest,
            guard,
            ..
        } = response;
        let body = match rest {
            None => ResponseBody::whole(body),
            Some(mut exchange) => {
                let (sender, stream) = ResponseBody::stream();
                let (core, request) = (Rc::clone(&self.core), Rc::clone(request));
                let status = head.status;
                if let Some(run) = &run {
                    run.record_content();
                }
                tokio::task::spawn_local(async move {
                    if !sender.send(body).await {
                        return;
                    }
                    let reason = loop {
                        let chunk = tokio::select! {
                            biased;
                            chunk = timeout_at(request.expires, exchange.chunk()) => chunk,
                            () = core.await_drain_end() => {
                                break "this process ended before the response was complete"
                                    .to_owned();
                            }
                        };
                        match chunk {
                            Ok(Ok(Some(chunk))) => {
                                if !sender.send(chunk).await {
                                    return;
                                }
                            }
                            Ok(Ok(None)) => {
                                run.into_iter().for_each(WatchedRun::settle);
                                let length = request.arrived.elapsed();
                                core.record_length(&request.matched.service, length);
                                return core.record_answered_run(&request, &guard.id, status);
                            }
                            Ok(Err(fault)) => break fault.detail,
                            Err(_) => {
                                break "the response was not complete before the deadline"
                                    .to_owned();
                            }
                        }
                    };
                    run.into_iter().for_each(|run| run.end(RunEnd::Incomplete));
                    sender.abort(&reason).await;
                });
                stream
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        copy_headers(&headers, response.headers_mut());
        response
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ServiceError> {
        let limit = self.core.intent.borrow().config().limits.body_bytes;
        let memory = self.core.settings().memory_bytes / BODY_MEMORY_DIVISOR;
        let mut body = body;
        let body_bytes = &self.core.hosts.body_bytes;
        let mut buffered = BodyBytes::new(body_bytes);
        let mut content = BytesMut::new();
        let mut fault = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| {
                let detail = "the connection was closed before the end of the body";
                ServiceError::not_run(ErrorKind::BadRequest, detail)
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffered.add(data.len() as u64);
            if content.len() + data.len() > usize::try_from(limit).unwrap_or(usize::MAX) {
                fault = Some((
                    ErrorKind::TooLarge,
                    "the request body exceeds the size limit",
                ));
            } else if body_bytes.get() > memory {
                fault = Some((
                    ErrorKind::Overloaded,
                    "the buffered request bodies exceed the memory limit",
                ));
            }
            match fault {
                // The rest of the body is read and discarded, so that the caller receives the response.
                Some(_) => content.clear(),
                None => content.extend_from_slice(&data),
            }
        }
        match fault {
            Some((kind, detail)) => Err(ServiceError::not_run(kind, detail)),
            None => Ok(content.freeze()),
        }
    }

    /// Checks that slow callers leave memory for another response.
    fn check_held_bytes(&self) -> Result<(), ServiceError> {
        let held = self.core.held.total();
        let limit = self.core.settings().memory_bytes / HELD_MEMORY_DIVISOR;
        if held <= limit {
            return Ok(());
        }
        Err(ServiceError::not_run(
            ErrorKind::Overloaded,
            format!("{held} bytes of responses wait for slow callers, {limit} are allowed"),
        ))
    }

    fn answer_readiness(&self) -> Response<ResponseBody> {
        let mut response = full_response(Response::new(Bytes::new()));
        if !self.core.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    /// Returns when a refused caller may return, in milliseconds, where plain room is off.
    fn retry_ms(&self, head: Option<&RequestHead>, error: &ServiceError) -> Option<u64> {
        let is_busy = matches!(error.kind, ErrorKind::NoUpstream | ErrorKind::Overloaded)
            && error.execution == ExecutionOutcome::NotRun;
        if !is_busy {
            return None;
        }
        let view = self.core.intent.borrow();
        let matched = head.and_then(|head| view.routes().resolve(&head.host, &head.path, &head.id));
        let now = self.core.now();
        let service = matched.map(|matched| matched.service);
        let next_permit = service
            .as_ref()
            .and_then(|service| self.core.roster.borrow().next_permit(now, service));
        let wait_ms = next_permit.map_or(0, |next| next.since(now));
        let wait_ms =
            wait_ms.max(service.map_or(0, |service| self.core.replacement_wait_ms(&service)));
        Some(wait_ms.clamp(BUSY_RETRY_MS, MAX_RETRY_MS))
    }

    /// Returns when a refused caller should return, in milliseconds, and why it waits.
    fn return_time(&self, head: &RequestHead, error: &ServiceError) -> Option<(u64, RefusalCause)> {
        let (matched, customer) = {
            let view = self.core.intent.borrow();
            let matched = view.routes().resolve(&head.host, &head.path, &head.id)?;
            let customer = view.customer_of(&matched.route, head.key.as_deref());
            let customer = customer.cloned();
            (matched, customer)
        };
        let request = (customer.as_ref(), head.id.as_str());
        let (return_ms, cause) = self.core.return_time(error, &matched.service, request)?;
        let metrics = &self.core.metrics.room;
        metrics.returns.with_label_values(&[cause.name()]).inc();
        let return_time = Duration::from_millis(return_ms);
        metrics.return_seconds.observe(return_time.as_secs_f64());
        Some((return_ms, cause))
    }

    /// Returns when a caller whose request crashes upstreams may return, in milliseconds.
    fn quarantine_ms(&self, head: &RequestHead, body: &[u8]) -> Option<u64> {
        let view = self.core.intent.borrow();
        let matched = view
            .routes()
            .resolve(&head.host, &head.path, head.first_attempt())?;
        drop(view);
        let customer = self.authenticate(head, Some(&matched.route)).ok()?;
        let digest = digest_request(head, customer.as_ref(), body);
        self.core.quarantine_ms(&digest)
    }

    fn refuse(
        &self,
        head: Option<&RequestHead>,
        error: &ServiceError,
        arrived: Instant,
    ) -> Response<ResponseBody> {
        self.refuse_for(None, head, error, arrived)
    }

    /// Refuses a request, for a known time if there is one.
    fn refuse_for(
        &self,
        known_ms: Option<u64>,
        head: Option<&RequestHead>,
        error: &ServiceError,
        arrived: Instant,
    ) -> Response<ResponseBody> {
        let id = head.map_or("", |head| head.id.as_str());
        let (retry_ms, cause) = match self.core.shares_plain_room() {
            true => head.and_then(|head| self.return_time(head, error)).unzip(),
            false => (self.retry_ms(head, error), None),
        };
        let retry_ms = known_ms.or(retry_ms);
        self.core
            .metrics
            .requests
            .with_label_values(&[error.kind.response().name])
            .inc();
        log_event!(self.core.logger, REQUEST_REFUSED;
            "request" => id, "kind" => error.kind.response().name,
            "execution" => format!("{:?}", error.execution), "detail" => &error.detail,
            "config_age_ms" => self.core.freshness.borrow().age(self.core.now()),
            "roster_age_ms" => self.core.roster.borrow().age(self.core.now()),
            "retry_ms" => retry_ms, "cause" => cause.map(RefusalCause::name),
            "elapsed_ms" => milliseconds(arrived.elapsed()));
        full_response(self.core.ports.callers.encode_error(id, error, retry_ms))
    }

    fn log_response(
        &self,
        head: &RequestHead,
        response: &Response<ResponseBody>,
        arrived: Instant,
    ) {
        let status = response.status();
        let source = response.extensions().get::<ResponseSource>();
        let outcome = match status.is_success() {
            true => "ok",
            false => "upstream_status",
        };
        self.core
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        let elapsed = arrived.elapsed();
        self.core
            .metrics
            .request_seconds
            .observe(elapsed.as_secs_f64());
        log_event!(self.core.logger, REQUEST_ANSWERED;
            "request" => &head.id, "path" => &head.path, "status" => status.as_u16(),
            "service" => source.map(|source| source.service.to_string()),
            "upstream" => source.map(|source| source.upstream.to_string()),
            "config_age_ms" => self.core.freshness.borrow().age(self.core.now()),
            "elapsed_ms" => milliseconds(elapsed));
    }
}

impl HttpHandler for CallerHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}

/// Authenticates a request by its API key.
///
/// # Errors
///
/// Returns `stale_configuration` if the configuration is too old to rule out that the key was revoked, and
/// `unauthenticated` if the key is missing or unknown.
pub fn check_key(
    core: &GatewayCore,
    head: &RequestHead,
    route: Option<&RouteRecord>,
) -> Result<Option<ObjectName>, ServiceError> {
    let view = core.intent.borrow();
    if !view.has_config() {
        return Err(stale_error("this process has not read a configuration yet"));
    }
    if route.is_some_and(|route| route.open) {
        return Ok(None);
    }
    match view.requires_key() {
        Some(true) => {}
        Some(false) => return Ok(None),
        None => {
            return Err(stale_error(
                "this process does not know yet whether callers need keys",
            ));
        }
    }
    if !core.is_fresh() {
        return Err(stale_error(
            "cannot check the API key: the configuration is too old",
        ));
    }
    let key = head.key.as_deref().and_then(|key| view.key(key));
    match key {
        Some(key) => Ok(Some(key.customer.clone())),
        None => Err(ServiceError::not_run(
            ErrorKind::Unauthenticated,
            "the API key is missing or unknown",
        )),
    }
}

fn digest_request(head: &RequestHead, customer: Option<&ObjectName>, body: &[u8]) -> BodyDigest {
    let parts = [head.method.as_str(), &head.host, &head.target];
    request_digest(customer, parts, body)
}

fn full_response(response: BufferedResponse) -> Response<ResponseBody> {
    response.map(ResponseBody::whole)
}

fn stale_error(detail: &str) -> ServiceError {
    ServiceError::not_run(ErrorKind::StaleConfiguration, detail)
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
