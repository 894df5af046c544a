//! The choice of the process that owns a job (`docs/design/ownership.md`).

use {
    super::{
        cancel::record_transaction,
        owned::{OwnedJob, route_of},
        service::JobService,
        takeover::HAND_OVER_TIMEOUT,
    },
    crate::{
        events::JOB_ASSIGNED,
        keys::{self, JobRecord, MemberRecord},
        peer::{JobHandOver, PeerCall, PeerResponse},
        port::{CommitOutcome, StoreCondition, StoreItem},
        settings::SharingMode,
    },
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event},
    catkindeck_policy::direct::{JobSpec, OwnerAssignment, TrainerId, rendezvous_score},
    std::rc::Rc,
};

/// The number of engines from which a service is large. One owner with 256 MB may open 2,048 connections to upstreams,
/// which are four to each of as many engines.
const LARGE_SERVICE_ENGINES: usize = 512;

impl JobService {
    /// Chooses the process that is to own a job of a service.
    ///
    /// Where ownership is shared, that is the owner of the job's trainer. Otherwise all jobs of a service go to the
    /// same process that serves no callers, if there is one. Only that process then knows how many items are in
    /// progress at each engine, keeps its connections from step to step, and has the texts of items that are
    /// submitted again. The leader is avoided if possible.
    pub(super) fn choose_owner(&self, spec: &JobSpec, service: &ObjectName) -> MemberRecord {
        if let Some(owner) = self.trainer_owner(spec, service, None) {
            return owner;
        }
        let owner = self.best_owner(service, |member| !member.serves_callers);
        let owner = owner.or_else(|| self.most_capable_entry(service));
        owner.unwrap_or_else(|| self.own_record())
    }

    /// Returns the entry that owns the jobs of a service while no other process is registered, if entries differ in
    /// what they can carry.
    fn most_capable_entry(&self, service: &ObjectName) -> Option<MemberRecord> {
        // Only what registrations say counts, so that all processes choose alike.
        let prefers_capable = self.core.prefers_capable();
        prefers_capable.then(|| self.best_owner(service, |_| true))?
    }

    /// Chooses the process to which a job of this process is handed over. Returns `None` if there is no other.
    pub(super) fn choose_successor(&self, job: &OwnedJob) -> Option<MemberRecord> {
        let service = self.service_of(&job.spec);
        let host = &self.core.settings().host;
        self.trainer_owner(&job.spec, &service, Some(host))
            .or_else(|| self.best_owner(&service, |member| member.host != *host))
    }

    /// Returns the processes that would get new jobs.
    pub(super) fn candidate_owners(&self) -> Vec<MemberRecord> {
        let mut services: Vec<ObjectName> = {
            let view = self.core.intent.borrow();
            let routes = view.routes().iter();
            let takes_jobs = routes.filter(|route| route.terms.job.is_some());
            takes_jobs.map(|route| route.service.clone()).collect()
        };
        services.sort();
        services.dedup();
        let mut owners: Vec<MemberRecord> = Vec::new();
        for service in services {
            match self.shared_models(&service) {
                Some(_) => owners.extend(self.sharing_owners(None)),
                None => {
                    let owner = self.best_owner(&service, |member| !member.serves_callers);
                    let owner = owner.or_else(|| self.most_capable_entry(&service));
                    owners.push(owner.unwrap_or_else(|| self.own_record()));
                }
            }
        }
        owners.sort_by(|one, other| one.host.cmp(&other.host));
        owners.dedup();
        owners
    }

    /// Returns the host that would own the next job of a trainer.
    pub(super) fn next_owner(&self, spec: &JobSpec) -> ObjectName {
        self.choose_owner(spec, &self.service_of(spec)).host
    }

    /// Returns whether the jobs of any service are shared by their trainers.
    pub(super) fn shares_ownership(&self) -> bool {
        let intent = self.core.intent.borrow();
        let mut routes = intent.routes().iter();
        let has_shared = routes.any(|route| {
            let service = intent.service(&route.service);
            let models = service.map_or(0, |service| service.direct.models.len());
            route.terms.job.is_some() && models > 1 && self.may_share(&route.service)
        });
        has_shared && self.sharing_owners(None).len() > 1
    }

    /// Returns whether the settings let several processes own jobs of a service, with regard to its size.
    fn may_share(&self, service: &ObjectName) -> bool {
        match self.core.settings().scheduling.shared_ownership {
            SharingMode::Off => false,
            SharingMode::Auto => true,
            SharingMode::Large => {
                let roster = self.core.roster.borrow();
                let engines = roster.iter().map(|(_, state)| &state.record);
                let own = engines.filter(|record| record.service == *service);
                own.take(LARGE_SERVICE_ENGINES).count() == LARGE_SERVICE_ENGINES
            }
        }
    }

    /// Returns the processes that share the jobs of trainers, in the order of their hosts: those that serve no callers
    /// and whose hosts are not drained, without the leader unless there is no other.
    pub(super) fn sharing_owners(&self, excluded: Option<&ObjectName>) -> Vec<MemberRecord> {
        let members = self.core.members.borrow();
        let intent = self.core.intent.borrow();
        let is_eligible = |member: &&MemberRecord| {
            !member.serves_callers
                && !intent.is_draining(&member.host)
                && excluded != Some(&member.host)
        };
        let mut owners: Vec<MemberRecord> = members.iter().filter(is_eligible).cloned().collect();
        if owners.len() > 1
            && let Some(leader) = self.core.leader.borrow().as_ref()
        {
            owners.retain(|member| member.host != leader.host);
        }
        owners.sort_by(|one, other| one.host.cmp(&other.host));
        owners
    }

