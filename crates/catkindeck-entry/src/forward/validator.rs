//! Checks an agent's answer frame by frame.

use {
    super::ForwardWork,
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::{BodyDigest, IncarnationId, ObjectName, RequestId},
        message::{ExecutionRecord, ExecutionState, LoadReport, PeerFrame},
        token::WeightVersion,
    },
};

/// A frame that belongs to the request and comes in its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckedFrame {
    /// The request was handed to the upstream.
    Started(IncarnationId),
    /// Status and headers.
    Head(u16, Vec<(String, String)>),
    /// The next chunk.
    Chunk {
        /// The bytes.
        bytes: Vec<u8>,
        /// The number of tokens.
        tokens: u32,
        /// Their weight version.
        version: Option<WeightVersion>,
    },
    /// The answer is whole.
    Finished(Box<ExecutionRecord>, Box<LoadReport>),
    /// The request was refused or failed.
    Refused {
        /// The error.
        error: ServiceError,
        /// Whether the upstream crashed.
        crashed: bool,
        /// The load.
        load: Box<LoadReport>,
    },
}

/// Lets through only frames of one request, in order and without a gap (`docs/design.md`, G11).
///
/// A frame of another request, a missing or repeated chunk, and an end that counts other chunks
/// than were received are errors; the answer is then not passed on as whole.
#[derive(Debug, Clone)]
pub struct ResponseValidator {
    request: RequestId,
    customer: Option<ObjectName>,
    route: ObjectName,
    digest: BodyDigest,
    chunks: u32,
    started: bool,
    head: bool,
    ended: bool,
}

impl ResponseValidator {
    /// Makes the check of one attempt.
    pub fn new(work: &ForwardWork) -> Self {
        Self {
            request: work.request,
            customer: work.customer().cloned(),
            route: work.route.name.clone(),
            digest: work.digest,
            chunks: 0,
            started: false,
            head: false,
            ended: false,
        }
    }

    /// Checks the next frame.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `unknown` if the frame is not one that may come now.
    pub fn accept(&mut self, frame: PeerFrame) -> Result<CheckedFrame, ServiceError> {
        if self.ended {
            return Err(violation("a frame came after the end"));
        }
        match frame {
            PeerFrame::Started {
                request,
                incarnation,
            } => {
                self.check_request(request)?;
                if self.started || self.head || self.chunks > 0 {
                    return Err(violation("the start came twice or late"));
                }
                self.started = true;
                Ok(CheckedFrame::Started(incarnation))
            }
            PeerFrame::Head {
                request,
                status,
                headers,
            } => {
                self.check_request(request)?;
                if self.head || self.chunks > 0 {
                    return Err(violation("the headers came twice or late"));
                }
                self.head = true;
                Ok(CheckedFrame::Head(status, headers))
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
                    let detail = format!("chunk {sequence} came instead of {expected}");
                    return Err(violation(&detail));
                }
                self.chunks += 1;
                Ok(CheckedFrame::Chunk {
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
                Ok(CheckedFrame::Finished(record, load))
            }
            PeerFrame::Refused {
                request,
                error,
                crashed,
                load,
            } => {
                self.check_request(request)?;
                self.ended = true;
                Ok(CheckedFrame::Refused {
                    error: self.check_refusal(error),
                    crashed,
                    load,
                })
            }
            // The agent could not handle the message as a whole, and names no request.
            PeerFrame::Failed(error) if !self.started && self.chunks == 0 => Err(error),
            _ => Err(violation("a frame came that does not answer a request")),
        }
    }

    fn check_request(&self, request: RequestId) -> Result<(), ServiceError> {
        if request == self.request {
            return Ok(());
        }
        Err(violation("a frame belongs to another request"))
    }

    fn check_end(&self, chunks: u32, record: &ExecutionRecord) -> Result<(), ServiceError> {
        if chunks != self.chunks {
            let received = self.chunks;
            let detail = format!("the end counts {chunks} chunks, {received} came");
            return Err(violation(&detail));
        }
        if record.state != ExecutionState::Finished {
            return Err(violation("the end carries a record that is not finished"));
        }
        // A replayed record names the request that ran, which may be an earlier one with this key.
        let same = record.customer == self.customer
            && record.route == self.route
            && record.digest == self.digest;
        if !same {
            return Err(violation("the end carries another request's record"));
        }
        Ok(())
    }

    /// Takes back a `not_run` that contradicts what came before it (`docs/design.md`, G12).
    fn check_refusal(&self, error: ServiceError) -> ServiceError {
        let ran = self.started || self.head || self.chunks > 0;
        if ran && error.execution == ExecutionOutcome::NotRun {
            return ServiceError::unknown(error.kind, error.detail);
        }
        error
    }
}

fn violation(detail: &str) -> ServiceError {
    ServiceError::unknown(
        ErrorKind::PeerUnavailable,
        format!("the agent broke the protocol: {detail}"),
    )
}
