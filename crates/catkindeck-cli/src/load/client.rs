//! Sends the requests of the load generator.

use {
    super::{
        profile::{CustomerLoad, LoadProfile},
        schedule::{ComparedSide, ScheduledRequest},
    },
    crate::files::read_error,
    catkindeck::{
        ServiceError,
        id::{ObjectName, RequestId},
    },
    serde_json::{Value, json},
    std::{
        fs,
        io::{BufRead, BufReader, Read},
        time::{Duration, Instant},
    },
    ureq::{Agent, Body, http::Response},
};

/// The largest response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// The words of generated prompts.
const VOCABULARY: [&str; 8] = [
    "carton",
    "rack",
    "ledger",
    "citation",
    "headword",
    "sense",
    "quotation",
    "dispatch",
];

/// The measurements of one request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// `Ok`, or the kind of the error.
    pub outcome: Result<(), String>,
    /// The time from the scheduled start to the first byte of the body, in microseconds.
    pub first_us: u64,
    /// The time from the scheduled start to the end of the response, in microseconds.
    pub total_us: u64,
    /// The number of tokens received.
    pub tokens: u64,
}

/// Sends the requests of a profile.
pub struct LoadClient<'a> {
    profile: &'a LoadProfile,
    keys: Vec<Option<String>>,
    agent: Agent,
}

impl<'a> LoadClient<'a> {
    /// Creates a client and reads the customers' keys.
    ///
    /// # Errors
    ///
    /// Returns the error of reading a key file.
    pub fn open(profile: &'a LoadProfile) -> Result<Self, ServiceError> {
        let read = |customer: &CustomerLoad| match &customer.key_file {
            Some(path) => {
                let key = fs::read_to_string(path).map_err(|error| read_error(path, &error))?;
                Ok(Some(format!("Bearer {}", key.trim())))
            }
            None => Ok(None),
        };
        let threads = usize::try_from(profile.threads).unwrap_or(usize::MAX);
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(profile.timeout_ms)))
            .max_idle_connections(threads)
            .max_idle_connections_per_host(threads)
            .build();
        Ok(Self {
            profile,
            keys: profile
                .customers
                .iter()
                .map(read)
                .collect::<Result<_, ServiceError>>()?,
            agent: config.new_agent(),
        })
    }

    /// Sends a scheduled request and reads the response to the end.
    pub fn call(&self, request: &ScheduledRequest, due: Instant) -> RequestRecord {
        let customer = &self.profile.customers[request.customer];
        let mut record = RequestRecord {
            outcome: Ok(()),
            first_us: 0,
            total_us: 0,
            tokens: 0,
        };
        record.outcome = match self.send(request, customer) {
            Ok(response) => read_response(response, request.side, customer, due, &mut record),
            Err(error) => Err(transport_error_kind(&error)),
        };
        record.total_us = elapsed_us(due);
        record
    }

    fn send(
        &self,
        request: &ScheduledRequest,
        customer: &CustomerLoad,
    ) -> Result<Response<Body>, ureq::Error> {
        let (address, path, key) = match (request.side, &self.profile.direct) {
            (ComparedSide::Direct, Some(direct)) => (direct, &customer.direct_path, None),
            _ => {
                let targets = &self.profile.targets;
                let target_index = usize::try_from(request.number).unwrap_or(0) % targets.len();
                (
                    &targets[target_index],
                    &customer.path,
                    self.keys[request.customer].as_ref(),
                )
            }
        };
        let url = format!("{address}{path}");
        if let Some(model) = &customer.model {
            let body = completion_body(request, customer, model);
            let http_request = self.agent.post(url);
            return match key {
                Some(key) => http_request.header("authorization", key).send_json(body),
                None => http_request.send_json(body),
            };
        }
        match (&customer.body, key) {
            (Some(body), Some(key)) => self
                .agent
                .post(url)
                .header("authorization", key)
                .send(body.as_str()),
            (Some(body), None) => self.agent.post(url).send(body.as_str()),
            (None, Some(key)) => self.agent.get(url).header("authorization", key).call(),
            (None, None) => self.agent.get(url).call(),
        }
    }
}

