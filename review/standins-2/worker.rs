//! Workers: engines, which stream events, and plain services.

use crate::{
    http::{Answer, Handler, Link, Request, serve},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long an order to load weights takes.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// The interval between two check-ins.
const CHECK_IN: Duration = Duration::from_millis(1_200);

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub arrived: Instant,
    pub stamp: String,
    /// The weight version of an engine when the run began.
    pub version: u64,
    /// The event after which the run was asked to go on.
    pub after: Option<u64>,
    /// When the last event so far was made.
    pub last_event: Option<Instant>,
    /// Whether the whole answer was written.
    pub is_finished: bool,
}

/// What a worker does with its requests; a case changes it.
#[derive(Default)]
pub struct Behaviour {
    /// The answers that a faulty plain worker sends a second time, at the point where the next answer on the connection
    /// is expected: the id of the request, and how many such answers are left.
    pub repeated: Option<(String, u32)>,
}

struct State {
    version: u64,
    /// The version that is being loaded, and when the load is over.
    load: Option<(u64, Instant)>,
    orders: u64,
    fence: u64,
    runs: Vec<Run>,
    answers: u64,
}

pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    models: Vec<String>,
    slots: usize,
    /// The time of a plain run.
    work: Duration,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    pub behaviour: Mutex<Behaviour>,
    born_ms: u128,
}

