//! What upstreams are sent and what they answer.

use {
    super::caller::RequestHead,
    bytes::Bytes,
    catkindeck::{ServiceError, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{JobItem, ModelWeights, ScorerCall},
    http::{HeaderMap, Request, StatusCode},
};

/// What the product sets on every request to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamCall<'a> {
    /// The upstream that must run it.
    pub upstream: &'a ObjectName,
    /// The customer for whom it runs; `None` on open routes.
    pub customer: Option<&'a ObjectName>,
    /// The time that is left, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The rank among requests at the upstream, 0 to 9, where 0 goes first.
    pub urgency: Option<u8>,
    /// The last event that is known, if a stream goes on.
    pub last_event: Option<u64>,
}

/// The head of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamHead {
    /// The status.
    pub status: StatusCode,
    /// The identity of the request that is answered, if the upstream names it.
    pub request: Option<String>,
    /// The upstream's stamp, which proves that the answer is its own.
    pub stamp: Option<String>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// The version of the weights at the start of the answer.
    pub version: Option<WeightVersion>,
}

/// A numbered event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The number.
    pub number: u64,
    /// The data.
    pub data: String,
    /// The version of the weights from this event on, if it changed.
    pub version: Option<WeightVersion>,
    /// The bytes as received, with the line that ends the event.
    pub raw: Bytes,
}

/// Splits the bytes of a stream into events.
pub trait EventDecoder {
    /// Takes received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns `upstream_failed` if the bytes are no events.
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, ServiceError>;

    /// Tells whether no event is begun, so that the stream may end here.
    fn is_at_boundary(&self) -> bool;
}

/// How runs in progress are treated when new weights are loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadMode {
    /// The load starts when they have ended.
    Wait,
    /// They go on under the new weights.
    Keep,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// The upstream.
    pub upstream: ObjectName,
    /// The model.
    pub model: ObjectName,
    /// The version.
    pub version: WeightVersion,
    /// How runs in progress are treated.
    pub mode: LoadMode,
    /// The process that gives the order.
    pub holder: ObjectName,
    /// The fencing token of its lease.
    pub fence: u64,
    /// The number of orders that the upstream must have accepted, if that is known.
    pub accepted: Option<u64>,
}

/// What an upstream answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is carried out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another upstream has this address.
    Misdirected,
    /// The order is not valid.
    Refused,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The models with their versions.
    pub weights: Vec<ModelWeights>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders accepted.
    pub accepted: u64,
}

/// Encodes what upstreams are sent and decodes what they answer.
pub trait UpstreamCodec {
    /// Encodes a caller's request.
    fn encode_request(
        &self,
        head: &RequestHead,
        body: Bytes,
        call: &UpstreamCall<'_>,
    ) -> Request<Bytes>;

    /// Encodes the run of an item.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the item's path or headers cannot be sent.
    fn encode_item(
        &self,
        item: &JobItem,
        host: &str,
        call: &UpstreamCall<'_>,
    ) -> Result<Request<Bytes>, ServiceError>;

    /// Encodes a scorer's request.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the path cannot be sent.
    fn encode_scorer(
        &self,
        scorer: &ScorerCall,
        call: &UpstreamCall<'_>,
    ) -> Result<Request<Bytes>, ServiceError>;

    /// Decodes the head of an answer.
    fn decode_head(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamHead;

    /// Makes a decoder for one stream.
    fn event_decoder(&self) -> Box<dyn EventDecoder>;

    /// Encodes an order.
    fn encode_order(&self, order: &WeightOrder) -> Request<Bytes>;

    /// Decodes the answer to an order.
    fn decode_order(&self, status: StatusCode) -> OrderOutcome;

    /// Encodes the question for an engine's report.
    fn encode_report(&self, upstream: &ObjectName) -> Request<Bytes>;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// Returns `upstream_failed` if the report is not in the expected form.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, ServiceError>;
}
