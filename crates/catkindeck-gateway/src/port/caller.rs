//! What callers send and what they are answered.

use {
    bytes::Bytes,
    catkindeck::{ServiceError, id::ObjectName},
    catkindeck_policy::direct::{JobResult, JobSpec},
    http::{HeaderMap, Method, Response, request::Parts},
    std::rc::Rc,
};

/// The head of a request as the product needs it.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The identity of this attempt of the caller; empty if it gave none.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The host name that the caller asks for.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// Path and query as sent.
    pub target: String,
    /// The caller's key.
    pub key: Option<String>,
    /// For how long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The model that the request names.
    pub model: Option<ObjectName>,
    /// The digest of the prompt's shared parts.
    pub part: Option<u64>,
    /// The headers to pass on: none that the product sets itself, none of the connection, no key.
    pub forwarded_headers: Rc<HeaderMap>,
}

/// A read of a job's results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRead {
    /// The job.
    pub job: String,
    /// The position of the first result to return.
    pub after: u32,
    /// For how long the caller waits for a result, in milliseconds.
    pub wait_ms: u64,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum CallerOperation {
    /// A request for a route, or the submission of a job if the route takes jobs.
    Request,
    /// The results of a job.
    JobResults(JobRead),
    /// The body of an item of a job that is not listed yet.
    JobItem {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// The end of a job.
    JobCancellation {
        /// The job.
        job: String,
    },
}

/// An answer that is known as a whole.
pub type PlainAnswer = Response<Bytes>;

/// Decodes what callers send and encodes what they are answered.
pub trait CallerCodec {
    /// Tells whether a request asks if the process is ready.
    fn is_readiness(&self, head: &Parts) -> bool;

    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the head is not in the expected form.
    fn decode_head(&self, head: &Parts) -> Result<(RequestHead, CallerOperation), ServiceError>;

    /// Decodes the submission of a job.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the submission is not in the expected form.
    fn decode_job(
        &self,
        head: &RequestHead,
        route: &ObjectName,
        customer: Option<&ObjectName>,
        body: &[u8],
    ) -> Result<JobSpec, ServiceError>;

    /// Encodes results from a position onward.
    fn encode_results(&self, total: u32, next: u32, results: &[Rc<JobResult>]) -> PlainAnswer;

    /// Encodes a refusal or failure; `retry_ms` tells when the caller may come back.
    fn encode_error(
        &self,
        request: &str,
        error: &ServiceError,
        retry_ms: Option<u64>,
    ) -> PlainAnswer;
}
