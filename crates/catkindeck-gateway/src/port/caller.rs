//! Requests from callers and the responses to them.

use {
    bytes::Bytes,
    catkindeck::{ServiceError, id::ObjectName},
    catkindeck_policy::direct::{JobResult, JobSpec},
    http::{HeaderMap, Method, Response, request::Parts},
    std::rc::Rc,
};

/// The decoded head of a caller's request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The caller's identifier of this attempt; empty if it sent none.
    pub id: String,
    pub method: Method,
    /// The host name that the request is addressed to.
    pub host: String,
    /// The path without the query string.
    pub path: String,
    /// The path with the query string, as received.
    pub target: String,
    /// The API key from the request's credential header, if present.
    pub key: Option<String>,
    /// How long the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The number of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that is resumed.
    pub resumes: Option<String>,
    pub model: Option<ObjectName>,
    /// A digest of the prompt parts that this request may share with others.
    pub part: Option<u64>,
    /// The headers to forward: without hop-by-hop headers, headers that the gateway sets itself, and the
    /// caller's key.
    pub forwarded_headers: Rc<HeaderMap>,
}

impl RequestHead {
    /// Returns the attempt that began what the caller asks for: the one that brought the first event of a stream
    /// that is taken up, otherwise this one. A route that splits its traffic must choose the same service for all
    /// attempts of a stream.
    pub fn first_attempt(&self) -> &str {
        let resumes = self.resumes.as_ref().filter(|_| self.last_event.is_some());
        resumes.unwrap_or(&self.id)
    }
}

/// Parameters of a read of a job's results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRead {
    pub job: String,
    /// The position of the first result to return.
    pub after: u32,
    /// How long the caller waits for a first result, in milliseconds.
    pub wait_ms: u64,
}

/// The operation that a caller requests.
#[derive(Debug, Clone)]
pub enum CallerOperation {
    /// A request to a route, or the submission of a job if the route takes jobs.
    Request,
    JobResults(JobRead),
    /// Reads the request body of an item that is not listed yet.
    JobItem {
        job: String,
        item: String,
    },
    JobCancellation {
        job: String,
    },
}

/// A response whose body is complete.
pub type BufferedResponse = Response<Bytes>;

/// Decodes callers' requests and encodes the responses to them.
pub trait CallerCodec {
    /// Returns whether a request is a readiness check.
    fn is_readiness(&self, head: &Parts) -> bool;

    /// Decodes the head of a request into the operation that it asks for.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the head is malformed.
    fn decode_head(&self, head: &Parts) -> Result<(RequestHead, CallerOperation), ServiceError>;

    /// Decodes a job submission.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the submission is malformed.
    fn decode_job(
        &self,
        head: &RequestHead,
        route: &ObjectName,
        customer: Option<&ObjectName>,
        body: &[u8],
    ) -> Result<JobSpec, ServiceError>;

    /// Returns whether a request is a job submission, whatever its route.
    fn is_job(&self, head: &RequestHead, body: &[u8]) -> bool;

    /// Encodes a page of results; `next` is the position after the last one.
    fn encode_results(&self, total: u32, next: u32, results: &[Rc<JobResult>]) -> BufferedResponse;

    /// Encodes an error; `retry_ms` is the time after which the caller may retry, in milliseconds.
    fn encode_error(
        &self,
        request: &str,
        error: &ServiceError,
        retry_ms: Option<u64>,
    ) -> BufferedResponse;
}
