//! The HTTP API for operators, independent of the HTTP server.

use {
    super::{
        announce::IntentAnnouncer,
        apply::{ApplyOutcome, IntentApplier},
        capacity::LoadView,
        plan::PlanId,
        ports::{ConfigStore, LoadSource, PropagationState},
        update::IntentUpdate,
    },
    crate::events,
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, RouteRecord, RunRecord, ServiceRecord, ZoneRecord},
        id::{KeyDigest, ObjectName},
        log_event, message,
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::json,
    slog::Logger,
    std::sync::Arc,
};

/// The maximum body size of an operator's request, in bytes.
///
/// At the target size, the declarations of 5,700 upstreams with about 120 bytes each take 700 KB.
const BODY_LIMIT: usize = 4 << 20;

/// An operator's request as received by the entry.
#[derive(Debug, Clone, Copy)]
pub struct AdminRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    /// The operator key from the `Authorization` header, without `Bearer`.
    pub key: Option<&'a str>,
    pub body: &'a [u8],
    /// The time since the Unix epoch, in milliseconds.
    pub now_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    pub status: u16,
    /// The JSON body.
    pub body: Vec<u8>,
}

/// The body of `/v1/intent/apply`.
#[message]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The update from which the plan was made.
    pub statement: IntentUpdate,
    /// The ID of the confirmed plan.
    pub plan: PlanId,
    /// Whether the operator accepts that a service has too few upstreams for its load.
    #[serde(default)]
    pub accept_shortfall: bool,
}

/// A key as shown to operators.
#[message]
pub struct KeyStatus {
    pub label: ObjectName,
    pub customer: ObjectName,
    /// The first 12 hexadecimal digits of the digest.
    pub digest_start: String,
}

/// The response of `/v1/intent/status`.
#[message]
pub struct IntentStatus {
    /// The current revision.
    pub revision: ConfigRevision,
    /// How far the revision has propagated, or `None` if that is unknown.
    pub spread: Option<PropagationState>,
    /// The names and weights of the customers.
    pub customers: Vec<(ObjectName, u32)>,
    /// The keys that are not revoked.
    pub keys: Vec<KeyStatus>,
    pub services: Vec<ServiceRecord>,
    pub routes: Vec<RouteRecord>,
    pub zones: Vec<ZoneRecord>,
    /// The number of upstreams that are not removed.
    pub upstreams: usize,
    pub runs: Vec<RunRecord>,
    pub load: LoadView,
}

/// Handles operators' requests on one entry.
pub struct IntentAdmin {
    store: Arc<dyn ConfigStore>,
    load_source: Arc<dyn LoadSource>,
    announcer: Option<Arc<dyn IntentAnnouncer>>,
    operators: Vec<KeyDigest>,
    logger: Logger,
}

impl IntentAdmin {
    /// Creates the API; `operators` are the digests of the accepted operator keys.
    pub fn new(
        store: Arc<dyn ConfigStore>,
        load_source: Arc<dyn LoadSource>,
        operators: Vec<KeyDigest>,
        logger: Logger,
    ) -> Self {
        Self {
            store,
            load_source,
            announcer: None,
            operators,
            logger,
        }
    }

    /// Sets the announcer that notifies agents when the state of their zone changes.
    pub fn with_announcer(mut self, announcer: Arc<dyn IntentAnnouncer>) -> Self {
        self.announcer = Some(announcer);
        self
    }

    /// Handles a request. Errors are mapped to responses as listed in `docs/errors.md`.
    pub fn handle(&self, request: AdminRequest<'_>) -> AdminResponse {
        match self.dispatch(request) {
            Ok(response) => response,
            Err(error) => {
                log_event!(self.logger, events::OPERATOR_REFUSED; "path" => request.path,
                    "kind" => %error.kind);
                error_response(&error)
            }
        }
    }

