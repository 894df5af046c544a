//! The writer for responses, and the JSON form of errors.

use {
    catkindeck::{ServiceError, id::RequestId},
    serde_json::json,
    thiserror::Error,
};

/// The caller closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the caller closed the connection")]
pub struct CallerDisconnected;

/// Writes the response to one request: either complete at once, or opened, written and finished.
///
/// Dropping an opened response without [`ResponseWriter::finish`] aborts the connection, so that a
/// caller never mistakes a truncated response for a complete one (`docs/design.md`, G11).
pub trait ResponseWriter: Send {
    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the caller closed the connection.
    fn send(
        &mut self,
        status: u16,
        headers: &[(String, String)],
        body: Vec<u8>,
    ) -> Result<(), CallerDisconnected>;

    /// Sends the status and headers of a response whose body follows.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the caller closed the connection.
    fn open(&mut self, status: u16, headers: &[(String, String)])
    -> Result<(), CallerDisconnected>;

    /// Sends a part of the body; blocks while the caller reads more slowly than parts are written.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the caller closed the connection.
    fn write(&mut self, bytes: Vec<u8>) -> Result<(), CallerDisconnected>;

    /// Marks the body as complete.
    fn finish(&mut self);

    /// Returns whether the status and headers were sent, so that the response can no longer be
    /// replaced by an error.
    fn headers_sent(&self) -> bool;

    /// Returns whether the caller closed the connection.
    fn is_disconnected(&self) -> bool;
}

/// Returns the JSON body of an error response (`docs/design.md`, section 5).
pub fn error_body(error: &ServiceError, request: RequestId) -> Vec<u8> {
    let body = json!({"error": {
        "kind": error.kind.response().name,
        "execution": error.execution,
        "message": error.detail,
        "request_id": request.to_string(),
    }});
    body.to_string().into_bytes()
}

/// Sends an error as a complete response.
///
/// # Errors
///
/// Returns [`CallerDisconnected`] if the caller closed the connection.
pub fn send_error(
    writer: &mut dyn ResponseWriter,
    error: &ServiceError,
    request: RequestId,
) -> Result<(), CallerDisconnected> {
    let headers = [("content-type".to_owned(), "application/json".to_owned())];
    let status = error.kind.response().status;
    writer.send(status, &headers, error_body(error, request))
}
