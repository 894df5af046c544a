//! Where a handler writes its answer, and the one form of errors.

use {
    catkindeck::{ServiceError, id::RequestId},
    serde_json::json,
    thiserror::Error,
};

/// The caller closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the caller closed the connection")]
pub struct CallerGone;

/// The answer to one request: either whole, or opened, written and finished.
///
/// An opened answer that is dropped without [`ReplySink::finish`] breaks the connection off, so that
/// a caller never takes a part for the whole (`docs/design.md`, G11).
pub trait ReplySink: Send {
    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if nobody waits for it.
    fn whole(
        &mut self,
        status: u16,
        headers: &[(String, String)],
        body: Vec<u8>,
    ) -> Result<(), CallerGone>;

    /// Sends status and headers of an answer whose body follows.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if nobody waits for it.
    fn open(&mut self, status: u16, headers: &[(String, String)]) -> Result<(), CallerGone>;

    /// Sends a part of the body and waits while the caller reads more slowly than it is written.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if the caller closed the connection.
    fn write(&mut self, bytes: Vec<u8>) -> Result<(), CallerGone>;

    /// Marks the body as whole.
    fn finish(&mut self);

    /// Tells whether an answer was sent or opened.
    fn is_opened(&self) -> bool;

    /// Tells whether the caller closed the connection.
    fn is_gone(&self) -> bool;
}

/// Returns the JSON form of an error (`docs/design.md`, section 5).
pub fn error_body(error: &ServiceError, request: RequestId) -> Vec<u8> {
    let body = json!({"error": {
        "kind": error.kind.answer().name,
        "execution": error.execution,
        "message": error.detail,
        "request_id": request.to_string(),
    }});
    body.to_string().into_bytes()
}

/// Sends an error as the whole answer.
///
/// # Errors
///
/// Returns [`CallerGone`] if nobody waits for it.
pub fn send_error(
    reply: &mut dyn ReplySink,
    error: &ServiceError,
    request: RequestId,
) -> Result<(), CallerGone> {
    let headers = [("content-type".to_owned(), "application/json".to_owned())];
    let status = error.kind.answer().status;
    reply.whole(status, &headers, error_body(error, request))
}
