//! Clients of an entry for the quick start: a trainer that runs one step and a caller that streams
//! one completion.

use {
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        io::{BufRead, BufReader},
        thread,
        time::Duration,
    },
    ureq::{Agent, Body, http::Response},
};

/// The interval between attempts while the entry is not ready or a batch is incomplete.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The entry and the target of a client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// The URL of the entry.
    pub entry: String,
    /// The API key.
    pub key: String,
    /// The run of a trainer, or the model of a caller.
    pub target: String,
    /// The number of groups of eight samples.
    pub groups: usize,
}

/// Announces weights, opens a step, fetches all of its samples, and returns a summary line.
///
/// # Errors
///
/// Returns a message if the entry rejects a request, a connection fails or a sample is delivered
/// twice.
pub fn run_step(settings: &ClientSettings) -> Result<String, String> {
    let base = format!("{}/v1/runs/{}", settings.entry, settings.target);
    post_until_accepted(settings, &format!("{base}/weights"), &json!({"version": 1}))?;
    let groups: Vec<Value> = (0..settings.groups)
        .map(|group| json!({"prompt": format!("slip {group}")}))
        .collect();
    let step = json!({"step": 1, "groups": groups, "group_size": 8, "max_tokens": 16});
    post_until_accepted(settings, &format!("{base}/steps"), &step)?;

    let (mut sample_ids, mut versions) = (BTreeSet::new(), BTreeSet::new());
    let (mut cursor, mut batches) = (0, 0);
    loop {
        let url = format!("{base}/steps/1/samples?cursor={cursor}");
        let (status, body) = send_request(settings, "GET", &url, None)?;
        let Some(samples) = body["samples"].as_array() else {
            if status == 202 || status == 200 || status == 503 {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            if status == 410 {
                cursor += 1;
                continue;
            }
            return Err(format!("batch {cursor}: {body}"));
        };
        batches += 1;
        for sample in samples {
            let sample_id = format!(
                "{}/{}/{}",
                sample["group"], sample["index"], sample["generation"]
            );
            if !sample_ids.insert(sample_id.clone()) {
                return Err(format!("sample {sample_id} was delivered twice"));
            }
            let ranges = sample["versions"].as_array().into_iter().flatten();
            versions.extend(ranges.map(|range| range["version"].to_string()));
        }
        if body["last"] == json!(true) {
            let count = sample_ids.len();
            return Ok(format!(
                "step 1: {count} samples in {batches} batches, each once, weight versions {versions:?}"
            ));
        }
        cursor += 1;
    }
}

/// Streams one completion and returns a line with its text.
///
/// # Errors
///
/// Returns a message if the connection fails or the stream ends without its final event.
pub fn stream_completion(settings: &ClientSettings) -> Result<String, String> {
    let body = json!({
        "model": settings.target, "prompt": "the carton of rack 7", "max_tokens": 12, "stream": true,
    });
    let url = format!("{}/v1/completions", settings.entry);
    let response = open_response(settings, "POST", &url, Some(&body))?;
    let status = response.status().as_u16();
    let (mut text, mut ended) = (String::new(), false);
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.map_err(|error| error.to_string())?;
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        ended = data == "[DONE]";
        if let Ok(event) = serde_json::from_str::<Value>(data) {
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or(""));
        }
    }
    match ended {
        true => Ok(format!("streamed completion: {}", text.trim())),
        false => Err(format!(
            "the stream with status {status} ended without [DONE]"
        )),
    }
}

/// Repeats a POST request while the response has status 503, which is the case until a new run has
/// an owner.
fn post_until_accepted(settings: &ClientSettings, url: &str, body: &Value) -> Result<(), String> {
    for _ in 0..300 {
        match send_request(settings, "POST", url, Some(body))? {
            (status, _) if status < 300 => return Ok(()),
            (503, _) => thread::sleep(POLL_INTERVAL),
            (status, body) => return Err(format!("{url}: {status} {body}")),
        }
    }
    Err(format!("{url}: every attempt was rejected with status 503"))
}

fn send_request(
    settings: &ClientSettings,
    method: &str,
    url: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), String> {
    let mut response = open_response(settings, method, url, body)?;
    let status = response.status().as_u16();
    let bytes = response
        .body_mut()
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    Ok((
        status,
        serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    ))
}

fn open_response(
    settings: &ClientSettings,
    method: &str,
    url: &str,
    body: Option<&Value>,
) -> Result<Response<Body>, String> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .into();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(url)
        .header("authorization", format!("Bearer {}", settings.key))
        .header("content-type", "application/json")
        .body(body.map(Value::to_string).unwrap_or_default())
        .map_err(|error| error.to_string())?;
    agent
        .run(request)
        .map_err(|error| format!("{url}: {error}"))
}
