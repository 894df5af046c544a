//! HTTP client for the admin address of an entry.

use {
    crate::output::CommandContext,
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{fs, time::Duration},
    ureq::{Agent, Body, http::Response},
};

/// The timeout of one call.
///
/// An apply call returns once the change is active everywhere, which takes 17 s at the target
/// deployment size.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Sends each call to the first entry that can be reached; all entries are equivalent.
pub struct AdminClient {
    addresses: Vec<String>,
    key: String,
    agent: Agent,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorContent,
}

#[derive(Deserialize)]
struct ErrorContent {
    kind: ErrorKind,
    execution: ExecutionOutcome,
    message: String,
}

impl AdminClient {
    /// Creates a client that authenticates with the operator key of the context.
    ///
    /// # Errors
    ///
    /// Returns `unauthenticated` if no key file is given, or the error of reading it.
    pub fn open(context: &CommandContext) -> Result<Self, ServiceError> {
        let Some(path) = &context.operator_key_file else {
            let detail = "no operator key: set --operator-key-file or \
                          CATKINDECK_OPERATOR_KEY_FILE";
            return Err(ServiceError::not_run(ErrorKind::Unauthenticated, detail));
        };
        let key =
            fs::read_to_string(path).map_err(|error| crate::files::read_error(path, &error))?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Ok(Self {
            addresses: context.admin.clone(),
            key: key.trim().to_owned(),
            agent: config.new_agent(),
        })
    }

    /// Sends a GET request to a path.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or `peer_unavailable` if no entry responds.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ServiceError> {
        self.call_first_reachable(|address| {
            let request = self.agent.get(format!("{address}{path}"));
            request.header("authorization", self.authorization()).call()
        })
    }

    /// Sends a POST request with a JSON body to a path.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or `peer_unavailable` if no entry responds; the call may then
    /// have taken effect.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, ServiceError> {
        self.call_first_reachable(|address| {
            let request = self.agent.post(format!("{address}{path}"));
            request
                .header("authorization", self.authorization())
                .send_json(body)
        })
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.key)
    }

    /// Tries the addresses in order; every admin call is safe to repeat at another entry.
    fn call_first_reachable<T: DeserializeOwned>(
        &self,
        call: impl Fn(&str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<T, ServiceError> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            match call(address) {
                Ok(response) => return parse_response(response),
                Err(error) => failures.push(format!("{address}: {error}")),
            }
        }
        Err(ServiceError::unknown(
            ErrorKind::PeerUnavailable,
            format!("no entry responded ({})", failures.join("; ")),
        ))
    }
}

/// Parses a response: the result, which some statuses other than 200 carry as well, or an error
/// object.
///
/// # Errors
///
/// Returns the error object, or `peer_unavailable` if the response is neither.
pub fn parse_response<T: DeserializeOwned>(
    mut response: Response<Body>,
) -> Result<T, ServiceError> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec();
    let unavailable_error =
        |detail: String| ServiceError::unknown(ErrorKind::PeerUnavailable, detail);
    let body =
        body.map_err(|error| unavailable_error(format!("cannot read the response: {error}")))?;
    if let Ok(ErrorBody { error }) = serde_json::from_slice(&body) {
        return Err(ServiceError {
            kind: error.kind,
            execution: error.execution,
            detail: error.message,
        });
    }
    serde_json::from_slice(&body).map_err(|error| {
        unavailable_error(format!(
            "cannot parse the response with status {status}: {error}"
        ))
    })
}
