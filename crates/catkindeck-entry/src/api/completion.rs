//! `POST /v1/completions`.

use {
    super::{
        service::{EndpointFields, EntryService, RequestLabels, digest_work},
        sinks::{BufferedSink, EventSink, FirstByteTimer, Utf8Decoder},
    },
    crate::{
        credentials::CallerKeys,
        forward::{DeliveredResponse, ForwardError, ForwardWork},
        http::{CallerRequest, ResponseWriter, error_body},
    },
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigSnapshot, RouteRecord, ServiceKind},
        id::{ObjectName, RequestId},
        message::{CompletionBody, WorkBody, prefix_digest},
        token::VersionRange,
    },
    serde::Deserialize,
    serde_json::{Value, json},
};

/// The priority of a request that does not set one.
const DEFAULT_PRIORITY: u8 = 100;

/// The JSON body of a request.
///
/// Unknown fields are errors, so that a sampling parameter that the engines would never receive is
/// not dropped silently.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCompletion {
    model: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    priority: Option<u8>,
}

pub(super) fn handle(
    service: &EntryService,
    request: &CallerRequest,
    writer: &mut dyn ResponseWriter,
    labels: &mut RequestLabels,
) -> Result<DeliveredResponse, ForwardError> {
    let forwarder = service.forwarder();
    let snapshot = forwarder.source().current();
    let keys = CallerKeys::collect(&request.headers);
    // The model is unknown until the body is parsed; parse errors are returned only to callers with
    // a valid key.
    let raw = parse(service, request);
    let model = raw.as_ref().ok().map(|raw| raw.model.as_str());
    let route = model.and_then(|model| find_route(&snapshot, model));
    let (raw, route_and_identity) = match raw {
        Ok(raw) => (
            raw,
            service.authenticate_for_route(&snapshot, route, &keys, labels)?,
        ),
        Err(error) => {
            service.authenticate(&snapshot, &keys, labels)?;
            return Err(error.into());
        }
    };
    let (route, identity) = route_and_identity;
    let digest = digest_work(
        (route, identity.as_ref()),
        &[raw.prompt.as_bytes(), &raw.max_tokens.to_le_bytes()],
    );
    let fields = EndpointFields {
        priority: raw.priority.unwrap_or(DEFAULT_PRIORITY),
        digest,
        prefix: Some(prefix_digest(&raw.prompt)),
        body: WorkBody::Completion(CompletionBody {
            prompt: raw.prompt,
            max_tokens: raw.max_tokens,
            resume_text: String::new(),
            resume_tokens: 0,
        }),
    };
    let work = service.build_work(request, (route, identity), fields)?;
    let template = CompletionTemplate {
        id: request.id,
        model: raw.model,
        max_tokens: raw.max_tokens,
    };
    match raw.stream {
        true => send_stream(service, &work, &template, writer),
        false => send_buffered(service, &work, &template, writer),
    }
}

fn parse(service: &EntryService, request: &CallerRequest) -> Result<RawCompletion, ServiceError> {
    let bad_request_error = |detail: String| ServiceError::not_run(ErrorKind::BadRequest, detail);
    if request.method != http::Method::POST {
        return Err(bad_request_error(
            "/v1/completions requires the method POST".to_owned(),
        ));
    }
    let raw: RawCompletion = serde_json::from_slice(&request.body).map_err(|error| {
        // Reports the position only, because serde's message may quote the content.
        let (line, column) = (error.line(), error.column());
        let cause = match error.classify() {
            serde_json::error::Category::Data => describe_data_error(&error),
            _ => "not valid JSON".to_owned(),
        };
        bad_request_error(format!("line {line}, column {column}: {cause}"))
    })?;
    let limit = service.limits().max_tokens;
    if raw.max_tokens == 0 || raw.max_tokens > limit {
        return Err(bad_request_error(format!(
            "max_tokens: expected 1 to {limit}"
        )));
    }
    Ok(raw)
}

/// Describes a JSON data error by field name, without quoting values.
fn describe_data_error(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let names_field = message.starts_with("unknown field") || message.starts_with("missing field");
    let field = message.split('`').nth(1).unwrap_or("-");
    let short: String = field.chars().take(40).collect();
    let problem = match names_field {
        true => format!("{} `{short}`", &message[..13]),
        false => "a field has the wrong type".to_owned(),
    };
    format!("{problem}; expected model, prompt, max_tokens and optionally stream, priority")
}

