//! One request of the load generator.

use {
    super::{
        profile::{CustomerLoad, LoadProfile},
        schedule::{CallSide, LoadSlot},
    },
    crate::files::unreadable,
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

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// The words of prompts; a shared beginning makes prefix caches useful, as in production.
const WORDS: [&str; 8] = [
    "carton",
    "rack",
    "ledger",
    "citation",
    "headword",
    "sense",
    "quotation",
    "dispatch",
];

/// What was measured of a request.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// `Ok`, or the kind of error.
    pub outcome: Result<(), String>,
    /// The time from when the request was due to the first byte of the content, in microseconds.
    pub first_us: u64,
    /// The time from when the request was due to its end, in microseconds.
    pub total_us: u64,
    /// The tokens received.
    pub tokens: u64,
}

/// Sends the requests of a profile.
pub struct LoadCaller<'a> {
    profile: &'a LoadProfile,
    keys: Vec<Option<String>>,
    agent: Agent,
}

impl<'a> LoadCaller<'a> {
    /// Reads the customers' keys.
    ///
    /// # Errors
    ///
    /// Returns the fault of reading a file.
    pub fn open(profile: &'a LoadProfile) -> Result<Self, ServiceError> {
        let read = |customer: &CustomerLoad| match &customer.key_file {
            Some(path) => {
                let key = fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
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

    /// Sends the request of a slot and reads its answer to the end.
    pub fn call(&self, slot: &LoadSlot, due: Instant) -> CallRecord {
        let customer = &self.profile.customers[slot.customer];
        let mut record = CallRecord {
            outcome: Ok(()),
            first_us: 0,
            total_us: 0,
            tokens: 0,
        };
        record.outcome = match self.send(slot, customer) {
            Ok(response) => read_response(response, slot.side, customer, due, &mut record),
            Err(error) => Err(transport_kind(&error)),
        };
        record.total_us = elapsed_us(due);
        record
    }

    fn send(
        &self,
        slot: &LoadSlot,
        customer: &CustomerLoad,
    ) -> Result<Response<Body>, ureq::Error> {
        let (address, path, key) = match (slot.side, &self.profile.direct) {
            (CallSide::Direct, Some(direct)) => (direct, &customer.direct_path, None),
            _ => {
                let targets = &self.profile.targets;
                let turn = usize::try_from(slot.number).unwrap_or(0) % targets.len();
                (
                    &targets[turn],
                    &customer.path,
                    self.keys[slot.customer].as_ref(),
                )
            }
        };
        let url = format!("{address}{path}");
        if let Some(model) = &customer.model {
            let body = completion_body(slot, customer, model);
            let request = self.agent.post(url);
            return match key {
                Some(key) => request.header("authorization", key).send_json(body),
                None => request.send_json(body),
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

/// Returns the body in the form of the side that is called.
fn completion_body(slot: &LoadSlot, customer: &CustomerLoad, model: &ObjectName) -> Value {
    let prompt = prompt(slot.number, customer.prompt_words);
    match slot.side {
        CallSide::Entry => json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": customer.max_tokens,
            "stream": customer.stream,
        }),
        // The engine's own protocol, as an agent speaks it.
        CallSide::Direct => json!({
            "request_id": RequestId::random().to_string(),
            "model": model,
            "prompt": prompt,
            "max_tokens": customer.max_tokens,
            "priority": 0,
        }),
    }
}

/// Reads an answer and checks that it is whole.
fn read_response(
    mut response: Response<Body>,
    side: CallSide,
    customer: &CustomerLoad,
    due: Instant,
    record: &mut CallRecord,
) -> Result<(), String> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(ANSWER_LIMIT)
        .reader();
    let mut reader = BufReader::new(body);
    let first = reader.fill_buf().map_err(|_| "truncated".to_owned())?;
    let is_empty = first.is_empty();
    record.first_us = elapsed_us(due);
    if !status.is_success() {
        let mut text = String::new();
        let _ = reader.take(1 << 16).read_to_string(&mut text);
        return Err(error_kind(status.as_u16(), &text));
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
        (CallSide::Entry, true) => read_events(reader, record),
        (CallSide::Entry, false) => read_whole(reader, record),
        (CallSide::Direct, _) => read_engine_lines(reader, record),
    }
}

/// Reads server-sent events up to `[DONE]`, without which the answer is not complete.
fn read_events(reader: impl BufRead, record: &mut CallRecord) -> Result<(), String> {
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

fn read_whole(reader: impl BufRead, record: &mut CallRecord) -> Result<(), String> {
    let answer: Value = serde_json::from_reader(reader).map_err(|_| "malformed".to_owned())?;
    if !answer["choices"][0]["text"].is_string() {
        return Err("malformed".to_owned());
    }
    record.tokens = answer["usage"]["completion_tokens"].as_u64().unwrap_or(0);
    Ok(())
}

/// Reads an engine's own lines, one for each token, up to the end line.
fn read_engine_lines(reader: impl BufRead, record: &mut CallRecord) -> Result<(), String> {
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

fn prompt(number: u64, words: u64) -> String {
    let count = WORDS.len() as u64;
    // The first half is common to all prompts; the second half differs by request.
    let word = |index: u64| {
        let pick = match index < words / 2 {
            true => index,
            false => index
                .wrapping_mul(number.wrapping_add(7))
                .wrapping_add(number),
        };
        WORDS[usize::try_from(pick % count).unwrap_or(0)]
    };
    (0..words).map(word).collect::<Vec<&str>>().join(" ")
}

fn error_kind(status: u16, text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match body["error"]["kind"].as_str() {
        Some(kind) => kind.to_owned(),
        None => format!("http_{status}"),
    }
}

fn transport_kind(error: &ureq::Error) -> String {
    match error {
        ureq::Error::Timeout(_) => "timeout".to_owned(),
        ureq::Error::Io(error) => format!("io_{:?}", error.kind()).to_lowercase(),
        _ => "transport".to_owned(),
    }
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