    fn dispatch(&self, request: AdminRequest<'_>) -> Result<AdminResponse, ServiceError> {
        let operator = self.authenticate(request.key)?;
        if request.body.len() > BODY_LIMIT {
            let detail = format!("the body exceeds {BODY_LIMIT} bytes");
            return Err(ServiceError::not_run(ErrorKind::TooLarge, detail));
        }
        // The load is read only where it is needed, because that takes calls to agents.
        let applier = |view: LoadView| IntentApplier {
            store: &*self.store,
            announcer: self.announcer.as_deref(),
            view,
            now_ms: request.now_ms,
        };
        match (request.method, request.path) {
            ("POST", "/v1/intent/plan") => {
                let update: IntentUpdate = parse_body(request.body)?;
                to_response(200, &applier(self.load_source.load()).plan(&update)?)
            }
            ("POST", "/v1/intent/apply") => {
                let apply: ApplyRequest = parse_body(request.body)?;
                let ApplyRequest {
                    statement,
                    plan,
                    accept_shortfall,
                } = apply;
                let applier = applier(self.load_source.load());
                let outcome = applier.apply(&statement, &plan, accept_shortfall)?;
                let digest_start: String = operator.to_string().chars().take(12).collect();
                log_event!(self.logger, events::PLAN_JUDGED; "plan" => %plan,
                    "operator" => digest_start, "outcome" => outcome.name());
                outcome_response(&outcome)
            }
            ("GET", "/v1/intent/status") => {
                to_response(200, &self.status(self.load_source.load())?)
            }
            ("GET", path) => match path.strip_prefix("/v1/intent/outcome/") {
                Some(id) => outcome_response(&applier(LoadView::default()).outcome(&id.parse()?)?),
                None => Err(unknown_operation_error(request)),
            },
            _ => Err(unknown_operation_error(request)),
        }
    }

    /// Returns the digest of the operator's key.
    fn authenticate(&self, key: Option<&str>) -> Result<KeyDigest, ServiceError> {
        let key = key.ok_or_else(|| {
            ServiceError::not_run(ErrorKind::Unauthenticated, "an operator key is required")
        })?;
        // blake3 hashes are compared in constant time.
        let digest = KeyDigest::of(key);
        let presented = blake3::Hash::from_bytes(digest.0);
        let known = self.operators.iter().fold(false, |known, operator| {
            known | (blake3::Hash::from_bytes(operator.0) == presented)
        });
        if known {
            return Ok(digest);
        }
        Err(ServiceError::not_run(
            ErrorKind::Unauthenticated,
            "the key is not an operator key",
        ))
    }

    fn status(&self, load: LoadView) -> Result<IntentStatus, ServiceError> {
        let head = self.store.head()?;
        let customers = head.customers.iter();
        let members = head
            .upstreams
            .iter()
            .filter(|upstream| upstream.removed_ms.is_none());
        let keys = head.keys.iter().map(|key| KeyStatus {
            label: key.label.clone(),
            customer: key.customer.clone(),
            digest_start: key.digest.to_string().chars().take(12).collect(),
        });
        Ok(IntentStatus {
            revision: head.revision,
            spread: self.store.await_propagation(head.revision).ok(),
            customers: customers
                .map(|customer| (customer.name.clone(), customer.weight))
                .collect(),
            keys: keys.collect(),
            upstreams: members.count(),
            services: head.services,
            routes: head.routes,
            zones: head.zones,
            runs: head.runs,
            load,
        })
    }
}

fn unknown_operation_error(request: AdminRequest<'_>) -> ServiceError {
    let detail = format!("unknown operation: {} {}", request.method, request.path);
    ServiceError::not_run(ErrorKind::NotFound, detail)
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, ServiceError> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("malformed request body: {error}");
        ServiceError::not_run(ErrorKind::BadRequest, detail)
    })
}

fn outcome_response(outcome: &ApplyOutcome) -> Result<AdminResponse, ServiceError> {
    let status = match outcome {
        ApplyOutcome::Accepted { .. } | ApplyOutcome::NotApplied { .. } => 200,
        ApplyOutcome::Refused { .. } => ErrorKind::Conflict.response().status,
        ApplyOutcome::Unknown { .. } => 202,
    };
    to_response(status, outcome)
}

fn to_response<T: Serialize>(status: u16, content: &T) -> Result<AdminResponse, ServiceError> {
    let body = serde_json::to_vec(content).map_err(|error| {
        ServiceError::unknown(
            ErrorKind::Internal,
            format!("cannot encode the response: {error}"),
        )
    })?;
    Ok(AdminResponse { status, body })
}

fn error_response(error: &ServiceError) -> AdminResponse {
    let body = json!({"error": {
        "kind": error.kind,
        "execution": error.execution,
        "message": error.detail,
    }});
    AdminResponse {
        status: error.kind.response().status,
        body: body.to_string().into_bytes(),
    }
}
