//! Keeps the owners of jobs together within the slots of the engines (`docs/design/ownership.md`).
//!
//! Each owner reports its demand to the leader, and the answer grants it places at the engines.

use {
    super::service::JobService,
    crate::{
        events::{OWNERS_CHANGED, PLACES_CHANGED, PLACES_ENDED},
        keys::{JobState, MemberRecord},
        peer::{PeerCall, PeerResponse},
        settings::SharingMode,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{IncarnationId, ObjectName},
        log_event, message,
        token::WeightVersion,
    },
    catkindeck_policy::direct::{
        ItemKey, ItemPhase, PlaceCounts, PlaceDemand, PlaceDivider, PlaceReport, PlaceShare,
        PlaceUpdate, choose_service,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// The time between two looks at the demand, and the shortest one between two requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which an owner with open jobs asks again, in milliseconds. A grant covers three of them.
const RENEWAL_INTERVAL_MS: u64 = 500;

/// The time after which an owner without open jobs asks again, in milliseconds. Otherwise the leader would keep its
/// even part for it.
const IDLE_INTERVAL_MS: u64 = 1_000;

/// How long a closed step shows that its trainer may ask again, in milliseconds.
const STEP_MEMORY_MS: u64 = 30_000;

/// The shortest time between two log lines about the sum of granted places, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Reports an owner's demand to the leader and asks for places.
#[message]
pub struct PlaceRequest {
    pub owner: ObjectName,
    pub report: PlaceReport,
}

/// The state of this process in the exchange of places.
#[derive(Default)]
pub struct PlaceExchange {
    /// The places of this process as an owner.
    share: RefCell<PlaceShare>,
    /// Divides the places while this process is the leader.
    divider: RefCell<PlaceDivider>,
    /// Notified when the demand rose.
    wake: Notify,
    /// The leader that answered last.
    leader: Cell<Option<IncarnationId>>,
    asked: Cell<Option<Moment>>,
    /// Whether the latest answer took places from this process, which the next request confirms.
    is_unconfirmed: Cell<bool>,
    /// What was last logged, and when.
    logged: Cell<(PlaceCounts, Moment)>,
    /// Whether grants were in force at the last look.
    has_grant: Cell<bool>,
}

impl PlaceExchange {
    /// Makes the owner ask for places at once.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }
}

/// The demand of this process's jobs.
#[derive(Default)]
struct OwnDemand {
    demands: Vec<PlaceDemand>,
    has_open: bool,
    has_waiting: bool,
}

impl OwnDemand {
    fn add(&mut self, model: &ObjectName, least_version: WeightVersion, items: u32) {
        match self.demands.iter_mut().find(|known| known.model == *model) {
            Some(known) => {
                known.items += items;
                known.least_version = known.least_version.min(least_version);
            }
            None => self.demands.push(PlaceDemand {
                model: model.clone(),
                least_version,
                items,
            }),
        }
    }
}

impl JobService {
    /// Asks for places and keeps to them, for the life of the process.
    pub async fn exchange_places(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = sleep(CHECK_INTERVAL) => {}
                () = self.places.wake.notified() => {}
            }
            if let Some(asked) = self.places.asked.get() {
                let elapsed = Duration::from_millis(self.core.now().since(asked));
                sleep(CHECK_INTERVAL.saturating_sub(elapsed)).await;
            }
            let owners = self.place_owners();
            if self.places.share.borrow().owners() != owners {
                self.apply_limits(&owners);
            }
            if owners.len() < 2 {
                continue;
            }
            let demand = self.own_demand();
            let now = self.core.now();
            let interval_ms = match (
                demand.has_waiting || self.places.is_unconfirmed.get(),
                demand.has_open,
            ) {
                (true, _) => 0,
                (false, true) => RENEWAL_INTERVAL_MS,
                (false, false) => IDLE_INTERVAL_MS,
            };
            let asked = self.places.asked.get();
            if asked.is_some_and(|asked| now.since(asked) < interval_ms) {
                continue;
            }
            self.places.asked.set(Some(now));
            let leader = self.core.leader.borrow().clone();
            let outcome = match leader {
                Some(leader) => self.request_places(now, &leader, demand).await,
                None => "no_leader",
            };
            let metrics = &self.core.metrics.ownership;
            metrics.requests.with_label_values(&[outcome]).inc();
            self.apply_limits(&owners);
            self.core.capacity.notify_one();
        }
    }

    /// Answers the call of another owner as the leader.
    ///
    /// # Errors
    ///
    /// As [`Self::answer_places`].
    pub(crate) fn answer_place_call(
        &self,
        request: PlaceRequest,
    ) -> Result<PeerResponse, ServiceError> {
        self.answer_places(request).map(PeerResponse::Places)
    }

    /// Answers the request of an owner as the leader.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if this process is not the leader, and `conflict` if its settings do not share ownership.
    fn answer_places(&self, request: PlaceRequest) -> Result<PlaceUpdate, ServiceError> {
        if self.core.settings().scheduling.shared_ownership == SharingMode::Off {
            let detail = "the settings of the leader do not share ownership";
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        let leader = self.core.leader.borrow();
        let is_leader = leader
            .as_ref()
            .is_some_and(|leader| leader.incarnation == self.core.incarnation);
        if !is_leader || self.session.proof().is_none() {
            let detail = "this process is not the leader";
            return Err(ServiceError::not_run(ErrorKind::Fenced, detail));
        }
        drop(leader);
        let owners: Vec<ObjectName> = self
            .sharing_owners(None)
            .into_iter()
            .map(|owner| owner.host)
            .collect();
        let now = self.core.now();
        let mut divider = self.places.divider.borrow_mut();
        let known = request.report.known;
        divider.record(now, &request.owner, request.report);
        divider.divide(now, &self.core.roster.borrow(), &owners);
        Ok(divider.update(&request.owner, known))
    }

    /// Returns the sums of this process's places, and the owners that share the engines.
    pub(super) fn place_counts(&self) -> Option<(PlaceCounts, Vec<ObjectName>)> {
        let share = self.places.share.borrow();
        let owners = share.owners().to_vec();
        (owners.len() > 1).then(|| {
            let roster = self.core.roster.borrow();
            (share.counts(self.core.now(), &roster), owners)
        })
    }

    /// Returns the hosts that share the engines, of which this process is one; none where it may use all slots.
    fn place_owners(&self) -> Vec<ObjectName> {
        // Entries run items only while no other process can own jobs, or until it took them.
        if self.core.settings().entry.is_some() || !self.shares_ownership() {
            return Vec::new();
        }
        let mut hosts: Vec<ObjectName> = self
            .sharing_owners(None)
            .into_iter()
            .map(|owner| owner.host)
            .collect();
        let host = self.core.settings().host.clone();
        let has_open = || {
            let is_open = |state: JobState| state == JobState::Running;
            self.all()
                .iter()
                .any(|job| is_open(job.record.borrow().state))
        };
        if !hosts.contains(&host) {
            // The leader and hosts that are being drained may still have jobs.
            if !has_open() {
                return Vec::new();
            }
            hosts.push(host);
            hosts.sort();
        }
        hosts
    }

    fn own_demand(&self) -> OwnDemand {
        let unix_ms = self.core.unix_ms();
        let intent = self.core.intent.borrow();
        let mut own = OwnDemand::default();
        for job in self.all() {
            let is_open = job.record.borrow().state == JobState::Running;
            let is_recent = unix_ms.saturating_sub(job.spec.submitted_ms) < STEP_MEMORY_MS;
            if let Some(model) = job.spec.model.as_ref().filter(|_| is_open || is_recent) {
                own.add(model, job.spec.least_version, 0);
            }
            if !is_open {
                continue;
            }
            own.has_open = true;
            let route = intent.routes().find_by_name(&job.spec.route);
            let state = job.job.borrow();
            for (index, item) in job.spec.items.iter().enumerate() {
                let key = ItemKey(u32::try_from(index).unwrap_or(u32::MAX));
                let phase = state.phase(key);
                if !matches!(phase, ItemPhase::Waiting | ItemPhase::Running(_)) {
                    continue;
                }
                own.has_waiting |= phase == ItemPhase::Waiting;
                match (&item.model, route) {
                    (Some(model), _) => own.add(model, job.spec.least_version, 1),
                    (None, Some(route)) => {
                        let service = choose_service(route, &item.id);
                        own.add(&service, WeightVersion(0), 1);
                    }
                    (None, None) => {}
                }
            }
        }
        own
    }

    /// Asks the leader for places, and returns the outcome for the metrics.
    async fn request_places(
        &self,
        sent: Moment,
        leader: &MemberRecord,
        demand: OwnDemand,
    ) -> &'static str {
        let places = &self.places;
        if places.leader.replace(Some(leader.incarnation)) != Some(leader.incarnation) {
            places.share.borrow_mut().change_leader();
        }
        let apply = |update| {
            let has_shrunk = places.share.borrow_mut().apply(sent, update);
            places.is_unconfirmed.set(has_shrunk);
            "granted"
        };
        let request = PlaceRequest {
            owner: self.core.settings().host.clone(),
            report: PlaceReport {
                demands: demand.demands,
                known: places.share.borrow().sequence(),
                excess: places.share.borrow().excess(&self.core.roster.borrow()),
            },
        };
        if leader.incarnation == self.core.incarnation {
            return match self.answer_places(request) {
                Ok(update) => apply(update),
                Err(_) => "refused",
            };
        }
        let call = PeerCall::Places(request);
        match self
            .core
            .call_peer(leader.peer, &call, Duration::ZERO)
            .await
        {
            Ok(PeerResponse::Places(update)) => apply(update),
            // A leader of an earlier build or with other settings grants nothing, and each owner uses its even part.
            Ok(_) => "refused",
            // The failed call is logged.
            Err(_) => "failed",
        }
    }

    fn apply_limits(&self, owners: &[ObjectName]) {
        let host = self.core.settings().host.clone();
        let mut share = self.places.share.borrow_mut();
        if share.owners() != owners {
            let names: Vec<&str> = owners.iter().map(ObjectName::as_str).collect();
            log_event!(self.core.logger, OWNERS_CHANGED; "owners" => names.join(", "));
        }
        share.limit(&mut self.core.roster.borrow_mut(), &host, owners);
        let now = self.core.now();
        let counts = match share.owners().is_empty() {
            true => PlaceCounts::default(),
            false => share.counts(now, &self.core.roster.borrow()),
        };
        drop(share);
        self.core.metrics.ownership.record(&counts, owners.len());
        let (logged, at) = self.places.logged.get();
        if logged.usable != counts.usable && now.since(at) >= LOG_INTERVAL_MS {
            self.places.logged.set((counts, now));
            log_event!(self.core.logger, PLACES_CHANGED;
                "usable" => counts.usable, "even" => counts.even, "slots" => counts.slots,
                "used" => counts.used);
        }
        let has_grant = counts.remaining_ms > 0;
        if self.places.has_grant.replace(has_grant) && !has_grant && !owners.is_empty() {
            log_event!(self.core.logger, PLACES_ENDED; "even" => counts.even);
        }
    }
}
