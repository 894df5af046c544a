//! The control address of the engine and service modes.

use {
    crate::stream::{self, ResponseWriter, StreamRequest},
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// A stand-in that takes orders for faults and shows its counters.
pub trait ControlTarget: Send + Sync + 'static {
    /// Returns the counters and the present state.
    fn state(&self) -> Value;

    /// Returns the settings, faults included.
    fn settings(&self) -> Value;

    /// Replaces the settings.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with them.
    fn replace_settings(&self, settings: Value) -> Result<(), String>;

    /// Crashes and starts again with a new boot identity.
    fn crash(&self);
}

/// Serves the control address.
///
/// `GET /control/state` and `GET /control/settings` read; `POST /control/settings` replaces the
/// fields that its object names; `POST /control/crash` crashes the stand-in, and
/// `POST /control/exit` ends the process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(address: SocketAddr, target: Arc<dyn ControlTarget>) -> io::Result<SocketAddr> {
    let handler = move |call: &StreamRequest, reply: &mut ResponseWriter<'_>| match (
        call.method.as_str(),
        call.path.as_str(),
    ) {
        ("GET", "/control/state") => reply.json(200, &[], &target.state()),
        ("GET", "/control/settings") => reply.json(200, &[], &target.settings()),
        ("POST", "/control/settings") => match merge_settings(target.as_ref(), &call.body) {
            Ok(()) => reply.json(200, &[], &target.settings()),
            Err(reason) => reply.json(400, &[], &json!({"error": reason})),
        },
        ("POST", "/control/crash") => {
            target.crash();
            reply.json(200, &[], &target.state())
        }
        ("POST", "/control/exit") => std::process::exit(137),
        _ => reply.json(404, &[], &json!({"error": "no such control"})),
    };
    stream::spawn(address, Arc::new(handler))
}

/// Replaces the settings that `body` names and keeps the others.
///
/// # Errors
///
/// Returns what is wrong with the body.
pub fn merge_settings(target: &dyn ControlTarget, body: &[u8]) -> Result<(), String> {
    let changes: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let Value::Object(changes) = changes else {
        return Err("expected an object".to_owned());
    };
    let mut settings = target.settings();
    for (name, value) in changes {
        settings[name] = value;
    }
    target.replace_settings(settings)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
