//! The trainer endpoints under `/v1/runs/{run}/`.

use {
    super::service::{EntryService, RequestLabels},
    crate::{
        credentials::CallerKeys,
        forward::ForwardError,
        http::{CallerRequest, ResponseWriter},
    },
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::ObjectName,
        message::{SampleId, SampleRecord, StepAction, StepAnswer, StepPlan, StepRequest},
        token::WeightVersion,
    },
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::{Value, json},
};

/// The body of `POST /v1/runs/{run}/steps`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawStep {
    step: u64,
    groups: Vec<RawGroup>,
    group_size: u32,
    max_tokens: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawGroup {
    prompt: String,
}

/// The body of `POST /v1/runs/{run}/weights`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWeights {
    version: u64,
}

pub(super) fn handle(
    service: &EntryService,
    request: &CallerRequest,
    rest: &str,
    writer: &mut dyn ResponseWriter,
    labels: &mut RequestLabels,
) -> Result<(), ForwardError> {
    let snapshot = service.forwarder().source().current();
    let keys = CallerKeys::collect(&request.headers);
    let identity = service.authenticate(&snapshot, &keys, labels)?;
    let segments: Vec<&str> = rest.split('/').collect();
    let not_found_error = || ServiceError::not_run(ErrorKind::NotFound, "unknown run or endpoint");
    let name = segments.first().copied().unwrap_or("");
    let name = ObjectName::try_from(name).map_err(|_| not_found_error())?;
    let run = snapshot.run(&name).ok_or_else(not_found_error)?;
    if run.customer != identity.customer {
        let detail = "the run belongs to another customer";
        return Err(ServiceError::not_run(ErrorKind::Forbidden, detail).into());
    }
    let action = match (request.method.as_str(), &segments[1..]) {
        ("POST", ["steps"]) => StepAction::Open(parse_step(service, request)?),
        ("GET", ["steps", step, "samples"]) => StepAction::Fetch {
            step: parse_step_number(step)?,
            cursor: parse_cursor(request.uri.query())?,
        },
        ("POST", ["weights"]) => {
            let raw: RawWeights = parse_body(&request.body)?;
            StepAction::Announce(WeightVersion(raw.version))
        }
        _ => return Err(not_found_error().into()),
    };
    let answer = service.steps()?.handle(StepRequest {
        run: name,
        customer: identity.customer,
        action,
    });
    let (status, body) = encode_step_answer(answer, request)?;
    let headers = [("content-type".to_owned(), "application/json".to_owned())];
    writer
        .send(status, &headers, body.to_string().into_bytes())
        .map_err(|_| ForwardError::CallerDisconnected)
}

fn parse_step(service: &EntryService, request: &CallerRequest) -> Result<StepPlan, ServiceError> {
    let raw: RawStep = parse_body(&request.body)?;
    let limits = service.limits();
    let groups = u32::try_from(raw.groups.len()).unwrap_or(u32::MAX);
    let samples = groups.saturating_mul(raw.group_size);
    if samples == 0 || samples > limits.step_samples {
        let max = limits.step_samples;
        return Err(bad_request_error(format!(
            "a step must have 1 to {max} samples"
        )));
    }
    if raw.max_tokens == 0 || raw.max_tokens > limits.max_tokens {
        let max = limits.max_tokens;
        return Err(bad_request_error(format!(
            "max_tokens: expected 1 to {max}"
        )));
    }
    Ok(StepPlan {
        step: raw.step,
        prompts: raw.groups.into_iter().map(|group| group.prompt).collect(),
        group_size: raw.group_size,
        max_tokens: raw.max_tokens,
    })
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, ServiceError> {
    serde_json::from_slice(body)
        .map_err(|error| bad_request_error(format!("invalid request body: {error}")))
}

fn parse_step_number(text: &str) -> Result<u64, ServiceError> {
    text.parse()
        .map_err(|_| bad_request_error("step: expected a whole number".to_owned()))
}

fn parse_cursor(query: Option<&str>) -> Result<u32, ServiceError> {
    let parameters = query.unwrap_or("").split('&');
    let cursor = parameters
        .filter_map(|parameter| parameter.strip_prefix("cursor="))
        .next_back();
    cursor
        .and_then(|cursor| cursor.parse().ok())
        .ok_or_else(|| {
            bad_request_error("cursor: expected a whole number, as in ?cursor=0".to_owned())
        })
}

/// Returns the status and JSON body of the response to a trainer.
fn encode_step_answer(
    answer: StepAnswer,
    request: &CallerRequest,
) -> Result<(u16, Value), ServiceError> {
    match answer {
        StepAnswer::Accepted => Ok((200, json!({"status": "accepted"}))),
        StepAnswer::Pending { accepted, total } => {
            let body = json!({"status": "pending", "accepted": accepted, "total": total});
            Ok((202, body))
        }
        StepAnswer::Batch { samples, last } => {
            let samples: Vec<Value> = samples.iter().map(encode_sample).collect();
            Ok((
                200,
                json!({"status": "batch", "samples": samples, "last": last}),
            ))
        }
        StepAnswer::Lost { samples } => {
            let kind = ErrorKind::BatchLost.response();
            let samples: Vec<Value> = samples.iter().map(encode_id).collect();
            let body = json!({
                "error": {
                    "kind": kind.name,
                    "execution": ExecutionOutcome::Finished,
                    "message": "the batch data is lost; replacement samples follow at later cursors",
                    "request_id": request.id.to_string(),
                },
                "samples": samples,
            });
            Ok((kind.status, body))
        }
        StepAnswer::Refused(error) => Err(error),
    }
}

fn encode_id(id: &SampleId) -> Value {
    json!({
        "run": id.run,
        "step": id.step,
        "group": id.group,
        "index": id.index,
        "generation": id.generation,
    })
}

fn encode_sample(sample: &SampleRecord) -> Value {
    let versions = sample.labels.ranges.iter().map(|range| {
        json!({
            "start": range.start,
            "end": range.end,
            "version": range.version.map(|version| version.0),
        })
    });
    let mut value = encode_id(&sample.id);
    value["text"] = json!(sample.text);
    value["versions"] = json!(versions.collect::<Vec<_>>());
    value
}

fn bad_request_error(detail: String) -> ServiceError {
    ServiceError::not_run(ErrorKind::BadRequest, detail)
}
