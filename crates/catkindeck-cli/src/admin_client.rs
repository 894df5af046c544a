//! Calls to the admin address of an entry.

use {
    crate::output::CommandContext,
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{fs, time::Duration},
    ureq::{Agent, Body, http::Response},
};

/// The longest time for one call.
///
/// Applying waits at the entry until the change is in force everywhere, 17 s at target size.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest answer, in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Calls entries in order until one can be reached; all entries are equal.
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
    /// Makes a client with the operator key of the context.
    ///
    /// # Errors
    ///
    /// Returns `unauthenticated` if no key file is given, or the fault of reading it.
    pub fn open(context: &CommandContext) -> Result<Self, ServiceError> {
        let Some(path) = &context.operator_key_file else {
            let detail = "give the operator key with --operator-key-file or \
                          CATKINDECK_OPERATOR_KEY_FILE";
            return Err(ServiceError::not_run(ErrorKind::Unauthenticated, detail));
        };
        let key =
            fs::read_to_string(path).map_err(|error| crate::files::unreadable(path, &error))?;
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

    /// Reads from a path.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or `peer_unavailable` if none answers.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ServiceError> {
        self.first_answer(|address| {
            let request = self.agent.get(format!("{address}{path}"));
            request.header("authorization", self.bearer()).call()
        })
    }

    /// Sends a body to a path.
    ///
    /// # Errors
    ///
    /// Returns the entry's error, or `peer_unavailable` if none answers; the call may then have
    /// taken effect.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, ServiceError> {
        self.first_answer(|address| {
            let request = self.agent.post(format!("{address}{path}"));
            request
                .header("authorization", self.bearer())
                .send_json(body)
        })
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    /// Tries the addresses in order; every admin call is safe to repeat at another entry.
    fn first_answer<T: DeserializeOwned>(
        &self,
        call: impl Fn(&str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<T, ServiceError> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            match call(address) {
                Ok(response) => return read_answer(response),
                Err(error) => failures.push(format!("{address}: {error}")),
            }
        }
        Err(ServiceError::unknown(
            ErrorKind::PeerUnavailable,
            format!("no entry answered ({})", failures.join("; ")),
        ))
    }
}

/// Reads the expected answer, which also some statuses beyond 200 carry, or the error form.
fn read_answer<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, ServiceError> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(ANSWER_LIMIT)
        .read_to_vec();
    let broken = |detail: String| ServiceError::unknown(ErrorKind::PeerUnavailable, detail);
    let body = body.map_err(|error| broken(format!("the answer broke off: {error}")))?;
    if let Ok(ErrorBody { error }) = serde_json::from_slice(&body) {
        return Err(ServiceError {
            kind: error.kind,
            execution: error.execution,
            detail: error.message,
        });
    }
    serde_json::from_slice(&body).map_err(|error| {
        broken(format!(
            "the answer with status {status} is not valid: {error}"
        ))
    })
}
