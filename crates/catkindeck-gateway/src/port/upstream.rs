//! Requests to upstreams and the responses to them.

use {
    super::caller::RequestHead,
    bytes::Bytes,
    catkindeck::{ServiceError, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{JobItem, LimitHeader, ModelWeights, ScorerCall},
    http::{HeaderMap, Request, StatusCode},
};

/// The headers that the gateway sets on a request to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamCall<'a> {
    /// The upstream that is expected to run the request.
    pub upstream: &'a ObjectName,
    /// The customer on whose behalf the request runs; `None` on open routes.
    pub customer: Option<&'a ObjectName>,
    /// The remaining time, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The scheduling priority at the upstream, 0 (first) to 9 (last).
    pub urgency: Option<u8>,
    /// The number of the last received event, if the request resumes a stream.
    pub last_event: Option<u64>,
}

/// The decoded status and headers of an upstream's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamHead {
    pub status: StatusCode,
    /// The identifier of the request that was answered, if the upstream returns it.
    pub request: Option<String>,
    /// The stamp that the upstream puts on its own responses.
    pub stamp: Option<String>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// The version of the weights at the start of the response.
    pub version: Option<WeightVersion>,
    /// The limit that the upstream names for the requests of all processes together.
    pub limit: LimitHeader,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
}

/// A numbered event of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    pub number: u64,
    pub data: String,
    /// The version of the weights from this event on, if it changed.
    pub version: Option<WeightVersion>,
    /// The bytes as received, including the blank line that ends the event.
    pub raw: Bytes,
}

/// Splits the bytes of a stream into events.
pub trait EventDecoder {
    /// Consumes received bytes and returns the events that are complete.
    ///
    /// # Errors
    ///
    /// Returns `upstream_failed` if the bytes are not a valid event stream.
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, ServiceError>;

    /// Returns whether the decoder holds no partial event, so that the stream may end here.
    fn is_at_boundary(&self) -> bool;
}

/// What happens to running requests when new weights are loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightLoadMode {
    /// The weights are loaded after they have ended.
    Wait,
    /// They continue with the new weights.
    Keep,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    pub upstream: ObjectName,
    pub model: ObjectName,
    pub version: WeightVersion,
    pub mode: WeightLoadMode,
    /// The host of the leader that issues the order.
    pub holder: ObjectName,
    /// The leader's fencing token.
    pub fence: u64,
    /// The number of orders that the upstream must have accepted before this one, if known.
    pub accepted: Option<u64>,
}

/// An upstream's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was accepted and is being executed.
    Accepted,
    /// The upstream already has the ordered version.
    Holds,
    /// Another order is in progress, or the upstream has accepted a different number of orders.
    Conflict,
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// A different upstream listens at this address.
    Misdirected,
    /// The order is invalid.
    Refused,
}

/// The state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    pub weights: Vec<ModelWeights>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders accepted so far.
    pub accepted: u64,
}

/// Encodes requests to upstreams and decodes the responses to them.
pub trait UpstreamCodec {
    fn encode_request(
        &self,
        head: &RequestHead,
        body: Bytes,
        call: &UpstreamCall<'_>,
    ) -> Request<Bytes>;

    /// Encodes the request that runs an item.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the item's path, host or headers are not valid in HTTP.
    fn encode_item(
        &self,
        item: &JobItem,
        host: &str,
        call: &UpstreamCall<'_>,
    ) -> Result<Request<Bytes>, ServiceError>;

    /// Returns the maximum number of output tokens of an item, if its caller states one.
    fn max_output_tokens(&self, item: &JobItem) -> Option<u64>;

    /// Encodes a scorer call.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the path or host is not valid in HTTP.
    fn encode_scorer(
        &self,
        scorer: &ScorerCall,
        call: &UpstreamCall<'_>,
    ) -> Result<Request<Bytes>, ServiceError>;

    fn decode_head(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamHead;

    /// Creates a decoder for one stream.
    fn event_decoder(&self) -> Box<dyn EventDecoder>;

    fn encode_order(&self, order: &WeightOrder) -> Request<Bytes>;

    fn decode_order(&self, status: StatusCode) -> OrderOutcome;

    /// Encodes a request for an engine's report.
    fn encode_report(&self, upstream: &ObjectName) -> Request<Bytes>;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// Returns `upstream_failed` if the report is malformed.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, ServiceError>;
}