/// Finds the route to a model: the one with the model's name, otherwise the first one to it.
fn find_route<'a>(snapshot: &'a ConfigSnapshot, model: &str) -> Option<&'a RouteRecord> {
    let model = ObjectName::try_from(model).ok()?;
    let service = snapshot.service(&model)?;
    if service.kind != ServiceKind::Engine {
        return None;
    }
    let same_name = snapshot
        .route(&model)
        .filter(|route| route.service == model);
    same_name.or_else(|| snapshot.routes.iter().find(|route| route.service == model))
}

/// The fields repeated in every event and response body of one completion.
struct CompletionTemplate {
    id: RequestId,
    model: String,
    max_tokens: u32,
}

impl CompletionTemplate {
    fn text_event(&self, text: &str) -> Vec<u8> {
        encode_event(&json!({
            "id": self.id.to_string(),
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": null}],
        }))
    }

    fn final_body(&self, text: &str, delivered: &DeliveredResponse) -> Value {
        let tokens = delivered.labels.token_count();
        let reason = if tokens >= self.max_tokens {
            "length"
        } else {
            "stop"
        };
        let versions = delivered.labels.ranges.iter().map(encode_version_range);
        json!({
            "id": self.id.to_string(),
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
            "usage": {"completion_tokens": tokens},
            "catkindeck": {
                "request_id": self.id.to_string(),
                "versions": versions.collect::<Vec<_>>(),
                "upstream_boot": delivered.boot.0,
            },
        })
    }
}

fn encode_version_range(range: &VersionRange) -> Value {
    json!({
        "start": range.start,
        "end": range.end,
        "version": range.version.map(|version| version.0),
    })
}

fn encode_event(value: &Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}

/// Sends the completion as server-sent events.
fn send_stream(
    service: &EntryService,
    work: &ForwardWork,
    template: &CompletionTemplate,
    writer: &mut dyn ResponseWriter,
) -> Result<DeliveredResponse, ForwardError> {
    let forwarder = service.forwarder();
    let now = || forwarder.now();
    let event = |text: &str| template.text_event(text);
    let mut sink = EventSink {
        writer,
        timer: FirstByteTimer {
            metrics: forwarder.metrics(),
            route: work.route.name.clone(),
            started: now(),
            now: &now,
            is_recorded: false,
        },
        decoder: Utf8Decoder::default(),
        event: &event,
    };
    let delivered = match forwarder.forward(work, &mut sink) {
        Ok(delivered) => delivered,
        Err(ForwardError::Failed(error)) => {
            // A stream that is already open ends with an error event and without `[DONE]`.
            if sink.writer.headers_sent() {
                let mut bytes = b"data: ".to_vec();
                bytes.extend(error_body(&error, template.id));
                bytes.extend(b"\n\n");
                if sink.writer.write(bytes).is_ok() {
                    sink.writer.finish();
                }
            }
            return Err(ForwardError::Failed(error));
        }
        Err(error) => return Err(error),
    };
    let disconnected = |_| ForwardError::CallerDisconnected;
    sink.open().map_err(disconnected)?;
    let remaining = sink.decoder.flush();
    let last = encode_event(&template.final_body(&remaining, &delivered));
    sink.writer.write(last).map_err(disconnected)?;
    sink.writer
        .write(b"data: [DONE]\n\n".to_vec())
        .map_err(disconnected)?;
    sink.writer.finish();
    Ok(delivered)
}

/// Sends the complete completion as one JSON response.
fn send_buffered(
    service: &EntryService,
    work: &ForwardWork,
    template: &CompletionTemplate,
    writer: &mut dyn ResponseWriter,
) -> Result<DeliveredResponse, ForwardError> {
    let forwarder = service.forwarder();
    let now = || forwarder.now();
    let mut sink = BufferedSink {
        writer,
        timer: FirstByteTimer {
            metrics: forwarder.metrics(),
            route: work.route.name.clone(),
            started: now(),
            now: &now,
            is_recorded: false,
        },
        bytes: Vec::new(),
    };
    let delivered = forwarder.forward(work, &mut sink)?;
    let text = String::from_utf8_lossy(&sink.bytes).into_owned();
    let body = template
        .final_body(&text, &delivered)
        .to_string()
        .into_bytes();
    let headers = [("content-type".to_owned(), "application/json".to_owned())];
    sink.writer
        .send(200, &headers, body)
        .map_err(|_| ForwardError::CallerDisconnected)?;
    Ok(delivered)
}
