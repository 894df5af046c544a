//! Generation of samples for training runs, over the same forwarding path as callers' requests.

use {
    crate::{
        api::digest_work,
        credentials::CallerIdentity,
        events::SAMPLES_UNRELEASED,
        forward::{ForwardError, ForwardWork, RequestForwarder, ResponseSink},
        http::CallerDisconnected,
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
    catkindeck_control::run::ports::{SampleRequest, SampleRunner},
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

/// The timeout for one agent to return or release samples; an agent that exceeds it is treated as
/// having none.
const AGENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of agents queried concurrently.
const PARALLEL_AGENTS: usize = 16;

/// Generates the samples of the runs that this entry owns.
pub struct SampleGenerator {
    forwarder: Arc<RequestForwarder>,
    link: Arc<dyn PeerLink>,
    cancel_flags: Mutex<SortedMap<RequestId, Arc<AtomicBool>>>,
}

impl SampleGenerator {
    pub fn new(forwarder: Arc<RequestForwarder>, link: Arc<dyn PeerLink>) -> Self {
        Self {
            forwarder,
            link,
            cancel_flags: Mutex::new(SortedMap::new()),
        }
    }

    fn cancel_flags(&self) -> MutexGuard<'_, SortedMap<RequestId, Arc<AtomicBool>>> {
        self.cancel_flags
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn build_work(&self, request: &SampleRequest) -> ForwardWork {
        let route = self.route(&request.run);
        let identity = CallerIdentity {
            customer: request.run.customer.clone(),
            digest: None,
        };
        let parts = [request.prompt.as_bytes(), &request.max_tokens.to_le_bytes()];
        ForwardWork {
            request: request.request,
            digest: digest_work((&route, Some(&identity)), &parts),
            identity: Some(identity),
            route,
            class: WorkClass::Rollout,
            priority: request.priority,
            deadline: self.forwarder.now() + request.deadline_ms,
            idempotency_key: None,
            prefix: Some(prefix_digest(&request.prompt)),
            sample: Some(request.id.clone()),
            body: WorkBody::Completion(CompletionBody {
                prompt: request.prompt.clone(),
                max_tokens: request.max_tokens,
                resume_text: String::new(),
                resume_tokens: 0,
            }),
        }
    }

    /// Returns the route whose metrics the run's samples count towards.
    ///
    /// It is always idempotent, because generating a sample again is harmless.
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

    /// Queries every agent of a service, [`PARALLEL_AGENTS`] at a time, and returns the responses.
    fn query_agents(
        &self,
        service: &ObjectName,
        request: &PeerRequest,
    ) -> Vec<Result<Vec<PeerFrame>, ServiceError>> {
        let snapshot = self.forwarder.source().current();
        let upstreams = snapshot
            .upstreams
            .iter()
            .filter(|upstream| upstream.service == *service);
        let (addresses, pending) = unbounded();
        for UpstreamRecord { agent, .. } in upstreams {
            // Cannot fail: the channel is unbounded and its receiver is still alive.
            let _ = addresses.send(*agent);
        }
        drop(addresses);
        let (responses, collected) = unbounded();
        thread::scope(|scope| {
            for _ in 0..PARALLEL_AGENTS.min(pending.len()) {
                let (pending, responses) = (pending.clone(), responses.clone());
                scope.spawn(move || {
                    for address in pending {
                        // Cannot fail: the receiver outlives the scope.
                        let _ = responses.send(self.call_agent(address, request));
                    }
                });
            }
        });
        drop(responses);
        collected.into_iter().collect()
    }

    fn call_agent(
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

impl SampleRunner for SampleGenerator {
    fn generate(&self, request: &SampleRequest) -> Result<SampleRecord, ServiceError> {
        let cancelled = Arc::new(AtomicBool::new(false));
        self.cancel_flags()
            .insert(request.request, Arc::clone(&cancelled));
        let mut sink = SampleSink {
            text: Vec::new(),
            cancelled,
        };
        let result = self.forwarder.forward(&self.build_work(request), &mut sink);
        self.cancel_flags().remove(&request.request);

        let delivered = result.map_err(|error| match error {
            ForwardError::Failed(error) => error,
            ForwardError::CallerDisconnected => ServiceError::unknown(
                ErrorKind::Conflict,
                "cancelled, because another attempt at this sample finished first",
            ),
        })?;
        let text = String::from_utf8(sink.text).map_err(|_| {
            ServiceError::unknown(ErrorKind::UpstreamFailed, "the sample is not valid UTF-8")
        })?;
        Ok(SampleRecord {
            id: request.id.clone(),
            text,
            labels: delivered.labels,
        })
    }

    fn cancel(&self, request: RequestId) {
        if let Some(cancelled) = self.cancel_flags().get(&request) {
            cancelled.store(true, Ordering::Relaxed);
        }
    }

    fn collect(&self, run: &RunRecord, step: u64) -> Vec<SampleRecord> {
        let request = PeerRequest::CollectSamples {
            run: run.name.clone(),
            step,
        };
        let responses = self.query_agents(&run.service, &request);
        let frames = responses.into_iter().flatten().flatten();
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
        let responses = self.query_agents(&run.service, &request);
        let failed = responses
            .iter()
            .filter(|response| response.is_err())
            .count();
        if failed > 0 {
            // Agents that were not reached evict their oldest samples at their memory limit.
            log_event!(self.forwarder.logger(), SAMPLES_UNRELEASED;
                "run" => %run.name, "agents" => failed);
        }
    }
}

/// Collects the text of a sample until it is cancelled.
struct SampleSink {
    text: Vec<u8>,
    cancelled: Arc<AtomicBool>,
}

impl ResponseSink for SampleSink {
    fn head(&mut self, _status: u16, _headers: Vec<(String, String)>) {}

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        if self.is_disconnected() {
            return Err(CallerDisconnected);
        }
        self.text.extend_from_slice(bytes);
        Ok(())
    }

    fn is_disconnected(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}
