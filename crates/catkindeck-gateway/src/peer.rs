//! Calls between gateway processes.
//!
//! A call is an HTTP request with a body encoded by postcard: every process has an HTTP server anyway, and
//! the hosts have neither certificates nor CPU time for a second transport.

use {
    crate::{
        capacity::CallTrailer,
        core::GatewayCore,
        events::PEER_FAILED,
        feed::{FeedChanges, FeedPosition, FeedQuery, FeedUpdate},
        jobs::{
            JobService,
            backup::JobTextUpdate,
            demand::{DemandReport, StepReport},
            places::PlaceRequest,
        },
        keys::{self, JobRecord, MemberRecord},
        limits::{LimitCall, PermitReply},
        notices::NoticeCall,
        port::WeightOrder,
        relay::{StoreCall, StoreResponse},
        stream_origins::{OriginAnswer, OriginCall},
    },
    bytes::Bytes,
    catkindeck::{
        ErrorKind, ServiceError,
        id::{IncarnationId, ObjectName},
        log_event, message,
        token::WeightVersion,
    },
    catkindeck_net::{HttpHandler, LocalFuture, ResponseBody},
    catkindeck_policy::direct::{
        CrashNotice, ItemProgress, JobResult, JobSpec, LeavingNotice, PlaceUpdate, UsageCount,
    },
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

const PEER_PATH: &str = "/peer";

/// The maximum size of the body of a call, in bytes. The largest calls hand over a job with its texts.
const MAX_CALL_BYTES: usize = 64 << 20;

/// The time for a response in addition to the wait time that a call requests. The network delay between hosts
/// is about a millisecond; the rest allows for a busy CPU.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to another gateway process.
#[message]
pub enum PeerCall {
    /// Reads results of a job that the receiver owns.
    Results {
        job: String,
        /// The position of the first result to return.
        after: u32,
        /// How long the receiver may wait for a first result, in milliseconds.
        wait_ms: u64,
        /// The customer on whose behalf the results are read.
        customer: Option<ObjectName>,
    },
    /// Reads the request body of an item.
    ItemBody {
        job: String,
        item: String,
        /// The customer on whose behalf the item is read.
        customer: Option<ObjectName>,
    },
    /// Cancels a job that the receiver owns.
    #[serde(rename = "EndJob")]
    CancelJob {
        job: String,
        /// The customer on whose behalf the job is cancelled.
        customer: Option<ObjectName>,
    },
    /// Asks whether the receiver runs a job or is about to.
    #[serde(rename = "Knows")]
    IsResponsible { job: String },
    /// The hand-over of earlier builds, whose texts have no software versions.
    #[serde(rename = "Adopt")]
    FormerHandOver,
    /// Makes the receiver hand over its running jobs, because its host is being drained.
    #[serde(rename = "Vacate")]
    DrainJobs,
    /// Requests the usage that the receiver counted.
    Usage,
    /// Reports the usage that the sender counted.
    #[serde(rename = "UsageNews")]
    UsageUpdate {
        /// The sender's incarnation.
        run: IncarnationId,
        /// The counts so far, which replace earlier ones.
        counts: Vec<UsageCount>,
    },
    /// Reports upstreams that have started to load weights.
    #[serde(rename = "Loads")]
    WeightLoads(Vec<WeightLoadNotice>),
    /// The copies of earlier builds, whose texts have no software versions.
    #[serde(rename = "Copy")]
    FormerCopy,
    /// Removes and returns the copy of a job whose owner is lost.
    TakeCopy {
        job: String,
        /// The indices of the requested items, in ascending order.
        items: Vec<u32>,
    },
    /// Requests updates of the data that the receiver read from the store, with whole lists; the call of earlier
    /// builds.
    Feed(FeedQuery),
    /// Makes a store call through the receiver.
    Store(Box<StoreCall>),
    /// Forwards a call through the receiver to a process that the sender cannot reach.
    Forward(Box<ForwardedCall>),
    /// Concerns limits that upstreams name.
    Limit(LimitCall),
    /// Concerns the software versions that began streams.
    Origin(OriginCall),
    /// Hands over a job whose record in the store already names the receiver as its owner.
    HandOver(Box<JobHandOver>),
    /// Sends the new parts of partial texts of the sender's running jobs.
    CopyTexts {
        /// The sender's incarnation.
        owner: IncarnationId,
        copies: Vec<JobTextUpdate>,
    },
    /// Concerns upstreams that leave.
    Leaving(NoticeCall<LeavingNotice>),
    /// Reports the demand of the sender's jobs to the leader.
    Demand(DemandReport),
    /// Requests the changes of the data that the receiver read from the store; the call of earlier builds.
    FeedChanges(FeedQuery),
    /// Concerns requests that crash upstreams.
    Crash(NoticeCall<CrashNotice>),
    /// Requests the changes of the data that the receiver read from the store, since a position that a former leader
    /// may have numbered.
    FeedSince(FeedPosition),
    /// Reports the sender's demand to the leader and asks for places at engines.
    Places(PlaceRequest),
    /// Reports the demand of the sender's jobs and the steps of their trainers to the leader.
    StepDemand(StepReport),
}

/// A call to be forwarded to another process.
#[message]
pub struct ForwardedCall {
    pub target: MemberRecord,
    /// The wait time that the call requests from the target, in milliseconds.
    pub wait_ms: u64,
    pub call: PeerCall,
}

/// A job and the state that its new owner needs to continue it.
#[message]
pub struct JobHandOver {
    pub record: JobRecord,
    /// The store's revision of the record.
    pub revision: u64,
    /// The process that owned or accepted the job.
    pub former: MemberRecord,
    /// The submission, if no result is listed yet; with `None` the new owner loads the job from the store.
    pub spec: Option<JobSpec>,
    /// The progress of the items that are not listed, by item index.
    pub progress: Vec<(u32, ItemProgress)>,
}

/// An order to load weights that an upstream has accepted.
#[message]
pub struct WeightLoadNotice {
    pub upstream: ObjectName,
    pub model: ObjectName,
    pub version: WeightVersion,
    /// The remaining loading time, in milliseconds.
    pub remaining_ms: u64,
}

/// The response to a [`PeerCall`].
#[message]
pub enum PeerResponse {
    Results(PeerResults),
    /// The request body of an item.
    Body(Vec<u8>),
    /// The call succeeded and has no result.
    Done,
    /// The receiver does not own the job.
    NotOwner,
    /// The receiver could not reach the target of a forwarded call.
    #[serde(rename = "Unreached")]
    Unreachable,
    /// The call failed.
    Refused(ServiceError),
    /// The usage that the receiver counted so far.
    Usage(Vec<UsageCount>),
    /// The copies of earlier builds, whose texts have no software versions.
    #[serde(rename = "Copy")]
    FormerCopy,
    Feed(Box<FeedUpdate>),
    Store(Box<StoreResponse>),
    Permits(PermitReply),
    /// The copied progress of a job's items, by item index.
    CopiedTexts(Vec<(u32, ItemProgress)>),
    Origin(OriginAnswer),
    /// The notices of upstreams that leave of which the receiver knows.
    Leaving(Vec<LeavingNotice>),
    FeedChanges(Box<FeedChanges>),
    /// The notices of requests that crash upstreams of which the receiver knows.
    Crash(Vec<CrashNotice>),
    /// The places at engines that the receiver, the leader, grants.
    Places(PlaceUpdate),
    /// The receiver has no room for work of others and did nothing; another process may have room. Sent only to
    /// callers that understand it.
    Shed,
}

#[message]
pub struct PeerResults {
    /// The number of items of the job.
    pub total: u32,
    /// The position after the last returned result.
    pub next: u32,
    pub results: Vec<JobResult>,
}

impl GatewayCore {
    /// Calls another process; `wait` is the wait time that the call itself requests.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if there is no response in time. A [`PeerResponse::Refused`] is a response.
    pub async fn call_peer(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        wait: Duration,
    ) -> Result<PeerResponse, ServiceError> {
        let trailer = self.uses_capacity().then_some(CallTrailer::Sheddable);
        self.call_peer_with(address, (call, trailer), wait).await
    }

    /// As [`Self::call_peer`], with what follows the call.
    ///
    /// # Errors
    ///
    /// As [`Self::call_peer`].
    pub(crate) async fn call_peer_with(
        &self,
        address: SocketAddr,
        (call, trailer): (&PeerCall, Option<CallTrailer>),
        wait: Duration,
    ) -> Result<PeerResponse, ServiceError> {
        let mut body = keys::encode(call)?;
        if let Some(trailer) = trailer {
            body.extend(keys::encode(&trailer)?);
        }
        let request = Request::builder()
            .method(Method::POST)
            .uri(PEER_PATH)
            .header(http::header::HOST, address.to_string())
            .body(Bytes::from(body))
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        let limit = wait + RESPONSE_TIMEOUT;
        let response = self.peer_client.call(address, request, limit).await;
        let response = response.map_err(|fault| {
            log_event!(self.logger, PEER_FAILED; "peer" => %address, "detail" => fault.to_string());
            ServiceError::unknown(ErrorKind::PeerUnavailable, fault.detail)
        })?;
        let (response, trailer) = keys::decode_with_trailer(&response.body)?;
        if let Some(trailer) = trailer {
            self.read_trailer(address, &response, &trailer);
        }
        Ok(response)
    }
}

impl From<FeedChanges> for PeerResponse {
    fn from(changes: FeedChanges) -> Self {
        Self::FeedChanges(Box::new(changes))
    }
}

/// Answers calls of other gateway processes.
pub struct PeerHandler {
    core: Rc<GatewayCore>,
    jobs: Rc<JobService>,
}

impl PeerHandler {
    pub fn new(core: Rc<GatewayCore>, jobs: Rc<JobService>) -> Rc<Self> {
        Rc::new(Self { core, jobs })
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (response, reads_trailers) = match read_call(request).await {
            Ok((call, trailer)) if self.core.sheds_call(&call, trailer) => {
                (PeerResponse::Shed, true)
            }
            Ok((call, trailer)) => {
                let response = self.answer_call(call).await;
                let response = response.unwrap_or_else(PeerResponse::Refused);
                (response, trailer.is_some())
            }
            Err(error) => (PeerResponse::Refused(error), false),
        };
        match self.encode_response(&response, reads_trailers) {
            Ok(body) => Response::new(ResponseBody::whole(body)),
            Err(_) => {
                let mut response = Response::new(ResponseBody::whole(Bytes::new()));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        }
    }

    fn answer_responsible(&self, job: &str) -> PeerResponse {
        match self.jobs.is_responsible(job) {
            true => PeerResponse::Done,
            false => PeerResponse::NotOwner,
        }
    }

    async fn answer_cancellation(
        &self,
        job: &str,
        customer: Option<&ObjectName>,
    ) -> Result<PeerResponse, ServiceError> {
        match self.jobs.owned(job) {
            Some(owned) => {
                self.jobs.cancel_local(&owned, customer).await?;
                Ok(PeerResponse::Done)
            }
            None => Ok(PeerResponse::NotOwner),
        }
    }

    fn encode_response(
        &self,
        response: &PeerResponse,
        reads_trailers: bool,
    ) -> Result<Vec<u8>, ServiceError> {
        let mut body = keys::encode(response)?;
        if reads_trailers && let Some(trailer) = self.core.response_trailer(response) {
            body.extend(keys::encode(&trailer)?);
        }
        Ok(body)
    }

    async fn answer_call(&self, call: PeerCall) -> Result<PeerResponse, ServiceError> {
        match call {
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
            } => self.jobs.item_body_for_peer(&job, &item, customer.as_ref()),
            PeerCall::CancelJob { job, customer } => {
                self.answer_cancellation(&job, customer.as_ref()).await
            }
            PeerCall::IsResponsible { job } => Ok(self.answer_responsible(&job)),
            PeerCall::HandOver(hand_over) => {
                self.jobs.accept_hand_over(*hand_over).await?;
                Ok(PeerResponse::Done)
            }
            PeerCall::DrainJobs => {
                self.jobs.hand_over().await?;
                Ok(PeerResponse::Done)
            }
            PeerCall::Usage => Ok(PeerResponse::Usage(self.core.usage.borrow().counts())),
            PeerCall::UsageUpdate { run, counts } => {
                self.core.ledger.borrow_mut().merge(run, &counts);
                Ok(PeerResponse::Done)
            }
            // The job is loaded from the store instead, and its texts start again.
            PeerCall::FormerHandOver | PeerCall::FormerCopy => Err(ServiceError::not_run(
                ErrorKind::WrongIncarnation,
                "texts of earlier builds have no software versions and are not accepted",
            )),
            PeerCall::CopyTexts { owner, copies } => {
                self.core.copies.put(self.core.now(), owner, copies);
                Ok(PeerResponse::Done)
            }
            PeerCall::TakeCopy { job, items } => Ok(PeerResponse::CopiedTexts(
                self.core.copies.take(&job, &items),
            )),
            PeerCall::Store(call) => {
                let response = self.core.relay.answer(&call).await;
                response.map(|response| PeerResponse::Store(Box::new(response)))
            }
            PeerCall::Forward(forwarded) => Ok(self.core.forward_call(&forwarded).await),
            PeerCall::Feed(query) => {
                let update = self.core.feed.answer(&self.core, &query).await;
                update.map(|update| PeerResponse::Feed(Box::new(update)))
            }
            PeerCall::FeedChanges(query) => {
                let changes = self.core.feed.answer_changes(&self.core, &query).await;
                changes.map(PeerResponse::from)
            }
            PeerCall::FeedSince(position) => {
                let changes = self.core.feed.answer_since(&self.core, &position).await;
                changes.map(PeerResponse::from)
            }
            PeerCall::WeightLoads(notices) => Ok(self.core.answer_weight_loads(&notices)),
            PeerCall::Demand(report) => Ok(self.core.answer_demand(report)),
            PeerCall::StepDemand(report) => Ok(self.core.answer_step_demand(report)),
            PeerCall::Origin(call) => Ok(self.core.answer_origin_call(call)),
            PeerCall::Limit(call) => self.core.answer_limit_call(call),
            PeerCall::Places(request) => self.jobs.answer_place_call(request),
            PeerCall::Crash(call) => Ok(self.core.answer_notice_call(call)),
            PeerCall::Leaving(call) => Ok(self.core.answer_notice_call(call)),
        }
    }
}

/// Reads a call and what follows it, if its sender reads what follows a response.
async fn read_call(
    request: Request<Incoming>,
) -> Result<(PeerCall, Option<CallTrailer>), ServiceError> {
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES).collect();
    let body = body.await.map_err(|error| {
        ServiceError::not_run(
            ErrorKind::BadRequest,
            format!("cannot read the body of the peer call: {error}"),
        )
    })?;
    keys::decode_with_trailer(&body.to_bytes())
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
    fn answer_weight_loads(self: &Rc<Self>, notices: &[WeightLoadNotice]) -> PeerResponse {
        for notice in notices {
            self.record_weight_load(notice);
        }
        PeerResponse::Done
    }

    /// Marks an upstream as loading weights, and records the new version after the expected load time.
    ///
    /// If the engine needs longer, it refuses requests or its responses state the actual version.
    pub fn record_weight_load(self: &Rc<Self>, notice: &WeightLoadNotice) {
        let now = self.now();
        let mut roster = self.roster.borrow_mut();
        let Some(key) = roster.current(&notice.upstream) else {
            return;
        };
        let remaining_ms = notice.remaining_ms.max(self.load_time.get().expected_ms());
        let state = roster.get_mut(key);
        state.record_weight_load(now, &notice.model, now + remaining_ms);
        drop(roster);
        let core = Rc::clone(self);
        let notice = notice.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(remaining_ms)).await;
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

impl WeightLoadNotice {
    /// Creates the notice for an order that was accepted just now.
    pub fn for_order(order: &WeightOrder, remaining_ms: u64) -> Self {
        Self {
            upstream: order.upstream.clone(),
            model: order.model.clone(),
            version: order.version,
            remaining_ms,
        }
    }
}
