//! A fake entry: the admin API over an in-memory configuration store, and completions.

// Each test file uses a part of this module.
#![allow(dead_code)]

#[path = "../../../catkindeck-control/tests/memory_config/mod.rs"]
mod memory_config;

pub use memory_config::MemoryConfigStore;

use {
    catkindeck::{config::ConfigSnapshot, id::KeyDigest, log::discard_logger},
    catkindeck_control::intent::{AdminRequest, IntentAdmin, LoadSource, LoadView},
    catkindeck_fakes::stream::{RawHttpHandler, RawHttpRequest, ResponseWriter, spawn},
    std::{
        io,
        net::SocketAddr,
        path::Path,
        process::{Command, Output},
        sync::Arc,
    },
};

/// The operator key of the fake entry.
pub const OPERATOR_KEY: &str = "operator-key";

struct UnknownLoad;

impl LoadSource for UnknownLoad {
    fn load(&self) -> LoadView {
        LoadView::default()
    }
}

/// Starts the fake entry on a free port; it runs until the test process ends.
pub fn start_entry() -> SocketAddr {
    start_entry_on(Arc::new(MemoryConfigStore::new(vec![
        ConfigSnapshot::default(),
    ])))
}

/// Starts the fake entry on a configuration store.
pub fn start_entry_on(config_store: Arc<MemoryConfigStore>) -> SocketAddr {
    let operators = vec![KeyDigest::of(OPERATOR_KEY)];
    let admin = IntentAdmin::new(
        config_store,
        Arc::new(UnknownLoad),
        operators,
        discard_logger(),
    );
    let handler: RawHttpHandler = Arc::new(move |call, reply| respond(&admin, call, reply));
    spawn("127.0.0.1:0".parse().unwrap(), handler).unwrap()
}

fn respond(
    admin: &IntentAdmin,
    call: &RawHttpRequest,
    reply: &mut ResponseWriter<'_>,
) -> io::Result<()> {
    let completion = r#"{"choices": [{"text": "a b"}], "usage": {"completion_tokens": 2}}"#;
    let event = |text: &str| format!("data: {{\"choices\": [{{\"text\": \"{text}\"}}]}}\n\n");
    let events = format!("{}{}", event("a"), event("b"));
    match call.path.as_str() {
        "/v1/completions" if wants_stream(&call.body) => {
            reply.start(200, &[])?;
            reply.chunk(events.as_bytes())?;
            reply.chunk(b"data: [DONE]\n\n")?;
            reply.end()
        }
        "/v1/completions" => reply.send_complete(200, &[], completion.as_bytes()),
        "/truncated" => reply.send_complete(200, &[], events.as_bytes()),
        "/engine" => {
            let request: serde_json::Value = serde_json::from_slice(&call.body)?;
            let is_valid = request["request_id"].is_string() && request["prompt"].is_string();
            let lines = "{\"token\": \"a\", \"version\": 1}\n".repeat(2);
            let end = if is_valid { "{\"done\": true}\n" } else { "" };
            reply.send_complete(200, &[], format!("{lines}{end}").as_bytes())
        }
        path => {
            let header = call.header("authorization");
            let response = admin.handle(AdminRequest {
                method: &call.method,
                path,
                key: header.and_then(|value| value.strip_prefix("Bearer ")),
                body: &call.body,
                now_ms: 1000,
            });
            reply.send_complete(response.status, &[], &response.body)
        }
    }
}

fn wants_stream(body: &[u8]) -> bool {
    let request: serde_json::Value = serde_json::from_slice(body).unwrap();
    request["stream"] == true
}

/// Runs the command against the fake entry with its operator key.
pub fn run(directory: &Path, admin: SocketAddr, arguments: &[&str]) -> Output {
    let key_file = directory.join("operator.key");
    std::fs::write(&key_file, OPERATOR_KEY).unwrap();
    Command::new(env!("CARGO_BIN_EXE_catkindeck"))
        .args(arguments)
        .current_dir(directory)
        .env("CATKINDECK_ADMIN", format!("http://{admin}"))
        .env("CATKINDECK_OPERATOR_KEY_FILE", key_file)
        .output()
        .unwrap()
}

/// Returns the exit code and the output of a command.
pub fn exit_code_and_output(output: &Output) -> (i32, String) {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8(text).unwrap(),
    )
}