impl Worker {
    /// Starts a worker; it is an engine if it has a model.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        model: Option<&str>,
        (slots, work): (usize, Duration),
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            models: model.into_iter().map(String::from).collect(),
            slots,
            work,
            store: Arc::clone(store),
            record: Arc::clone(record),
            state: Mutex::new(State {
                version: 1,
                load: None,
                orders: 0,
                fence: 0,
                runs: Vec::new(),
                answers: 0,
            }),
            behaviour: Mutex::default(),
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
        });
        let served = Arc::clone(&worker);
        let handler: Handler = Arc::new(move |request, writer, link| served.handle(&request, writer, link));
        let address = serve(handler);
        let registered = Arc::clone(&worker);
        spawn(move || registered.check_in(address));
        worker
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns the number of answers that the worker has given.
    pub fn answers(&self) -> u64 {
        self.state.lock().unwrap().answers
    }

    fn version(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        if let Some((version, _)) = state.load.filter(|(_, until)| Instant::now() >= *until) {
            state.version = version;
            state.load = None;
        }
        state.version
    }

    fn check_in(&self, address: SocketAddr) {
        let mut written = String::new();
        for sequence in 1u64.. {
            let version = self.version();
            let models = self.models.iter();
            let models: Vec<String> = models
                .map(|model| format!("{{\"name\":\"{model}\",\"version\":{version},\"adapters\":[]}}"))
                .collect();
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
                 \"models\":[{}],\"born\":{}",
                self.service,
                self.zone,
                self.slots,
                models.join(","),
                self.born_ms
            );
            if entry != written {
                self.store.put(
                    &format!("servers/{}", self.id),
                    &format!("{entry},\"sequence\":{sequence}}}"),
                );
                written = entry;
            }
            sleep(CHECK_IN);
        }
    }

    fn handle(&self, request: &Request, writer: &mut TcpStream, link: &mut Link) -> io::Result<()> {
        match request.path() {
            "/catkindeck/report" => return writer.write_all(&self.report().bytes()),
            "/catkindeck/order" => return writer.write_all(&self.order(request).bytes()),
            _ => {}
        }
        let id = request.header("attempt-id").to_owned();
        let refuse = |status: u16| {
            Answer::new(status, "")
                .with("attempt-id", &id)
                .with("not-executed", "1")
        };
        if request.header("expect-instance") != self.id {
            return writer.write_all(&refuse(421).bytes());
        }
        // A worker stops work at the deadline that it was given.
        let limit = request
            .header("deadline-ms")
            .parse()
            .map_or(Duration::MAX, Duration::from_millis);
        if limit.is_zero() {
            return writer.write_all(&refuse(503).bytes());
        }
        let version = self.version();
        let number = {
            let mut state = self.state.lock().unwrap();
            if !self.models.is_empty() && state.load.is_some() {
                drop(state);
                return writer.write_all(&refuse(503).bytes());
            }
            let stamp = format!("{}.{:04}", self.id, state.runs.len());
            state.runs.push(Run {
                id: id.clone(),
                arrived: Instant::now(),
                stamp,
                version,
                after: request.header("last-event-id").parse().ok(),
                last_event: None,
                is_finished: false,
            });
            state.answers += 1;
            state.runs.len() - 1
        };
        let after = request.header("last-event-id");
        let after = if after.is_empty() {
            String::new()
        } else {
            format!(" after event {after}")
        };
        self.record
            .line(&format!("{} runs {id} ({}){after}", self.id, request.path()));
        match self.models.is_empty() {
            false => self.stream(request, &id, (number, limit), writer),
            true => self.answer_plain(&id, number, writer, link),
        }
    }

    fn answer_plain(&self, id: &str, number: usize, writer: &mut TcpStream, link: &mut Link) -> io::Result<()> {
        if !link.late_bytes.is_empty() {
            self.record.line(&format!(
                "{} sends its former answer once more before that to {id}",
                self.id
            ));
            writer.write_all(&std::mem::take(&mut link.late_bytes))?;
        }
        sleep(self.work);
        let stamp = self.state.lock().unwrap().runs[number].stamp.clone();
        let answer = Answer::new(200, &format!("{} {id}", self.id))
            .with("attempt-id", id)
            .with("server-stamp", &stamp);
        writer.write_all(&answer.bytes())?;
        let mut behaviour = self.behaviour.lock().unwrap();
        if let Some((repeated, left)) = &mut behaviour.repeated
            && *repeated == id
            && *left > 0
        {
            *left -= 1;
            link.late_bytes = answer.bytes();
        }
        Ok(())
    }

    /// Streams events. The path ends with the number of events and the time of each, in milliseconds.
    fn stream(
        &self,
        request: &Request,
        id: &str,
        (number, limit): (usize, Duration),
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        let started = Instant::now();
        let mut words = request.path().rsplit('/');
        let pause: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(20);
        let count: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(3);
        let first = request
            .header("last-event-id")
            .parse::<u64>()
            .map_or(1, |last| last + 1);
        let (stamp, version) = {
            let run = &self.state.lock().unwrap().runs[number];
            (run.stamp.clone(), run.version)
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             attempt-id: {id}\r\nserver-stamp: {stamp}\r\nweight-versions: {version}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let mut last = version;
        for event in first..=count {
            sleep(Duration::from_millis(pause));
            if started.elapsed() >= limit {
                self.record.line(&format!("{} stops {id} at its deadline", self.id));
                return Err(io::ErrorKind::TimedOut.into());
            }
            let version = self.version();
            let change = match version == last {
                true => String::new(),
                false => format!("weight-versions: {version}\n"),
            };
            last = version;
            let text = format!("{change}id: {event}\ndata: {id} {event} v{version}\n\n");
            self.state.lock().unwrap().runs[number].last_event = Some(Instant::now());
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        self.state.lock().unwrap().runs[number].is_finished = true;
        Ok(())
    }

    fn report(&self) -> Answer {
        let version = self.version();
        let state = self.state.lock().unwrap();
        let models = self.models.iter();
        let models: Vec<String> = models
            .map(|model| format!("{{\"name\":\"{model}\",\"version\":{version},\"adapters\":[]}}"))
            .collect();
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"num_waiting\":0,\
             \"num_running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}}",
            models.join(","),
            state.load.is_some(),
            state.orders
        );
        Answer::new(200, &body)
    }

    fn order(&self, request: &Request) -> Answer {
        let now = self.version();
        let Some(body) = Json::parse(&request.text()) else {
            return Answer::new(400, "");
        };
        let mut state = self.state.lock().unwrap();
        let (fence, version) = (body.get("fence").number(), body.get("version").number());
        if fence < state.fence {
            return Answer::new(412, "");
        }
        let expected = body.get("expected");
        if state.load.is_some() || *expected != Json::Null && expected.number() != state.orders {
            return Answer::new(409, "");
        }
        state.fence = fence;
        if version == now {
            return Answer::new(200, "");
        }
        state.orders += 1;
        state.load = Some((version, Instant::now() + LOAD_TIME));
        self.record.line(&format!("{} loads version {version}", self.id));
        Answer::new(202, "")
    }
}
