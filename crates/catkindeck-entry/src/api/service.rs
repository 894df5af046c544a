//! Dispatches requests to the handlers, and provides what they share: authentication, construction
//! of the work item, and request metrics.

use {
    super::{call, completion, trainer},
    crate::{
        credentials::{CallerIdentity, CallerKeys},
        events::REQUEST_ANSWERED,
        forward::{DeliveredResponse, ForwardError, ForwardWork, RequestForwarder},
        headers::{read_deadline, read_idempotency_key},
        http::{CallerRequest, RequestHandler, ResponseWriter, send_error},
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        config::{ConfigSnapshot, RouteRecord},
        id::{BodyDigest, ObjectName},
        log_event,
        message::{WorkBody, WorkClass},
    },
    catkindeck_control::step::StepService,
    std::{sync::Arc, time::Duration},
};

/// The limits on the content of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiLimits {
    /// The maximum `max_tokens` of one completion.
    pub max_tokens: u32,
    /// The maximum number of samples in a training step.
    pub step_samples: u32,
}

impl Default for ApiLimits {
    fn default() -> Self {
        Self {
            max_tokens: 65_536,
            step_samples: 16_384,
        }
    }
}

/// Handles the requests of callers and trainers.
pub struct EntryService {
    forwarder: Arc<RequestForwarder>,
    steps: Option<Arc<dyn StepService>>,
    limits: ApiLimits,
}

/// The metric labels of a request, as far as they are known.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestLabels {
    pub(super) route: Option<ObjectName>,
    pub(super) customer: Option<ObjectName>,
}

impl EntryService {
    /// Creates the service; without `steps` the trainer endpoints answer with `not_found`.
    pub fn new(
        forwarder: Arc<RequestForwarder>,
        steps: Option<Arc<dyn StepService>>,
        limits: ApiLimits,
    ) -> Self {
        Self {
            forwarder,
            steps,
            limits,
        }
    }

    pub(super) fn forwarder(&self) -> &RequestForwarder {
        &self.forwarder
    }

    pub(super) fn steps(&self) -> Result<&dyn StepService, ServiceError> {
        self.steps.as_deref().ok_or_else(|| {
            ServiceError::not_run(ErrorKind::NotFound, "this entry serves no training runs")
        })
    }

    pub(super) fn limits(&self) -> ApiLimits {
        self.limits
    }

    /// Authenticates the caller of a request that needs a key.
    ///
    /// # Errors
    ///
    /// Returns `stale_configuration` if a revocation may have been missed (`docs/design.md`,
    /// decision 9), and `unauthenticated` if the request carries no valid key.
    pub(super) fn authenticate(
        &self,
        snapshot: &ConfigSnapshot,
        keys: &CallerKeys,
        labels: &mut RequestLabels,
    ) -> Result<CallerIdentity, ServiceError> {
        if !self.forwarder.source().is_fresh() {
            return Err(ServiceError::not_run(
                ErrorKind::StaleConfiguration,
                "this entry's configuration is too old to authenticate keys",
            ));
        }
        let identity = keys.authenticate(snapshot)?;
        labels.customer = Some(identity.customer.clone());
        Ok(identity)
    }