/// Returns the request body in the protocol of the request's side: that of the entry or that of the
/// engine.
fn completion_body(
    request: &ScheduledRequest,
    customer: &CustomerLoad,
    model: &ObjectName,
) -> Value {
    let prompt = generate_prompt(request.number, customer.prompt_words);
    match request.side {
        ComparedSide::Entry => json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": customer.max_tokens,
            "stream": customer.stream,
        }),
        // The engine protocol, as agents use it.
        ComparedSide::Direct => json!({
            "request_id": RequestId::random().to_string(),
            "model": model,
            "prompt": prompt,
            "max_tokens": customer.max_tokens,
            "priority": 0,
        }),
    }
}

/// Reads a response and checks that it is complete.
fn read_response(
    mut response: Response<Body>,
    side: ComparedSide,
    customer: &CustomerLoad,
    due: Instant,
    record: &mut RequestRecord,
) -> Result<(), String> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .reader();
    let mut reader = BufReader::new(body);
    let first_chunk = reader.fill_buf().map_err(|_| "truncated".to_owned())?;
    let is_empty = first_chunk.is_empty();
    record.first_us = elapsed_us(due);
    if !status.is_success() {
        let mut text = String::new();
        let _ = reader.take(1 << 16).read_to_string(&mut text);
        return Err(response_error_kind(status.as_u16(), &text));
    }
    if customer.model.is_none() {
        let mut content = Vec::new();
        return match reader.read_to_end(&mut content) {
            Ok(_) => Ok(()),
            Err(_) => Err("truncated".to_owned()),
        };
    }
    if is_empty {
        return Err("truncated".to_owned());
    }
    match (side, customer.stream) {
        (ComparedSide::Entry, true) => read_events(reader, record),
        (ComparedSide::Entry, false) => read_completion(reader, record),
        (ComparedSide::Direct, _) => read_engine_lines(reader, record),
    }
}

/// Reads server-sent events up to `[DONE]`; without it, the response is truncated.
fn read_events(reader: impl BufRead, record: &mut RequestRecord) -> Result<(), String> {
    for line in reader.lines() {
        let line = line.map_err(|_| "truncated".to_owned())?;
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        let data = data.trim();
        if data == "[DONE]" {
            return Ok(());
        }
        let event: Value = serde_json::from_str(data).map_err(|_| "malformed".to_owned())?;
        if let Some(kind) = event["error"]["kind"].as_str() {
            return Err(kind.to_owned());
        }
        match event["usage"]["completion_tokens"].as_u64() {
            Some(tokens) => record.tokens = tokens,
            None if event["choices"][0]["text"].is_string() => record.tokens += 1,
            None => {}
        }
    }
    Err("truncated".to_owned())
}

fn read_completion(reader: impl BufRead, record: &mut RequestRecord) -> Result<(), String> {
    let completion: Value = serde_json::from_reader(reader).map_err(|_| "malformed".to_owned())?;
    if !completion["choices"][0]["text"].is_string() {
        return Err("malformed".to_owned());
    }
    record.tokens = completion["usage"]["completion_tokens"]
        .as_u64()
        .unwrap_or(0);
    Ok(())
}

/// Reads the engine protocol, one line per token, up to the final line.
fn read_engine_lines(reader: impl BufRead, record: &mut RequestRecord) -> Result<(), String> {
    for line in reader.lines() {
        let line = line.map_err(|_| "truncated".to_owned())?;
        let parsed: Value = serde_json::from_str(&line).map_err(|_| "malformed".to_owned())?;
        if parsed["done"] == true {
            return Ok(());
        }
        record.tokens += 1;
    }
    Err("truncated".to_owned())
}

fn generate_prompt(number: u64, words: u64) -> String {
    let count = VOCABULARY.len() as u64;
    // All prompts share their first half, so that prefix caches have an effect as in production;
    // the second half differs by request.
    let word = |index: u64| {
        let word_index = match index < words / 2 {
            true => index,
            false => index
                .wrapping_mul(number.wrapping_add(7))
                .wrapping_add(number),
        };
        VOCABULARY[usize::try_from(word_index % count).unwrap_or(0)]
    };
    (0..words).map(word).collect::<Vec<&str>>().join(" ")
}

fn response_error_kind(status: u16, text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match body["error"]["kind"].as_str() {
        Some(kind) => kind.to_owned(),
        None => format!("http_{status}"),
    }
}

fn transport_error_kind(error: &ureq::Error) -> String {
    match error {
        ureq::Error::Timeout(_) => "timeout".to_owned(),
        ureq::Error::Io(error) => format!("io_{:?}", error.kind()).to_lowercase(),
        _ => "transport".to_owned(),
    }
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
