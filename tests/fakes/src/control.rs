//! The control address of the fake engine and the fake service.

use {
    crate::stream::{self, RawHttpRequest, ResponseWriter},
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// A fake whose faults can be set and whose counters can be read while it runs.
pub trait ControlTarget: Send + Sync + 'static {
    /// Returns the counters and the current state.
    fn state(&self) -> Value;

    /// Returns the settings, including the faults.
    fn settings(&self) -> Value;

    /// Replaces the settings.
    ///
    /// # Errors
    ///
    /// Returns the reason why the settings are invalid.
    fn replace_settings(&self, settings: Value) -> Result<(), String>;

    /// Simulates a crash and a restart with a new boot ID.
    fn crash(&self);
}

/// Serves the control address.
///
/// `GET /control/state` and `GET /control/settings` read the state and the settings.
/// `POST /control/settings` replaces the fields present in its JSON object, `POST /control/crash`
/// crashes the fake, and `POST /control/exit` ends the process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(address: SocketAddr, target: Arc<dyn ControlTarget>) -> io::Result<SocketAddr> {
    let handler = move |request: &RawHttpRequest, response: &mut ResponseWriter<'_>| match (
        request.method.as_str(),
        request.path.as_str(),
    ) {
        ("GET", "/control/state") => response.json(200, &[], &target.state()),
        ("GET", "/control/settings") => response.json(200, &[], &target.settings()),
        ("POST", "/control/settings") => match merge_settings(target.as_ref(), &request.body) {
            Ok(()) => response.json(200, &[], &target.settings()),
            Err(reason) => response.json(400, &[], &json!({"error": reason})),
        },
        ("POST", "/control/crash") => {
            target.crash();
            response.json(200, &[], &target.state())
        }
        ("POST", "/control/exit") => std::process::exit(137),
        _ => response.json(404, &[], &json!({"error": "unknown control path"})),
    };
    stream::spawn(address, Arc::new(handler))
}

/// Replaces the settings present in the JSON object `body` and keeps the others.
///
/// # Errors
///
/// Returns the reason why the body or a setting in it is invalid.
pub fn merge_settings(target: &dyn ControlTarget, body: &[u8]) -> Result<(), String> {
    let changes: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let Value::Object(changes) = changes else {
        return Err("expected a JSON object".to_owned());
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
