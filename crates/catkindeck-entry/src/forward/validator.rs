//! Validation of an agent's response, frame by frame.

use {
    super::ForwardWork,
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::{BodyDigest, IncarnationId, ObjectName, RequestId},
        message::{ExecutionRecord, ExecutionState, LoadReport, PeerFrame},
        token::WeightVersion,
    },
};

/// A frame that belongs to the request and arrived in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValidatedFrame {
    /// The agent handed the request to the upstream.
    Started(IncarnationId),
    /// The status and headers.
    Head(u16, Vec<(String, String)>),
    Chunk {
        bytes: Vec<u8>,
        tokens: u32,
        /// The weight version that generated them.
        version: Option<WeightVersion>,
    },
    /// The response is complete.
    Finished(Box<ExecutionRecord>, Box<LoadReport>),
    /// The request was refused, or it failed.
    Refused {
        error: ServiceError,
        crashed: bool,
        load: Box<LoadReport>,
    },
}

/// Accepts only the frames of one request, in order and without gaps (`docs/design.md`, G11).
///
/// A frame of another request, a missing or repeated chunk, and a final chunk count that differs
/// from the chunks received are errors; the response is then not passed on as complete.
#[derive(Debug, Clone)]
pub struct ResponseValidator {
    request: RequestId,
    customer: Option<ObjectName>,
    route: ObjectName,
    digest: BodyDigest,
    chunks: u32,
    started: bool,
    head_received: bool,
    ended: bool,
}

impl ResponseValidator {
    pub fn new(work: &ForwardWork) -> Self {
        Self {
            request: work.request,
            customer: work.customer().cloned(),
            route: work.route.name.clone(),
            digest: work.digest,
            chunks: 0,
            started: false,
            head_received: false,
            ended: false,
        }
    }

    /// Validates the next frame.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `unknown` if the frame is not valid at this point.
    pub fn validate(&mut self, frame: PeerFrame) -> Result<ValidatedFrame, ServiceError> {
        if self.ended {
            return Err(protocol_error(
                "a frame arrived after the end of the response",
            ));
        }
        match frame {
            PeerFrame::Started {
                request,
                incarnation,
            } => {
                self.check_request(request)?;
                if self.started || self.head_received || self.chunks > 0 {
                    return Err(protocol_error("the start frame is not the first frame"));
                }
                self.started = true;
                Ok(ValidatedFrame::Started(incarnation))
            }
            PeerFrame::Head {
                request,
                status,
                headers,
            } => {
                self.check_request(request)?;
                if self.head_received || self.chunks > 0 {
                    return Err(protocol_error(
                        "the header frame is repeated, or follows a chunk",
                    ));
                }
                self.head_received = true;
                Ok(ValidatedFrame::Head(status, headers))
            }
            PeerFrame::Chunk {
                request,
                sequence,
                bytes,
                tokens,
                version,
            } => {
                self.check_request(request)?;
                if sequence != self.chunks {
                    let expected = self.chunks;
                    let detail = format!("expected chunk {expected}, got chunk {sequence}");
                    return Err(protocol_error(&detail));
                }
                self.chunks += 1;
                Ok(ValidatedFrame::Chunk {
                    bytes,
                    tokens,
                    version,
                })
            }
            PeerFrame::Finished {
                request,
                chunks,
                record,
                load,
            } => {
                self.check_request(request)?;
                self.check_end(chunks, &record)?;
                self.ended = true;
                Ok(ValidatedFrame::Finished(record, load))
            }
            PeerFrame::Refused {
                request,
                error,
                crashed,
                load,
            } => {
                self.check_request(request)?;
                self.ended = true;
                Ok(ValidatedFrame::Refused {
                    error: self.unknown_if_may_have_run(error),
                    crashed,
                    load,
                })
            }
            // The agent could not decode or dispatch the call, so the frame names no request.
            PeerFrame::Failed(error) if !self.started && self.chunks == 0 => Err(error),
            _ => Err(protocol_error("the frame is not part of a response")),
        }
    }

    fn check_request(&self, request: RequestId) -> Result<(), ServiceError> {
        if request == self.request {
            return Ok(());
        }
        Err(protocol_error("the frame belongs to another request"))
    }

    fn check_end(&self, chunks: u32, record: &ExecutionRecord) -> Result<(), ServiceError> {
        if chunks != self.chunks {
            let received = self.chunks;
            let detail =
                format!("the end frame counts {chunks} chunks, but {received} were received");
            return Err(protocol_error(&detail));
        }
        if record.state != ExecutionState::Finished {
            return Err(protocol_error(
                "the record in the end frame is not in the state `Finished`",
            ));
        }
        // A replayed record names the request that ran, possibly an earlier one with the same key.
        let is_same = record.customer == self.customer
            && record.route == self.route
            && record.digest == self.digest;
        if !is_same {
            return Err(protocol_error(
                "the record in the end frame belongs to another request",
            ));
        }
        Ok(())
    }

    /// Replaces `not_run` by `unknown` if earlier frames show that the request was started
    /// (`docs/design.md`, G12).
    fn unknown_if_may_have_run(&self, error: ServiceError) -> ServiceError {
        let may_have_run = self.started || self.head_received || self.chunks > 0;
        if may_have_run && error.execution == ExecutionOutcome::NotRun {
            return ServiceError::unknown(error.kind, error.detail);
        }
        error
    }
}

fn protocol_error(detail: &str) -> ServiceError {
    ServiceError::unknown(
        ErrorKind::PeerUnavailable,
        format!("the agent violated the protocol: {detail}"),
    )
}