    /// Authenticates the caller unless the route is open.
    ///
    /// A caller without a key gets the same error for an unknown route as for a known one, so that
    /// route names cannot be probed.
    pub(super) fn authenticate_for_route<'a>(
        &self,
        snapshot: &'a ConfigSnapshot,
        route: Option<&'a RouteRecord>,
        keys: &CallerKeys,
        labels: &mut RequestLabels,
    ) -> Result<(&'a RouteRecord, Option<CallerIdentity>), ServiceError> {
        labels.route = route.map(|route| route.name.clone());
        if let Some(route) = route
            && route.open
        {
            return Ok((route, None));
        }
        let identity = self.authenticate(snapshot, keys, labels)?;
        let route = route.ok_or_else(|| {
            ServiceError::not_run(ErrorKind::NotFound, "no route or model has this name")
        })?;
        Ok((route, Some(identity)))
    }

    /// Builds the work item of a request from the result of [`Self::authenticate_for_route`] and the
    /// fields that the endpoint supplies.
    pub(super) fn build_work(
        &self,
        request: &CallerRequest,
        route_and_identity: (&RouteRecord, Option<CallerIdentity>),
        fields: EndpointFields,
    ) -> Result<ForwardWork, ServiceError> {
        let (route, identity) = route_and_identity;
        let now = self.forwarder.now();
        let timeout = read_deadline(&request.headers)?.unwrap_or(u64::MAX);
        Ok(ForwardWork {
            request: request.id,
            identity,
            route: route.clone(),
            class: WorkClass::Interactive,
            priority: fields.priority,
            deadline: now + timeout.min(route.timeout_ms),
            idempotency_key: read_idempotency_key(&request.headers)?,
            digest: fields.digest,
            prefix: fields.prefix,
            sample: None,
            body: fields.body,
        })
    }

    /// Records the result of a request in the metrics and the log.
    pub(super) fn record_result(
        &self,
        request: &CallerRequest,
        labels: &RequestLabels,
        started: Moment,
        result: Result<Option<&DeliveredResponse>, &ForwardError>,
    ) {
        let metrics = self.forwarder.metrics();
        let elapsed = self.forwarder.now().since(started);
        let (route, customer) = (labels.route.as_ref(), labels.customer.as_ref());
        let answer = match result {
            Ok(delivered) => {
                metrics.count_response(route, customer, None);
                if let Some(route) = route {
                    metrics.observe_request_duration(route, Duration::from_millis(elapsed));
                }
                if let Some(delivered) = delivered {
                    metrics.count_tokens(customer, delivered.labels.token_count());
                }
                "ok"
            }
            Err(ForwardError::Failed(error)) => {
                metrics.count_response(route, customer, Some(error.kind));
                error.kind.response().name
            }
            Err(ForwardError::CallerDisconnected) => {
                if let Some(route) = route {
                    metrics.count_disconnected(route, customer);
                }
                "caller_gone"
            }
        };
        log_event!(self.forwarder.logger(), REQUEST_ANSWERED; "request" => %request.id,
            "answer" => answer, "elapsed_ms" => elapsed);
    }

    fn dispatch(
        &self,
        request: &CallerRequest,
        writer: &mut dyn ResponseWriter,
        labels: &mut RequestLabels,
    ) -> Result<Option<DeliveredResponse>, ForwardError> {
        let path = request.uri.path();
        if path == "/v1/completions" {
            return completion::handle(self, request, writer, labels).map(Some);
        }
        if let Some(rest) = path.strip_prefix("/r/") {
            return call::handle(self, request, rest, writer, labels).map(Some);
        }
        if let Some(rest) = path.strip_prefix("/v1/runs/") {
            trainer::handle(self, request, rest, writer, labels)?;
            return Ok(None);
        }
        let detail =
            "unknown path; known are /v1/completions, /r/{route}/{rest} and /v1/runs/{run}/...";
        Err(ServiceError::not_run(ErrorKind::NotFound, detail).into())
    }
}

impl RequestHandler for EntryService {
    fn handle(&self, request: CallerRequest, writer: &mut dyn ResponseWriter) {
        let started = self.forwarder.now();
        let mut labels = RequestLabels::default();
        let result = self.dispatch(&request, writer, &mut labels);
        // A response that is already open cannot become an error; it stays unfinished.
        if let Err(ForwardError::Failed(error)) = &result
            && !writer.headers_sent()
        {
            // An error means that the caller has disconnected and needs no response.
            let _ = send_error(writer, error, request.id);
        }
        let result = result.as_ref().map(Option::as_ref);
        self.record_result(&request, &labels, started, result);
    }
}

/// The fields of a [`ForwardWork`] that the endpoint supplies.
pub(super) struct EndpointFields {
    pub(super) priority: u8,
    pub(super) digest: BodyDigest,
    pub(super) prefix: Option<u64>,
    pub(super) body: WorkBody,
}

/// Returns the digest of a request's customer, route and content, each part length-prefixed.
pub(crate) fn digest_work(
    route_and_identity: (&RouteRecord, Option<&CallerIdentity>),
    parts: &[&[u8]],
) -> BodyDigest {
    let (route, identity) = route_and_identity;
    let customer = identity.map_or("", |identity| identity.customer.as_str());
    let mut hasher = blake3::Hasher::new();
    let names = [customer.as_bytes(), route.name.as_str().as_bytes()];
    for part in names.iter().chain(parts) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    BodyDigest(*hasher.finalize().as_bytes())
}
