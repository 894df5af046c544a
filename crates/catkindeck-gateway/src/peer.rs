//! Calls between the processes of the system.
//!
//! They are HTTP requests with a postcard body, because every process speaks HTTP anyway and the
//! hosts have neither certificates nor the processor time for a second transport.

use {
    crate::{
        core::GatewayCore,
        events::PEER_FAILED,
        feed::{FeedQuery, FeedUpdate},
        jobs::{JobService, backup::JobCopy},
        keys::{self, JobRecord, MemberRecord},
        port::WeightOrder,
        relay::{StoreCall, StoreReply},
    },
    bytes::Bytes,
    catkindeck::{
        ErrorKind, ServiceError,
        id::{IncarnationId, ObjectName},
        log_event, message,
        token::WeightVersion,
    },
    catkindeck_net::{HttpHandler, LocalFuture, ResponseBody},
    catkindeck_policy::direct::{ItemProgress, JobResult, JobSpec, UsageCount},
    http::{Method, Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The path of all calls.
const PEER_PATH: &str = "/peer";

/// The time for an answer on top of the wait that a call asks for. Hosts are a millisecond apart;
/// the rest is for a busy processor.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to another process.
#[message]
pub enum PeerCall {
    /// Asks for the results of a job.
    Results {
        /// The job.
        job: String,
        /// The position of the first result.
        after: u32,
        /// For how long to wait for a result, in milliseconds.
        wait_ms: u64,
        /// The customer who asks.
        customer: Option<ObjectName>,
    },
    /// Asks for the body of an item.
    ItemBody {
        /// The job.
        job: String,
        /// The item.
        item: String,
        /// The customer who asks.
        customer: Option<ObjectName>,
    },
    /// Ends a job.
    EndJob {
        /// The job.
        job: String,
        /// The customer who asks.
        customer: Option<ObjectName>,
    },
    /// Asks whether the receiver runs a job.
    #[serde(rename = "Knows")]
    IsResponsible {
        /// The job.
        job: String,
    },
    /// Hands a job over, after the store names the receiver as its owner.
    #[serde(rename = "Adopt")]
    HandOver(Box<JobHandOver>),
    /// Has the receiver hand its running jobs over, because its host is to be emptied.
    #[serde(rename = "Vacate")]
    DrainJobs,
    /// Asks for the usage that the receiver counted.
    Usage,
    /// Tells the usage that the sender counted.
    #[serde(rename = "UsageNews")]
    UsageUpdate {
        /// The run of the sender.
        run: IncarnationId,
        /// The counts so far.
        counts: Vec<UsageCount>,
    },
    /// Tells that upstreams load weights.
    Loads(Vec<LoadNotice>),
    /// Copies what is new of the sender's running jobs.
    Copy {
        /// The run of the sender.
        runner: IncarnationId,
        /// What is new.
        copies: Vec<JobCopy>,
    },
    /// Takes the copy of a job whose runner is gone.
    TakeCopy {
        /// The job.
        job: String,
        /// The indices of the items whose texts are wanted, in ascending order.
        items: Vec<u32>,
    },
    /// Asks for what the receiver read from the store.
    Feed(FeedQuery),
    /// Asks the receiver to make a call to the store.
    Store(Box<StoreCall>),
    /// Asks the receiver to pass a call on to a process that the sender does not reach.
    Forward(Box<ForwardedCall>),
}

/// A call that another process passes on.
#[message]
pub struct ForwardedCall {
    /// The process that shall answer.
    pub target: MemberRecord,
    /// The time that it may keep the call, in milliseconds.
    pub wait_ms: u64,
    /// The call.
    pub call: PeerCall,
}

/// A job with what its new owner needs to go on.
#[message]
pub struct JobHandOver {
    /// What the store holds.
    pub record: JobRecord,
    /// The store's revision of it.
    pub revision: u64,
    /// The process that ran or accepted the job.
    pub former: MemberRecord,
    /// The submission, if nothing is listed yet; otherwise the job is loaded.
    pub spec: Option<JobSpec>,
    /// What unlisted items have so far, by index.
    pub progress: Vec<(u32, ItemProgress)>,
}

/// An upstream that loads weights.
#[message]
pub struct LoadNotice {
    /// The upstream.
    pub upstream: ObjectName,
    /// The model.
    pub model: ObjectName,
    /// The version.
    pub version: WeightVersion,
    /// The time until the load is done, in milliseconds.
    pub remaining_ms: u64,
}

/// The answer to a call.
#[message]
pub enum PeerAnswer {
    /// Results of a job.
    Results(PeerResults),
    /// The body of an item.
    Body(Vec<u8>),
    /// The call was carried out.
    Done,
    /// The process does not run the job.
    NotOwner,
    /// The process does not reach the one that a call is for.
    #[serde(rename = "Unreached")]
    Unreachable,
    /// The call was refused.
    Refused(ServiceError),
    /// The usage that was counted so far.
    Usage(Vec<UsageCount>),
    /// What is kept of a job's items, by index.
    Copy(Vec<(u32, ItemProgress)>),
    /// What was read from the store.
    Feed(Box<FeedUpdate>),
    /// What the store answered.
    Store(Box<StoreReply>),
}

/// Results of a job.
#[message]
pub struct PeerResults {
    /// The number of items.
    pub total: u32,
    /// The position after the last result.
    pub next: u32,
    /// The results.
    pub results: Vec<JobResult>,
}

impl GatewayCore {
    /// Calls another process; `wait` is the time that it may keep the call.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if there is no answer in time; a refusal is an answer.
    pub async fn call_peer(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        wait: Duration,
    ) -> Result<PeerAnswer, ServiceError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(PEER_PATH)
            .header(http::header::HOST, address.to_string())
            .body(Bytes::from(keys::encode(call)?))
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        let limit = wait + ANSWER_TIMEOUT;
        let answer = self.peer_client.call(address, request, limit).await;
        let answer = answer.map_err(|fault| {
            log_event!(self.logger, PEER_FAILED; "peer" => %address, "detail" => fault.to_string());
            ServiceError::unknown(ErrorKind::PeerUnavailable, fault.detail)
        })?;
        keys::decode(&answer.body)
    }
}

/// Answers other processes.
pub struct PeerHandler {
    core: Rc<GatewayCore>,
    jobs: Rc<JobService>,
}

impl PeerHandler {
    /// Makes the front.
    pub fn new(core: Rc<GatewayCore>, jobs: Rc<JobService>) -> Rc<Self> {
        Rc::new(Self { core, jobs })
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let answer = match self.answer_call(request).await {
            Ok(answer) => answer,
            Err(error) => PeerAnswer::Refused(error),
        };
        match keys::encode(&answer) {
            Ok(body) => Response::new(ResponseBody::whole(body)),
            Err(_) => {
                let mut response = Response::new(ResponseBody::whole(Bytes::new()));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        }
    }

    async fn answer_call(&self, request: Request<Incoming>) -> Result<PeerAnswer, ServiceError> {
        let body = request.into_body().collect().await.map_err(|_| {
            ServiceError::not_run(ErrorKind::BadRequest, "the call was not received whole")
        })?;
        match keys::decode(&body.to_bytes())? {
            PeerCall::Results {
                job,
                after,
                wait_ms,
                customer,
            } => {
                let wait = Duration::from_millis(wait_ms);
                self.jobs
                    .results_for_peer(&job, after, wait, customer.as_ref())
                    .await
            }
            PeerCall::ItemBody {
                job,
                item,
                customer,
            } => self.jobs.body_for_peer(&job, &item, customer.as_ref()),
            PeerCall::EndJob { job, customer } => match self.jobs.owned(&job) {
                Some(owned) => {
                    self.jobs.cancel_local(&owned, customer.as_ref()).await?;
                    Ok(PeerAnswer::Done)
                }
                None => Ok(PeerAnswer::NotOwner),
            },
            PeerCall::IsResponsible { job } => Ok(match self.jobs.is_responsible(&job) {
                true => PeerAnswer::Done,
                false => PeerAnswer::NotOwner,
            }),
            PeerCall::HandOver(hand_over) => {
                self.jobs.accept_hand_over(*hand_over).await?;
                Ok(PeerAnswer::Done)
            }
            PeerCall::DrainJobs => {
                self.jobs.hand_over().await?;
                Ok(PeerAnswer::Done)
            }
            PeerCall::Usage => Ok(PeerAnswer::Usage(self.core.usage.borrow().counts())),
            PeerCall::UsageUpdate { run, counts } => {
                self.core.ledger.borrow_mut().merge(run, &counts);
                Ok(PeerAnswer::Done)
            }
            PeerCall::Copy { runner, copies } => {
                self.core.copies.put(self.core.now(), runner, copies);
                Ok(PeerAnswer::Done)
            }
            PeerCall::TakeCopy { job, items } => {
                Ok(PeerAnswer::Copy(self.core.copies.take(&job, &items)))
            }
            PeerCall::Store(call) => {
                let reply = self.core.relay.answer(&call).await?;
                Ok(PeerAnswer::Store(Box::new(reply)))
            }
            PeerCall::Forward(forwarded) => Ok(self.core.forward_call(&forwarded).await),
            PeerCall::Feed(query) => {
                let update = self.core.feed.answer(&self.core, &query).await?;
                Ok(PeerAnswer::Feed(Box::new(update)))
            }
            PeerCall::Loads(notices) => {
                for notice in notices {
                    self.core.record_load(&notice);
                }
                Ok(PeerAnswer::Done)
            }
        }
    }
}

impl HttpHandler for PeerHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}

impl GatewayCore {
    /// Learns that an upstream loads weights, and takes them as loaded when the time is over.
    ///
    /// An engine that is not done by then refuses or names its true version in its answers.
    pub fn record_load(self: &Rc<Self>, notice: &LoadNotice) {
        let now = self.now();
        let mut roster = self.roster.borrow_mut();
        let Some(key) = roster.current(&notice.upstream) else {
            return;
        };
        let until = now + notice.remaining_ms;
        roster.get_mut(key).load_started(&notice.model, until);
        drop(roster);
        let core = Rc::clone(self);
        let notice = notice.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(notice.remaining_ms)).await;
            let mut roster = core.roster.borrow_mut();
            if roster.current(&notice.upstream) == Some(key) {
                let state = roster.get_mut(key);
                state.observe_version(&notice.model, notice.version);
                state.clear_prompt_parts();
            }
            drop(roster);
            core.capacity.notify_one();
        });
    }
}

impl LoadNotice {
    /// Makes the notice of an order that was accepted just now.
    pub fn for_order(order: &WeightOrder, remaining_ms: u64) -> Self {
        Self {
            upstream: order.upstream.clone(),
            model: order.model.clone(),
            version: order.version,
            remaining_ms,
        }
    }
}
