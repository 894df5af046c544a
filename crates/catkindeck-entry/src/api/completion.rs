//! `POST /v1/completions`.

use {
    super::{
        service::{EntryService, RequestLabels, WorkContent, digest_work},
        sinks::{EventSink, FirstPart, TextCarry, WholeSink},
    },
    crate::{
        credentials::CallerKeys,
        forward::{DeliveredAnswer, ForwardEnd, ForwardWork},
        http::{CallerRequest, ReplySink, error_body},
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

/// The priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 100;

/// A request as written.
///
/// Unknown fields are errors: a sampling parameter that no engine here would see must not be
/// dropped in silence.
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
    reply: &mut dyn ReplySink,
    labels: &mut RequestLabels,
) -> Result<DeliveredAnswer, ForwardEnd> {
    let forwarder = service.forwarder();
    let snapshot = forwarder.source().current();
    let keys = CallerKeys::collect(&request.headers);
    // Without a readable body the model is unknown, which is told only to callers with a key.
    let raw = parse(service, request);
    let model = raw.as_ref().ok().map(|raw| raw.model.as_str());
    let route = model.and_then(|model| find_route(&snapshot, model));
    let (raw, admitted) = match raw {
        Ok(raw) => (raw, service.admit(&snapshot, route, &keys, labels)?),
        Err(error) => {
            service.authenticate(&snapshot, &keys, labels)?;
            return Err(error.into());
        }
    };
    let (route, identity) = admitted;
    let digest = digest_work(
        (route, identity.as_ref()),
        &[raw.prompt.as_bytes(), &raw.max_tokens.to_le_bytes()],
    );
    let content = WorkContent {
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
    let work = service.build_work(request, (route, identity), content)?;
    let answer = AnswerForm {
        id: request.id,
        model: raw.model,
        max_tokens: raw.max_tokens,
    };
    match raw.stream {
        true => stream(service, &work, &answer, reply),
        false => collect(service, &work, &answer, reply),
    }
}

fn parse(service: &EntryService, request: &CallerRequest) -> Result<RawCompletion, ServiceError> {
    let refuse = |detail: String| ServiceError::not_run(ErrorKind::BadRequest, detail);
    if request.method != http::Method::POST {
        return Err(refuse("completions are asked for by POST".to_owned()));
    }
    let raw: RawCompletion = serde_json::from_slice(&request.body).map_err(|error| {
        // The position is told, but not the content, which serde's message may quote.
        let (line, column) = (error.line(), error.column());
        let cause = match error.classify() {
            serde_json::error::Category::Data => describe_data(&error),
            _ => "not valid JSON".to_owned(),
        };
        refuse(format!("line {line}, column {column}: {cause}"))
    })?;
    let limit = service.limits().max_tokens;
    if raw.max_tokens == 0 || raw.max_tokens > limit {
        return Err(refuse(format!("max_tokens: expected 1 to {limit}")));
    }
    Ok(raw)
}

/// Names the expected fields without quoting values.
fn describe_data(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let known = message.starts_with("unknown field") || message.starts_with("missing field");
    let field = message.split('`').nth(1).unwrap_or("-");
    let short: String = field.chars().take(40).collect();
    let problem = match known {
        true => format!("{} `{short}`", &message[..13]),
        false => "a field has the wrong type".to_owned(),
    };
    format!("{problem}; expected model, prompt, max_tokens and optionally stream, priority")
}

/// Finds the route to a model: the one of the same name, or else the first that leads to it.
fn find_route<'a>(snapshot: &'a ConfigSnapshot, model: &str) -> Option<&'a RouteRecord> {
    let model = ObjectName::try_from(model).ok()?;
    let service = snapshot.service(&model)?;
    if service.kind != ServiceKind::Engine {
        return None;
    }
    let same = snapshot
        .route(&model)
        .filter(|route| route.service == model);
    same.or_else(|| snapshot.routes.iter().find(|route| route.service == model))
}

/// What every part of an answer carries.
struct AnswerForm {
    id: RequestId,
    model: String,
    max_tokens: u32,
}

impl AnswerForm {
    fn text_event(&self, text: &str) -> Vec<u8> {
        encode_event(&json!({
            "id": self.id.to_string(),
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": null}],
        }))
    }

    fn last(&self, text: &str, delivered: &DeliveredAnswer) -> Value {
        let tokens = delivered.labels.token_count();
        let reason = if tokens >= self.max_tokens {
            "length"
        } else {
            "stop"
        };
        let versions = delivered.labels.ranges.iter().map(describe_range);
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

fn describe_range(range: &VersionRange) -> Value {
    json!({
        "start": range.start,
        "end": range.end,
        "version": range.version.map(|version| version.0),
    })
}

fn encode_event(value: &Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}

fn stream(
    service: &EntryService,
    work: &ForwardWork,
    answer: &AnswerForm,
    reply: &mut dyn ReplySink,
) -> Result<DeliveredAnswer, ForwardEnd> {
    let forwarder = service.forwarder();
    let now = || forwarder.now();
    let event = |text: &str| answer.text_event(text);
    let mut sink = EventSink {
        reply,
        first: FirstPart {
            metrics: forwarder.metrics(),
            route: work.route.name.clone(),
            started: now(),
            now: &now,
            seen: false,
        },
        carry: TextCarry::default(),
        event: &event,
    };
    let delivered = match forwarder.forward(work, &mut sink) {
        Ok(delivered) => delivered,
        Err(ForwardEnd::Failed(error)) => {
            // A stream that was opened ends with an error event and without `[DONE]`.
            if sink.reply.is_opened() {
                let mut bytes = b"data: ".to_vec();
                bytes.extend(error_body(&error, answer.id));
                bytes.extend(b"\n\n");
                if sink.reply.write(bytes).is_ok() {
                    sink.reply.finish();
                }
            }
            return Err(ForwardEnd::Failed(error));
        }
        Err(gone) => return Err(gone),
    };
    let gone = |_| ForwardEnd::CallerGone;
    sink.open().map_err(gone)?;
    let rest = sink.carry.flush();
    let last = encode_event(&answer.last(&rest, &delivered));
    sink.reply.write(last).map_err(gone)?;
    sink.reply
        .write(b"data: [DONE]\n\n".to_vec())
        .map_err(gone)?;
    sink.reply.finish();
    Ok(delivered)
}

fn collect(
    service: &EntryService,
    work: &ForwardWork,
    answer: &AnswerForm,
    reply: &mut dyn ReplySink,
) -> Result<DeliveredAnswer, ForwardEnd> {
    let forwarder = service.forwarder();
    let now = || forwarder.now();
    let mut sink = WholeSink {
        reply,
        first: FirstPart {
            metrics: forwarder.metrics(),
            route: work.route.name.clone(),
            started: now(),
            now: &now,
            seen: false,
        },
        bytes: Vec::new(),
    };
    let delivered = forwarder.forward(work, &mut sink)?;
    let text = String::from_utf8_lossy(&sink.bytes).into_owned();
    let body = answer.last(&text, &delivered).to_string().into_bytes();
    let headers = [("content-type".to_owned(), "application/json".to_owned())];
    sink.reply
        .whole(200, &headers, body)
        .map_err(|_| ForwardEnd::CallerGone)?;
    Ok(delivered)
}
