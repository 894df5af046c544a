//! The client of a plain service.

use {
    super::{
        ProbeOutcome, StreamFlow, UpstreamClient, UpstreamEnd, UpstreamEvents,
        http::{build_agent, end_of, end_of_read, read_boot},
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

/// The size of the pieces in which an answer is passed on, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// A plain service.
pub struct PlainUpstream {
    agent: Agent,
    base_url: String,
    connect: Duration,
}

impl PlainUpstream {
    /// Makes a client; no connection is opened before the first call.
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
        events: &mut dyn UpstreamEvents,
    ) -> UpstreamEnd {
        let sent = match self.build_request(request, call) {
            Ok(built) => {
                let configured = self
                    .agent
                    .configure_request(built)
                    .timeout_global(Some(limit))
                    .allow_non_standard_methods(true)
                    .build();
                self.agent.run(configured)
            }
            Err(error) => return UpstreamEnd::NotSent(error),
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => return end_of(&error),
        };
        events.boot(read_boot(response.headers()));
        let headers = pass_headers(response.headers());
        if events.head(response.status().as_u16(), headers) == StreamFlow::Stop {
            return UpstreamEnd::Stopped;
        }
        let mut reader = response
            .into_body()
            .into_with_config()
            .limit(u64::MAX)
            .reader();
        let mut piece = vec![0; CHUNK_BYTES];
        loop {
            match reader.read(&mut piece) {
                Ok(0) => return UpstreamEnd::Complete,
                Ok(length) => {
                    if events.chunk(&piece[..length], 0, None) == StreamFlow::Stop {
                        return UpstreamEnd::Stopped;
                    }
                }
                Err(error) => return end_of_read(&error),
            }
        }
    }

    fn build_request(
        &self,
        request: &ExecuteRequest,
        call: &CallBody,
    ) -> Result<Request<Vec<u8>>, ServiceError> {
        let refuse = |detail: &str| ServiceError::not_run(ErrorKind::BadRequest, detail);
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| refuse("the HTTP method is not valid"))?;
        let takes_no_body = [Method::GET, Method::HEAD, Method::TRACE].contains(&method);
        if takes_no_body && !call.bytes.is_empty() {
            return Err(refuse("a request with this HTTP method has no body"));
        }
        // A path that starts otherwise could change the host of the address.
        if !call.path.starts_with('/') {
            return Err(refuse("the path does not start with a slash"));
        }
        let uri: Uri = format!("{}{}", self.base_url, call.path)
            .parse()
            .map_err(|_| refuse("the path is not valid"))?;
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
            .map_err(|_| refuse("a header is not valid"))
    }
}

impl UpstreamClient for PlainUpstream {
    fn run(
        &self,
        request: &ExecuteRequest,
        limit: Duration,
        events: &mut dyn UpstreamEvents,
    ) -> UpstreamEnd {
        match &request.body {
            WorkBody::Call(call) => self.call(request, call, limit, events),
            WorkBody::Completion(_) => UpstreamEnd::NotSent(ServiceError::not_run(
                ErrorKind::BadRequest,
                "a plain service takes no completions",
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
                    "a plain service has no weights and no role",
                ))
            }
        }
    }

    /// Opens a connection and closes it, because a plain service has no report.
    fn probe(&self, _events_after: u64) -> ProbeOutcome {
        let authority = self.base_url.trim_start_matches("http://");
        let addresses = match authority.to_socket_addrs() {
            Ok(addresses) => addresses,
            Err(error) => return ProbeOutcome::Unreachable(error.to_string()),
        };
        let mut failure = ProbeOutcome::Unreachable("the name has no address".to_owned());
        for address in addresses {
            match TcpStream::connect_timeout(&address, self.connect) {
                Ok(_) => return ProbeOutcome::Reachable,
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    failure = ProbeOutcome::Late;
                }
                Err(error) => failure = ProbeOutcome::Unreachable(error.to_string()),
            }
        }
        failure
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
