//! The HTTP client for plain services.

use {
    super::{
        ProbeOutcome, ResponseSink, StreamControl, UpstreamClient, UpstreamOutcome,
        http::{build_agent, read_boot, read_failure, request_failure, status_failure},
    },
    crate::settings::{AgentTimeouts, UpstreamSettings},
    catkindeck::{
        ErrorKind, ServiceError,
        headers::{REQUEST_HEADERS, RESPONSE_HEADERS},
        id::RequestId,
        message::{CallBody, ExecuteRequest, OrderKind, WorkBody},
    },
    std::{
        io::{self, Read},
        net::{TcpStream, ToSocketAddrs},
        time::Duration,
    },
    ureq::{
        Agent,
        http::{HeaderMap, Method, Request, Uri},
    },
};

/// The maximum size of a forwarded chunk, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// The client for one plain service.
pub struct PlainUpstream {
    agent: Agent,
    base_url: String,
    connect: Duration,
}

impl PlainUpstream {
    /// Creates a client. No connection is opened before the first call.
    pub fn new(settings: &UpstreamSettings, timeouts: &AgentTimeouts) -> Self {
        Self {
            agent: build_agent(timeouts.connect),
            base_url: settings.base_url.clone(),
            connect: timeouts.connect,
        }
    }

    fn call(
        &self,
        request: &ExecuteRequest,
        call: &CallBody,
        limit: Duration,
        sink: &mut dyn ResponseSink,
    ) -> UpstreamOutcome {
        let result = match self.build_request(request, call) {
            Ok(built) => {
                let configured = self
                    .agent
                    .configure_request(built)
                    .timeout_global(Some(limit))
                    .allow_non_standard_methods(true)
                    .build();
                self.agent.run(configured)
            }
            Err(error) => return UpstreamOutcome::NotSent(error),
        };
        let response = match result {
            Ok(response) => response,
            Err(error) => return request_failure(&error),
        };
        sink.boot(read_boot(response.headers()));
        if let Some(failure) = status_failure(response.status().as_u16()) {
            return failure;
        }
        let headers = pass_headers(response.headers());
        if sink.head(response.status().as_u16(), headers) == StreamControl::Stop {
            return UpstreamOutcome::Stopped;
        }
        let mut reader = response
            .into_body()
            .into_with_config()
            .limit(u64::MAX)
            .reader();
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            match reader.read(&mut buffer) {
                Ok(0) => return UpstreamOutcome::Complete,
                Ok(length) => {
                    if sink.chunk(&buffer[..length], 0, None) == StreamControl::Stop {
                        return UpstreamOutcome::Stopped;
                    }
                }
                Err(error) => return read_failure(&error),
            }
        }
    }

    fn build_request(
        &self,
        request: &ExecuteRequest,
        call: &CallBody,
    ) -> Result<Request<Vec<u8>>, ServiceError> {
        let reject = |detail: &str| ServiceError::not_run(ErrorKind::BadRequest, detail);
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| reject(&format!("invalid HTTP method `{}`", call.method)))?;
        let takes_no_body = [Method::GET, Method::HEAD, Method::TRACE].contains(&method);
        if takes_no_body && !call.bytes.is_empty() {
            return Err(reject("a GET, HEAD or TRACE request must not have a body"));
        }
        // A path without a leading slash could change the host of the URL.
        if !call.path.starts_with('/') {
            return Err(reject("expected a path that starts with `/`"));
        }
        let uri: Uri = format!("{}{}", self.base_url, call.path)
            .parse()
            .map_err(|_| reject("the path is not valid in a URL"))?;
        let mut builder = Request::builder()
            .method(method)
            .uri(uri)
            .header("x-request-id", request.request.to_string());
        for (name, value) in &call.headers {
            let name = name.to_ascii_lowercase();
            if REQUEST_HEADERS.contains(&name.as_str()) {
                builder = builder.header(name, value);
            }
        }
        builder
            .body(call.bytes.clone())
            .map_err(|_| reject("a request header is invalid"))
    }
}

impl UpstreamClient for PlainUpstream {
    fn run(
        &self,
        request: &ExecuteRequest,
        limit: Duration,
        sink: &mut dyn ResponseSink,
    ) -> UpstreamOutcome {
        match &request.body {
            WorkBody::Call(call) => self.call(request, call, limit, sink),
            WorkBody::Completion(_) => UpstreamOutcome::NotSent(ServiceError::not_run(
                ErrorKind::BadRequest,
                "expected a plain HTTP request, got a completion: the upstream is a plain service",
            )),
        }
    }

    fn cancel(&self, _request: &RequestId) {}

    fn order(&self, kind: &OrderKind, _fence: u64) -> Result<(), ServiceError> {
        match kind {
            OrderKind::Leave | OrderKind::SetZone(_) => Ok(()),
            OrderKind::Stage(_) | OrderKind::Activate(_) | OrderKind::ChangeRole(_) => {
                Err(ServiceError::not_run(
                    ErrorKind::BadRequest,
                    "cannot apply the order: a plain service has no weights and no role",
                ))
            }
        }
    }

    /// Only opens and closes a connection, because a plain service has no load report.
    fn probe(&self, _events_after: u64) -> ProbeOutcome {
        let authority = self.base_url.trim_start_matches("http://");
        let addresses = match authority.to_socket_addrs() {
            Ok(addresses) => addresses,
            Err(error) => return ProbeOutcome::Unreachable(error.to_string()),
        };
        let mut outcome =
            ProbeOutcome::Unreachable(format!("`{authority}` resolved to no address"));
        for address in addresses {
            match TcpStream::connect_timeout(&address, self.connect) {
                Ok(_) => return ProbeOutcome::Reachable,
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    outcome = ProbeOutcome::TimedOut;
                }
                Err(error) => outcome = ProbeOutcome::Unreachable(error.to_string()),
            }
        }
        outcome
    }
}

fn pass_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let passed = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        let allowed = RESPONSE_HEADERS.contains(&name.as_str());
        allowed.then(|| (name.as_str().to_owned(), value.to_owned()))
    });
    passed.collect()
}
