//! Workers: one that runs plain requests, and a model worker that streams events. Both follow PROTOCOL.md.

use {
    crate::{
        Record,
        http::{self, Request},
        store::Store,
    },
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone)]
pub struct WorkerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// The model of a model worker; `None` for a plain service.
    pub model: Option<String>,
    /// The time of a plain request, or of one event.
    pub work: Duration,
    /// The number of events of a stream.
    pub events: u64,
    /// The number of requests in a second at which the worker crashes while it is cold.
    pub crash_rate: Option<usize>,
}

/// One run at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub tenant: Option<String>,
    pub path: String,
}

pub struct Worker {
    pub settings: WorkerSettings,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    /// From when until when the worker is cold.
    pub cold: Mutex<Option<(Instant, Instant)>>,
    /// Until when the worker is down after a crash.
    down_until: Mutex<Option<Instant>>,
    running: AtomicUsize,
    sequence: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
    born: u64,
}

/// How long a worker is down after a crash; it is back "after some seconds".
const CRASH_TIME: Duration = Duration::from_secs(3);

struct SlotGuard<'a>(&'a Worker);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Worker {
    pub fn start(settings: WorkerSettings, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            settings,
            runs: Mutex::default(),
            cold: Mutex::default(),
            down_until: Mutex::default(),
            running: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            store: Arc::clone(store),
            record: Arc::clone(record),
            born: crate::unix_ms(),
        });
        let served = Arc::clone(&worker);
        http::serve(
            listener,
            Arc::new(move |request, stream| served.answer(request, stream)),
        );
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                if !beating.is_down() {
                    beating.register();
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        worker
    }

    /// Writes the worker's entry in the store.
    pub fn register(&self) {
        let settings = &self.settings;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let models = match &settings.model {
            Some(model) => format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"),
            None => "[]".to_owned(),
        };
        let cold_ms = self.cold_ms();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":{cold_ms},\"stage\":\"both\",\"models\":{models},\
             \"born\":{},\"sequence\":{sequence}}}",
            settings.service, self.address, settings.zone, settings.slots, self.born
        );
        self.store.put(&format!("servers/{}", settings.id), &entry);
    }

    pub fn cold_ms(&self) -> u64 {
        let cold = *self.cold.lock().unwrap();
        cold.map_or(0, |(_, until)| {
            until.saturating_duration_since(Instant::now()).as_millis() as u64
        })
    }

    /// Returns whether the worker is down, after a crash that the latest requests caused.
    fn is_down(&self) -> bool {
        let now = Instant::now();
        let mut down_until = self.down_until.lock().unwrap();
        if let Some(rate) = self
            .settings
            .crash_rate
            .filter(|_| self.cold_ms() > 0 && down_until.is_none())
        {
            let runs = self.runs.lock().unwrap();
            let begun = self.cold.lock().unwrap().map_or(now, |(begun, _)| begun);
            let since = begun.max(now - Duration::from_secs(1));
            let recent = runs.iter().rev().take_while(|run| run.at >= since).count();
            if recent > rate {
                *down_until = Some(now + CRASH_TIME);
                self.record.say(&format!(
                    "worker {} crashes: {recent} requests in a second while it is cold",
                    self.settings.id
                ));
            }
        }
        down_until.is_some_and(|until| now < until)
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = &self.settings.id;
        if self.is_down() {
            return Ok(false);
        }
        if request
            .header("Expect-Instance")
            .is_some_and(|expected| expected != id)
        {
            return http::respond(stream, 421, &[("Instance-Id", id)], b"");
        }
        match request.path.as_str() {
            "/health" => return http::respond(stream, 200, &[("Instance-Id", id)], b""),
            "/catkindeck/report" => {
                let running = self.running.load(Ordering::SeqCst);
                let model = self.settings.model.as_deref().unwrap_or("");
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"num_waiting\":0,\"num_running\":{running},\"kv_used\":0,\
                     \"kv_total\":100000,\"handles\":0}}"
                );
                let headers = [("Content-Type", "application/json")];
                return http::respond(stream, 200, &headers, body.as_bytes());
            }
            _ => {}
        }
        let attempt = request.header("Attempt-Id").unwrap_or("").to_owned();
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.settings.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            return http::respond(stream, 503, &headers, b"");
        }
        let _slot = SlotGuard(self);
        let run = Run {
            at: Instant::now(),
            request: attempt.clone(),
            tenant: request.header("Tenant").map(str::to_owned),
            path: request.path.clone(),
        };
        let resumed = request.header("Last-Event-Id").unwrap_or("-").to_owned();
        self.record.line(&format!(
            "worker {id} runs {attempt} path {} tenant {} last-event-id {resumed}",
            run.path,
            run.tenant.as_deref().unwrap_or("-")
        ));
        self.runs.lock().unwrap().push(run);
        let is_stream = self.settings.events > 0;
        match is_stream {
            true => self.stream_events(request, &attempt, stream),
            false => self.answer_plain(&attempt, stream),
        }
    }

    fn answer_plain(&self, attempt: &str, stream: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(self.settings.work);
        if self.is_down() {
            return Ok(false);
        }
        let body = format!("answer of {} to {attempt}", self.settings.id);
        let stamp = format!("3e1b.07.5a2.{}.0.c9f2a4d1", body.len());
        let headers = [("Attempt-Id", attempt), ("Server-Stamp", stamp.as_str())];
        http::respond(stream, 200, &headers, body.as_bytes())
    }

    fn stream_events(
        &self,
        request: &Request,
        attempt: &str,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let last = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Attempt-Id: {attempt}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nWeight-Versions: 1\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in last.map_or(1, |last: u64| last + 1)..=self.settings.events {
            thread::sleep(self.settings.work);
            let event = format!("id: {number}\ndata: event {number} of {attempt}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
