//! Samples of training runs, generated on the ordinary request path.

use {
    crate::{
        api::digest_work,
        credentials::CallerIdentity,
        events::SAMPLES_UNRELEASED,
        forward::{AnswerSink, ForwardEnd, ForwardWork, RequestForwarder},
        http::CallerGone,
    },
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        config::{RouteRecord, RunRecord, UpstreamRecord},
        id::{ObjectName, RequestId},
        link::PeerLink,
        log_event,
        message::{
            CompletionBody, PeerFrame, PeerRequest, SampleId, SampleRecord, WorkBody, WorkClass,
            prefix_digest,
        },
    },
    catkindeck_control::run::ports::{SampleOrder, SampleRunner},
    crossbeam::channel::unbounded,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The time for one agent to hand over or drop samples; a slower agent counts as having none.
const AGENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of agents that are asked at the same time.
const PARALLEL_AGENTS: usize = 16;

/// Generates the samples of the runs that this entry owns.
pub struct EntrySamples {
    forwarder: Arc<RequestForwarder>,
    link: Arc<dyn PeerLink>,
    running: Mutex<SortedMap<RequestId, Arc<AtomicBool>>>,
}

impl EntrySamples {
    /// Makes the runner over the entry's forwarder.
    pub fn new(forwarder: Arc<RequestForwarder>, link: Arc<dyn PeerLink>) -> Self {
        Self {
            forwarder,
            link,
            running: Mutex::new(SortedMap::new()),
        }
    }

    fn running(&self) -> MutexGuard<'_, SortedMap<RequestId, Arc<AtomicBool>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn work(&self, order: &SampleOrder) -> ForwardWork {
        let route = self.route(&order.run);
        let identity = CallerIdentity {
            customer: order.run.customer.clone(),
            digest: None,
        };
        let parts = [order.prompt.as_bytes(), &order.max_tokens.to_le_bytes()];
        ForwardWork {
            request: order.request,
            digest: digest_work((&route, Some(&identity)), &parts),
            identity: Some(identity),
            route,
            class: WorkClass::Rollout,
            priority: order.priority,
            deadline: self.forwarder.now() + order.deadline_ms,
            idempotency_key: None,
            prefix: Some(prefix_digest(&order.prompt)),
            sample: Some(order.id.clone()),
            body: WorkBody::Completion(CompletionBody {
                prompt: order.prompt.clone(),
                max_tokens: order.max_tokens,
                resume_text: String::new(),
                resume_tokens: 0,
            }),
        }
    }

    /// Returns the route under which a run's samples are counted; sampling may always be repeated.
    fn route(&self, run: &RunRecord) -> RouteRecord {
        let snapshot = self.forwarder.source().current();
        let route = snapshot
            .route(&run.service)
            .filter(|route| route.service == run.service);
        RouteRecord {
            name: route.map_or_else(|| run.service.clone(), |route| route.name.clone()),
            service: run.service.clone(),
            open: false,
            idempotent: true,
            timeout_ms: run.step_deadline_ms,
            terms: catkindeck::direct::RouteOptions::default(),
        }
    }

    /// Asks every agent of a service, a bounded number at a time, and returns the answers.
    fn query_agents(
        &self,
        service: &ObjectName,
        request: &PeerRequest,
    ) -> Vec<Result<Vec<PeerFrame>, ServiceError>> {
        let snapshot = self.forwarder.source().current();
        let members = snapshot
            .upstreams
            .iter()
            .filter(|upstream| upstream.service == *service);
        let (addresses, waiting) = unbounded();
        for UpstreamRecord { agent, .. } in members {
            // The channel is unbounded and its receiver lives, so this cannot fail.
            let _ = addresses.send(*agent);
        }
        drop(addresses);
        let (answers, collected) = unbounded();
        thread::scope(|scope| {
            for _ in 0..PARALLEL_AGENTS.min(waiting.len()) {
                let (waiting, answers) = (waiting.clone(), answers.clone());
                scope.spawn(move || {
                    for address in waiting {
                        // The receiver outlives the scope.
                        let _ = answers.send(self.ask(address, request));
                    }
                });
            }
        });
        drop(answers);
        collected.into_iter().collect()
    }

    fn ask(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<Vec<PeerFrame>, ServiceError> {
        let mut stream = self.link.call(address, request.clone(), AGENT_TIMEOUT)?;
        let mut frames = Vec::new();
        while let Some(frame) = stream.receive(AGENT_TIMEOUT)? {
            if let PeerFrame::Failed(error) = frame {
                return Err(error);
            }
            frames.push(frame);
        }
        Ok(frames)
    }
}

impl SampleRunner for EntrySamples {
    fn generate(&self, order: &SampleOrder) -> Result<SampleRecord, ServiceError> {
        let cancelled = Arc::new(AtomicBool::new(false));
        self.running().insert(order.request, Arc::clone(&cancelled));
        let mut sink = SampleSink {
            text: Vec::new(),
            cancelled,
        };
        let end = self.forwarder.forward(&self.work(order), &mut sink);
        self.running().remove(&order.request);

        let delivered = end.map_err(|end| match end {
            ForwardEnd::Failed(error) => error,
            ForwardEnd::CallerGone => {
                ServiceError::unknown(ErrorKind::Conflict, "another attempt won")
            }
        })?;
        let text = String::from_utf8(sink.text).map_err(|_| {
            ServiceError::unknown(ErrorKind::UpstreamFailed, "the sample is not valid UTF-8")
        })?;
        Ok(SampleRecord {
            id: order.id.clone(),
            text,
            labels: delivered.labels,
        })
    }

    fn cancel(&self, request: RequestId) {
        if let Some(cancelled) = self.running().get(&request) {
            cancelled.store(true, Ordering::Relaxed);
        }
    }

    fn collect(&self, run: &RunRecord, step: u64) -> Vec<SampleRecord> {
        let request = PeerRequest::CollectSamples {
            run: run.name.clone(),
            step,
        };
        let answers = self.query_agents(&run.service, &request);
        let frames = answers.into_iter().flatten().flatten();
        frames
            .flat_map(|frame| match frame {
                PeerFrame::Samples(samples) => samples,
                _ => Vec::new(),
            })
            .collect()
    }

    fn release(&self, run: &RunRecord, samples: &[SampleId]) {
        let request = PeerRequest::ReleaseSamples {
            samples: samples.to_vec(),
        };
        let answers = self.query_agents(&run.service, &request);
        let failed = answers.iter().filter(|answer| answer.is_err()).count();
        if failed > 0 {
            // The agents drop the oldest samples when their memory bound is reached.
            log_event!(self.forwarder.logger(), SAMPLES_UNRELEASED;
                "run" => %run.name, "agents" => failed);
        }
    }
}

/// Collects the text of a sample until another attempt wins.
struct SampleSink {
    text: Vec<u8>,
    cancelled: Arc<AtomicBool>,
}

impl AnswerSink for SampleSink {
    fn head(&mut self, _status: u16, _headers: Vec<(String, String)>) {}

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        if self.is_gone() {
            return Err(CallerGone);
        }
        self.text.extend_from_slice(bytes);
        Ok(())
    }

    fn is_gone(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}
