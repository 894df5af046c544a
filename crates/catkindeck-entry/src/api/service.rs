//! Finds the handler of a request, and what all handlers share.

use {
    super::{call, completion, trainer},
    crate::{
        credentials::{CallerIdentity, CallerKeys},
        events::REQUEST_ANSWERED,
        forward::{DeliveredAnswer, ForwardEnd, ForwardWork, RequestForwarder},
        headers::{read_deadline, read_idempotency_key},
        http::{CallerHandler, CallerRequest, ReplySink, send_error},
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

/// Limits on the content of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiLimits {
    /// The most tokens that one completion may ask for.
    pub max_tokens: u32,
    /// The most samples in a training step.
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

/// Answers callers and trainers.
pub struct EntryService {
    forwarder: Arc<RequestForwarder>,
    steps: Option<Arc<dyn StepService>>,
    limits: ApiLimits,
}

/// Who a request is counted for.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestLabels {
    pub(super) route: Option<ObjectName>,
    pub(super) customer: Option<ObjectName>,
}

impl EntryService {
    /// Makes the service; without `steps` the trainers' endpoints answer `not_found`.
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
    /// decision 9), and `unauthenticated` without a known key.
    pub(super) fn authenticate(
        &self,
        snapshot: &ConfigSnapshot,
        keys: &CallerKeys,
        labels: &mut RequestLabels,
    ) -> Result<CallerIdentity, ServiceError> {
        if !self.forwarder.source().is_fresh() {
            return Err(ServiceError::not_run(
                ErrorKind::StaleConfiguration,
                "this entry has not heard of the configuration for too long to check keys",
            ));
        }
        let identity = keys.authenticate(snapshot)?;
        labels.customer = Some(identity.customer.clone());
        Ok(identity)
    }

    /// Authenticates by the rules of a route, or without one, because an unknown route must not be
    /// told from a known one without a key.
    pub(super) fn admit<'a>(
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

    /// Builds the work of an admitted request.
    pub(super) fn build_work(
        &self,
        request: &CallerRequest,
        admitted: (&RouteRecord, Option<CallerIdentity>),
        content: WorkContent,
    ) -> Result<ForwardWork, ServiceError> {
        let (route, identity) = admitted;
        let now = self.forwarder.now();
        let asked = read_deadline(&request.headers)?.unwrap_or(u64::MAX);
        Ok(ForwardWork {
            request: request.id,
            identity,
            route: route.clone(),
            class: WorkClass::Interactive,
            priority: content.priority,
            deadline: now + asked.min(route.timeout_ms),
            idempotency_key: read_idempotency_key(&request.headers)?,
            digest: content.digest,
            prefix: content.prefix,
            sample: None,
            body: content.body,
        })
    }

    /// Counts and logs how a request ended.
    pub(super) fn note_end(
        &self,
        request: &CallerRequest,
        labels: &RequestLabels,
        started: Moment,
        end: Result<Option<&DeliveredAnswer>, &ForwardEnd>,
    ) {
        let metrics = self.forwarder.metrics();
        let elapsed = self.forwarder.now().since(started);
        let (route, customer) = (labels.route.as_ref(), labels.customer.as_ref());
        let answer = match end {
            Ok(delivered) => {
                metrics.count_answer(route, customer, None);
                if let Some(route) = route {
                    metrics.observe_total(route, Duration::from_millis(elapsed));
                }
                if let Some(delivered) = delivered {
                    metrics.count_tokens(customer, delivered.labels.token_count());
                }
                "ok"
            }
            Err(ForwardEnd::Failed(error)) => {
                metrics.count_answer(route, customer, Some(error.kind));
                error.kind.answer().name
            }
            Err(ForwardEnd::CallerGone) => {
                if let Some(route) = route {
                    metrics.count_departed(route, customer);
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
        reply: &mut dyn ReplySink,
        labels: &mut RequestLabels,
    ) -> Result<Option<DeliveredAnswer>, ForwardEnd> {
        let path = request.uri.path();
        if path == "/v1/completions" {
            return completion::handle(self, request, reply, labels).map(Some);
        }
        if let Some(rest) = path.strip_prefix("/r/") {
            return call::handle(self, request, rest, reply, labels).map(Some);
        }
        if let Some(rest) = path.strip_prefix("/v1/runs/") {
            trainer::handle(self, request, rest, reply, labels)?;
            return Ok(None);
        }
        let detail = "known paths: /v1/completions, /r/{route}/{rest}, /v1/runs/{run}/...";
        Err(ServiceError::not_run(ErrorKind::NotFound, detail).into())
    }
}

impl CallerHandler for EntryService {
    fn handle(&self, request: CallerRequest, reply: &mut dyn ReplySink) {
        let started = self.forwarder.now();
        let mut labels = RequestLabels::default();
        let end = self.dispatch(&request, reply, &mut labels);
        // An answer that was opened cannot become an error; it stays unfinished.
        if let Err(ForwardEnd::Failed(error)) = &end
            && !reply.is_opened()
        {
            // The error means that the caller is gone, which needs no answer.
            let _ = send_error(reply, error, request.id);
        }
        let end = end.as_ref().map(Option::as_ref);
        self.note_end(&request, &labels, started, end);
    }
}

/// The content of a request as its endpoint read it.
pub(super) struct WorkContent {
    pub(super) priority: u8,
    pub(super) digest: BodyDigest,
    pub(super) prefix: Option<u64>,
    pub(super) body: WorkBody,
}

/// Digests a request's customer, route and content; every part is length-prefixed.
pub(crate) fn digest_work(
    admitted: (&RouteRecord, Option<&CallerIdentity>),
    parts: &[&[u8]],
) -> BodyDigest {
    let (route, identity) = admitted;
    let customer = identity.map_or("", |identity| identity.customer.as_str());
    let mut hasher = blake3::Hasher::new();
    let names = [customer.as_bytes(), route.name.as_str().as_bytes()];
    for part in names.iter().chain(parts) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    BodyDigest(*hasher.finalize().as_bytes())
}