    /// Gives a job whose owner is lost to the owner of its trainer, or takes it over where ownership is not shared or
    /// that process does not answer. `registration` is as for [`Self::take_over`].
    ///
    /// # Errors
    ///
    /// As [`Self::take_over`].
    pub async fn assign_lost(
        self: &Rc<Self>,
        item: &StoreItem,
        registration: Option<StoreCondition>,
    ) -> Result<(), ServiceError> {
        if !self.shares_ownership() {
            return self.take_over(item, registration).await;
        }
        let found: JobRecord = keys::decode_item(item)?;
        // Its results may be outdated; only the submission is used.
        let (job, _) = self.load(found.clone(), item.revision).await?;
        let owner = self.choose_owner(&job.spec, &self.service_of(&job.spec));
        if owner.incarnation == self.core.incarnation {
            return self.take_over(item, registration).await;
        }
        let Some(guard) = self.begin_takeover(&found.job) else {
            return Ok(());
        };
        let former = found.owner.clone();
        let record = JobRecord {
            owner: owner.clone(),
            ..found
        };
        let mut transaction = record_transaction(&record, item.revision)?;
        transaction.conditions.extend(registration);
        let outcome = self.core.ports.store.commit(&transaction).await?;
        let CommitOutcome::Committed(revision) = outcome else {
            let detail = "another process changed the job's record first";
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        };
        let call = PeerCall::HandOver(Box::new(JobHandOver {
            record: record.clone(),
            revision,
            former,
            spec: None,
            progress: self.fetch_copy(&job).await,
        }));
        let response = self
            .core
            .call_peer_with_fallback(&owner, &call, HAND_OVER_TIMEOUT)
            .await;
        let is_accepted = matches!(response, Ok(PeerResponse::Done));
        let is_unanswered = response.is_err();
        log_event!(self.core.logger, JOB_ASSIGNED;
            "job" => &job.spec.id, "to" => %owner.host, "revision" => revision,
            "accepted" => is_accepted);
        drop(guard);
        if is_accepted {
            self.cache_owner(&job.spec.id, owner);
        }
        // Without an answer the owner may run the job; the next scan asks it.
        if is_accepted || is_unanswered {
            return Ok(());
        }
        let item = StoreItem {
            value: keys::encode(&record)?,
            revision,
            ..item.clone()
        };
        self.take_over(&item, None).await
    }

    /// Returns the owner of a job's trainer; `None` for a job without one or where ownership is not shared.
    fn trainer_owner(
        &self,
        spec: &JobSpec,
        service: &ObjectName,
        excluded: Option<&ObjectName>,
    ) -> Option<MemberRecord> {
        let trainer = TrainerId::of(spec)?;
        let models = self.shared_models(service)?;
        let owners = self.sharing_owners(excluded);
        let hosts: Vec<ObjectName> = owners.iter().map(|owner| owner.host.clone()).collect();
        let assignment = OwnerAssignment::new(service, &models, &hosts);
        let host = assignment.owner(&trainer.model)?;
        owners.into_iter().find(|owner| owner.host == *host)
    }

    /// Returns the models of a service whose jobs are shared by their trainers; `None` where they are not.
    fn shared_models(&self, service: &ObjectName) -> Option<Vec<ObjectName>> {
        if !self.may_share(service) {
            return None;
        }
        let models = {
            let intent = self.core.intent.borrow();
            let record = intent.service(service)?;
            record.direct.models.clone()
        };
        (models.len() > 1 && self.sharing_owners(None).len() > 1).then_some(models)
    }

    /// Returns the service of a job's items, which decides who owns the job.
    pub(super) fn service_of(&self, spec: &JobSpec) -> ObjectName {
        match route_of(&self.core, spec) {
            Some(route) => route.service.clone(),
            None => spec.route.clone(),
        }
    }

    /// Returns the most suitable process for the jobs of a service. Hosts that are being drained get none.
    fn best_owner(
        &self,
        service: &ObjectName,
        is_eligible: impl Fn(&MemberRecord) -> bool,
    ) -> Option<MemberRecord> {
        let members = self.core.members.borrow();
        let leader = self.core.leader.borrow();
        let intent = self.core.intent.borrow();
        let is_leader = |member: &MemberRecord| {
            let leader = leader.as_ref();
            leader.is_some_and(|leader| leader.host == member.host)
        };
        let eligible = members
            .iter()
            .filter(|member| is_eligible(member) && !intent.is_draining(&member.host));
        let prefers_capable = self.core.prefers_capable();
        let chosen = eligible.max_by_key(|member| {
            let parts = [service.as_str(), member.host.as_str()].map(str::as_bytes);
            // All processes but entries are made to carry jobs.
            let is_ranked = prefers_capable && member.serves_callers;
            (
                !member.serves_callers,
                is_ranked.then(|| self.core.shared_rank(member, &parts)),
                !is_leader(member),
                rendezvous_score(&parts),
            )
        });
        chosen.cloned()
    }
}
