//! What this host and others can carry and carry now, and what a host that nears its bounds refuses
//! (`docs/design/capacity.md`).

use {
    crate::{
        capacity_metrics::CapacityMetrics,
        core::GatewayCore,
        events::{ENTRY_READY_AGAIN, ENTRY_UNREADY, SHEDDING_BEGAN, SHEDDING_ENDED, STAGE_CHANGED},
        keys::MemberRecord,
        peer::{PeerCall, PeerResponse},
        settings::NodeSettings,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError, SortedMap,
        id::{IncarnationId, ObjectName},
        log_event, message,
    },
    catkindeck_net::{LinkTraffic, ServerControl},
    catkindeck_policy::direct::{
        CapacityScale, HostCapacity, HostLoad, LinkMeter, LoadBoard, PeerStanding, SharedRank,
        ShedGuard, ShedStage, UnreadyAllowance, ZoneEntry, rank_by_room,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{runtime::Handle, time::Instant},
};

/// Buffered request bodies may use the process's memory divided by this number.
pub(crate) const BODY_MEMORY_DIVISOR: u64 = 4;

/// Responses that callers have not taken yet may use the process's memory divided by this number before further
/// requests are refused. Those in progress may add as much again.
pub(crate) const HELD_MEMORY_DIVISOR: u64 = 8;

/// Follows each call of a process with this decision on, whose sender reads what follows the response.
#[message]
#[derive(Copy)]
pub enum CallTrailer {
    /// The call may be answered by [`PeerResponse::Shed`].
    Sheddable,
    /// All other processes that could do the work refused it for lack of room.
    LastResort,
}

/// Follows the response to such a call.
#[message]
#[derive(Default)]
pub struct ResponseTrailer {
    pub load: HostLoad,
    /// What the processes of a [`PeerResponse::FeedChanges`] can carry, in their order; empty if they are alike.
    pub capacities: Vec<HostCapacity>,
}

/// What an operator is shown of this host.
#[message]
pub struct HostReport {
    pub capacity: HostCapacity,
    pub load: HostLoad,
    /// What the host refuses: `open`, `relayed_work`, `new_work` or `unready`.
    pub stage: String,
    /// Its weight among the entries, from 1 to 1,000.
    pub weight: u32,
}

/// What this process knows of its own host and of others.
#[derive(Default)]
pub struct HostRegistry {
    capacities: RefCell<SortedMap<IncarnationId, HostCapacity>>,
    scale: Cell<CapacityScale>,
    /// When the list of processes was read from the store.
    listed_at: Cell<Option<Moment>>,
    loads: RefCell<LoadBoard>,
    guard: RefCell<ShedGuard>,
    allowance: RefCell<UnreadyAllowance>,
    may_be_unready: Cell<bool>,
    link: RefCell<LinkMeter>,
    /// The bodies of requests that are being read, in bytes.
    pub body_bytes: Cell<u64>,
    /// The bodies of requests that are being served, in bytes.
    pub served_bytes: Cell<u64>,
    connections_percent: Cell<u8>,
    busy_percent: Cell<u8>,
    busy_measured: Cell<Option<(Instant, Duration)>>,
}

impl HostRegistry {
    /// Records what hosts say in their registrations.
    pub fn learn(&self, members: &[MemberRecord], capacities: &[Option<HostCapacity>]) {
        let mut known = self.capacities.borrow_mut();
        for (member, capacity) in members.iter().zip(capacities) {
            if let Some(capacity) = capacity {
                known.insert(member.incarnation, *capacity);
            }
        }
    }

    fn set_members(&self, listed_at: Moment, members: &[MemberRecord]) {
        self.capacities.borrow_mut().retain(|incarnation, _| {
            members
                .iter()
                .any(|member| member.incarnation == *incarnation)
        });
        let entries = members.iter().filter(|member| member.serves_callers);
        let scale = CapacityScale::of(entries.map(|entry| self.capacity(entry)));
        self.scale.set(scale);
        self.listed_at.set(Some(listed_at));
    }

    /// Returns what a host can carry. Of a host of an earlier build, only the processor is known.
    fn capacity(&self, member: &MemberRecord) -> HostCapacity {
        let known = self.capacities.borrow().get(&member.incarnation).copied();
        known.unwrap_or(HostCapacity {
            cpu_millicores: member.cpu_millicores,
            ..HostCapacity::default()
        })
    }
}

impl GatewayCore {
    /// Returns whether an operator allows the decisions of this module.
    pub(crate) fn uses_capacity(&self) -> bool {
        self.settings().scheduling.entry_capacity.is_on()
    }

    /// Returns whether work goes to hosts by what they can carry: an operator allows it, and entries differ.
    pub(crate) fn prefers_capable(&self) -> bool {
        self.uses_capacity() && self.hosts.scale.get().is_uneven()
    }

    /// Returns what the registration of this process says that its host can carry, if the decision is on.
    pub(crate) fn announced_capacity(&self) -> Option<HostCapacity> {
        self.uses_capacity()
            .then(|| HostCapacity::from(&*self.settings()))
    }

    /// Records the processes that were listed at `listed_at`.
    pub(crate) fn set_listed_members(&self, listed_at: Moment, members: Vec<MemberRecord>) {
        self.hosts.set_members(listed_at, &members);
        *self.members.borrow_mut() = members;
        self.update_allowance();
    }

    /// Returns the rank of a host for work that all processes must give to the same one.
    pub(crate) fn shared_rank(&self, member: &MemberRecord, parts: &[&[u8]]) -> SharedRank {
        let scale = self.hosts.scale.get();
        scale.shared_rank(self.hosts.capacity(member), parts)
    }

    /// Returns whether a host said recently that it refuses relayed work.
    pub(crate) fn is_shedding(&self, member: &MemberRecord) -> bool {
        let load = self.hosts.loads.borrow().find(self.now(), member.peer);
        load.is_some_and(|load| load.is_shedding)
    }

    /// Orders processes by how well they can take relayed work, if entries differ or one of them refuses it.
    pub(crate) fn sort_by_room(&self, peers: &mut Vec<MemberRecord>) {
        let refuses = |peer: &MemberRecord| self.is_shedding(peer);
        if !self.uses_capacity() || !(self.prefers_capable() || peers.iter().any(refuses)) {
            return;
        }
        let settings = self.settings();
        let loads = self.hosts.loads.borrow();
        let now = self.now();
        let standings: Vec<PeerStanding<'_>> = peers
            .iter()
            .map(|peer| PeerStanding {
                host: peer.host.as_str(),
                capacity: self.hosts.capacity(peer),
                load: loads.find(now, peer.peer),
                is_same_zone: peer.zone == settings.zone,
            })
            .collect();
        let scale = self.hosts.scale.get();
        let order = rank_by_room(&scale, &self.incarnation.0, &standings);
        *peers = order.iter().map(|index| peers[*index].clone()).collect();
    }

    /// Returns what follows the response to a call, if the caller can read it and the decision is on.
    pub(crate) fn response_trailer(&self, response: &PeerResponse) -> Option<ResponseTrailer> {
        let capacities = match response {
            PeerResponse::FeedChanges(changes) if self.prefers_capable() => {
                let members = changes.members.iter();
                members.map(|member| self.hosts.capacity(member)).collect()
            }
            _ => Vec::new(),
        };
        self.uses_capacity().then(|| ResponseTrailer {
            load: self.host_load(),
            capacities,
        })
    }

    /// Learns from what followed the response of a process.
    pub(crate) fn read_trailer(
        &self,
        host: SocketAddr,
        response: &PeerResponse,
        trailer: &ResponseTrailer,
    ) {
        let mut loads = self.hosts.loads.borrow_mut();
        loads.record(self.now(), host, trailer.load);
        if let PeerResponse::FeedChanges(changes) = response {
            let capacities: Vec<_> = trailer.capacities.iter().copied().map(Some).collect();
            self.hosts.learn(&changes.members, &capacities);
        }
    }

    /// Returns whether a call is work for others that this process refuses, because another can do it.
    pub(crate) fn sheds_call(&self, call: &PeerCall, trailer: Option<CallTrailer>) -> bool {
        let is_relayed = matches!(
            call,
            PeerCall::Store(_) | PeerCall::Forward(_) | PeerCall::CopyTexts { .. }
        );
        let may_be_shed = is_relayed && trailer == Some(CallTrailer::Sheddable);
        if !may_be_shed || self.shed_stage() == ShedStage::Open {
            return false;
        }
        self.metrics.capacity.count_shed(ShedStage::RelayedWork);
        true
    }

    /// Checks that this process takes new requests and jobs.
    ///
    /// # Errors
    ///
    /// Returns `overloaded` with the time until it may take some again, in milliseconds.
    pub(crate) fn check_room(&self) -> Result<(), (ServiceError, u64)> {
        if self.shed_stage() < ShedStage::NewWork {
            return Ok(());
        }
        self.metrics.capacity.count_shed(ShedStage::NewWork);
        let load = self.host_load();
        let detail = format!(
            "this host reached its memory or link bound; {} % of its memory for bodies and {} % of its link are used now",
            load.memory_percent, load.link_percent
        );
        let error = ServiceError::not_run(ErrorKind::Overloaded, detail);
        Err((error, self.hosts.guard.borrow().return_ms(self.now())))
    }

    /// Returns what this process refuses now.
    pub(crate) fn shed_stage(&self) -> ShedStage {
        if !self.uses_capacity() {
            *self.hosts.guard.borrow_mut() = ShedGuard::default();
            return ShedStage::Open;
        }
        let used = self.memory_percent().max(self.link_percent());
        let may_be_unready = self.hosts.may_be_unready.get();
        let (before, stage) = {
            let mut guard = self.hosts.guard.borrow_mut();
            (
                guard.stage(),
                guard.observe(self.now(), used, may_be_unready),
            )
        };
        if before != stage {
            self.log_stage(before, stage, used);
        }
        stage
    }

    fn log_stage(&self, before: ShedStage, stage: ShedStage, used: u32) {
        let event = match (before, stage) {
            (_, ShedStage::Unready) => ENTRY_UNREADY,
            (ShedStage::Unready, _) => ENTRY_READY_AGAIN,
            (ShedStage::Open, _) => SHEDDING_BEGAN,
            (_, ShedStage::Open) => SHEDDING_ENDED,
            _ => STAGE_CHANGED,
        };
        log_event!(self.logger, event;
            "stage" => stage.name(), "before" => before.name(), "used_percent" => used,
            "memory_percent" => self.memory_percent(), "link_percent" => self.link_percent(),
            "may_be_unready" => self.hosts.may_be_unready.get());
    }

    /// Returns the use of the memory that bodies may take, in percent of its bound.
    fn memory_percent(&self) -> u32 {
        let memory = self.settings().memory_bytes;
        let requests = self.hosts.body_bytes.get() + self.hosts.served_bytes.get();
        let bodies = requests + self.buffered_bytes.get();
        let held = percent(self.held.total(), memory / HELD_MEMORY_DIVISOR);
        held.max(percent(bodies, memory / BODY_MEMORY_DIVISOR))
    }

    fn link_percent(&self) -> u32 {
        let link = self.hosts.link.borrow();
        link.use_percent(self.settings().link_mbps)
    }

    fn host_load(&self) -> HostLoad {
        HostLoad {
            memory_percent: narrow(self.memory_percent()),
            link_percent: narrow(self.link_percent()),
            connections_percent: self.hosts.connections_percent.get(),
            busy_percent: self.hosts.busy_percent.get(),
            is_shedding: self.shed_stage() != ShedStage::Open,
        }
    }

    /// Returns what an operator is shown of this host, if the decision is on.
    pub fn host_report(&self) -> Option<HostReport> {
        let capacity = self.announced_capacity()?;
        Some(HostReport {
            capacity,
            load: self.host_load(),
            stage: self.shed_stage().name().to_owned(),
            weight: self.hosts.scale.get().weight(capacity),
        })
    }

    /// Measures what this host carries; called once a second.
    pub(crate) fn measure_host(&self, callers: &Rc<ServerControl>, connection_limit: usize) {
        let hosts = &self.hosts;
        let traffic = LinkTraffic::current().busier();
        hosts.link.borrow_mut().record(self.now(), traffic);
        let connections = percent(callers.connections() as u64, connection_limit as u64);
        hosts.connections_percent.set(narrow(connections));
        let (now, busy) = (
            Instant::now(),
            Handle::current().metrics().worker_total_busy_duration(0),
        );
        if let Some((at, before)) = hosts.busy_measured.replace(Some((now, busy))) {
            let elapsed = now.duration_since(at).as_micros() as u64;
            let spent = busy.saturating_sub(before).as_micros() as u64;
            hosts.busy_percent.set(narrow(percent(spent, elapsed)));
        }
        self.update_allowance();
        let metrics: &CapacityMetrics = &self.metrics.capacity;
        metrics.record(self.host_load(), self.shed_stage());
    }

    /// Decides whether this entry may be unready while it is full.
    fn update_allowance(&self) {
        if !self.uses_capacity() {
            return;
        }
        let settings = self.settings();
        let members = self.members.borrow();
        let intent = self.intent.borrow();
        let entries: Vec<ZoneEntry<'_>> = members
            .iter()
            .filter(|member| member.serves_callers && member.zone == settings.zone)
            .map(|member| ZoneEntry {
                host: member.host.as_str(),
                is_draining: intent.is_draining(&member.host),
            })
            .collect();
        let now = self.now();
        let age_ms = self
            .hosts
            .listed_at
            .get()
            .map_or(u64::MAX, |at| now.since(at));
        let host: &ObjectName = &settings.host;
        let mut allowance = self.hosts.allowance.borrow_mut();
        let is_allowed = allowance.observe(now, host.as_str(), &entries, age_ms);
        self.hosts.may_be_unready.set(is_allowed);
    }
}

impl From<&NodeSettings> for HostCapacity {
    fn from(settings: &NodeSettings) -> Self {
        Self {
            cpu_millicores: settings.cpu_millicores,
            memory_mb: u32::try_from(settings.memory_bytes >> 20).unwrap_or(u32::MAX),
            link_mbps: settings.link_mbps,
            descriptors: u32::try_from(settings.descriptors).unwrap_or(u32::MAX),
        }
    }
}

/// Returns a share in percent; zero if there is no bound.
fn percent(used: u64, bound: u64) -> u32 {
    let percent = used.saturating_mul(100).checked_div(bound).unwrap_or(0);
    u32::try_from(percent).unwrap_or(u32::MAX)
}

fn narrow(percent: u32) -> u8 {
    u8::try_from(percent.min(100)).unwrap_or(100)
}

/// The bytes of one request body, which are subtracted from the total on drop.
pub(crate) struct BodyBytes<'a> {
    total: &'a Cell<u64>,
    own: u64,
}

impl<'a> BodyBytes<'a> {
    pub(crate) fn new(total: &'a Cell<u64>) -> Self {
        Self { total, own: 0 }
    }

    pub(crate) fn add(&mut self, bytes: u64) {
        self.own += bytes;
        self.total.set(self.total.get() + bytes);
    }
}

impl Drop for BodyBytes<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get().saturating_sub(self.own));
    }
}
