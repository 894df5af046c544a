//! Divides the slots of engines between the owners of jobs, for the load of uneven trainers whose owners start items
//! at the same engines (`docs/design/ownership.md`).
//!
//! The leader divides by the demand that owners report. An owner that needs more than it has gets what others leave
//! with the next division. Owners that do not report keep their even part, because they use it without a grant.

use {
    super::{
        place_share::{PLACE_TERM_MS, PlaceUpdate, even_part},
        selection::rendezvous_score,
        upstream::UpstreamState,
        upstream_table::UpstreamTable,
    },
    catkindeck::{Moment, SortedMap, id::ObjectName, message, token::WeightVersion},
};

/// The shortest time between two divisions, in milliseconds.
const DIVISION_INTERVAL_MS: u64 = 100;

/// The pairs of an engine and an owner that are divided in this time. With more of them divisions are rarer, so that the
/// work of the leader stays the same.
const PAIRS_PER_INTERVAL: u64 = 10_000;

/// The time after which all engines are examined again without a change of demand, in milliseconds: engines come and
/// go, and a load of weights changes which demand an engine can serve.
const EXAMINATION_INTERVAL_MS: u64 = 500;

/// The change of a demand that has an effect, in percent of the greater value. Items end at any time, and each division
/// costs messages.
const EFFECTIVE_CHANGE_PERCENT: u32 = 10;

/// The parts of a place with which shares are computed.
const PLACE_PARTS: u64 = 1_000;

/// The items of one model that an owner runs or would run now.
#[message]
pub struct PlaceDemand {
    pub model: ObjectName,
    /// The oldest version that may run any of the items.
    pub least_version: WeightVersion,
    /// The items that wait for an engine or run; zero for a trainer that may ask at any time.
    pub items: u32,
}

/// What an owner reports to the leader.
#[message]
#[derive(Default)]
pub struct PlaceReport {
    pub demands: Vec<PlaceDemand>,
    /// The latest state of this leader's grants that the owner knows and keeps to; zero if it knows none.
    pub known: u64,
    /// The engines at which more of its requests run than it has places, with the excess. They began under an earlier
    /// grant.
    pub excess: Vec<(ObjectName, u32)>,
}

/// The latest report of one owner.
#[derive(Debug, Clone)]
struct OwnerReport {
    at: Moment,
    demands: Vec<PlaceDemand>,
}

/// The places of one owner at one engine.
#[derive(Debug, Clone, Copy, Default)]
struct OwnerPlaces {
    /// The share by the latest demand.
    target: u32,
    /// The granted places.
    places: u32,
    /// The most requests that the owner may have in progress. It exceeds the places until the owner knows of a smaller
    /// grant and the requests that began before have ended.
    held: u32,
    /// The division that last changed the places.
    changed: u64,
}

/// Divides the slots of all engines, in the leader.
#[derive(Debug, Clone, Default)]
pub struct PlaceDivider {
    reports: SortedMap<ObjectName, OwnerReport>,
    /// All owners in ascending order.
    owners: Vec<ObjectName>,
    /// Which of the owners reported in time.
    reporting: Vec<bool>,
    /// The places at each engine, in the order of the owners.
    engines: SortedMap<ObjectName, Vec<OwnerPlaces>>,
    sequence: u64,
    divided: Option<Moment>,
    /// When all engines were last examined.
    examined: Moment,
    /// Whether a report changed since the latest division.
    is_outdated: bool,
}

impl PlaceDivider {
    /// Records the report of an owner. Small changes of a demand have no effect.
    pub fn record(&mut self, now: Moment, owner: &ObjectName, report: PlaceReport) {
        self.release(owner, &report);
        let mut demands = report.demands;
        demands.sort_by(|one, other| one.model.cmp(&other.model));
        let known = self.reports.get(owner);
        let known = known.map_or(&[][..], |report| &report.demands);
        for demand in &mut demands {
            let former = known.iter().find(|former| former.model == demand.model);
            if let Some(former) = former.filter(|former| is_similar(former.items, demand.items)) {
                demand.items = former.items;
            }
        }
        self.is_outdated |= known != demands;
        self.reports
            .insert(owner.clone(), OwnerReport { at: now, demands });
    }

    /// Records which of the places that were taken from an owner are free by now.
    fn release(&mut self, owner: &ObjectName, report: &PlaceReport) {
        let Ok(index) = self.owners.binary_search(owner) else {
            return;
        };
        for (_, engine) in self.engines.iter_mut() {
            let own = &mut engine[index];
            if own.changed <= report.known {
                own.held = own.places;
            }
        }
        for (upstream, excess) in &report.excess {
            if let Some(engine) = self.engines.get_mut(upstream) {
                let own = &mut engine[index];
                own.held = own.held.max(own.places.saturating_add(*excess));
            }
        }
    }

    /// Divides the slots again if that is due. `owners` are the hosts that own jobs according to the list of
    /// processes, in any order; those that report belong to them as well.
    pub fn divide(&mut self, now: Moment, table: &UpstreamTable, owners: &[ObjectName]) {
        let pairs = (table.len() * self.owners.len()) as u64;
        let interval_ms = DIVISION_INTERVAL_MS * pairs.div_ceil(PAIRS_PER_INTERVAL).max(1);
        let is_early = |at: Moment| now.since(at) < interval_ms;
        if self.divided.is_some_and(is_early) {
            return;
        }
        self.divided = Some(now);
        self.reports
            .retain(|_, report| now.since(report.at) < PLACE_TERM_MS);
        self.update_owners(owners);
        self.sequence += 1;
        if self.is_outdated || now.since(self.examined) >= EXAMINATION_INTERVAL_MS {
            (self.is_outdated, self.examined) = (false, now);
            self.set_targets(now, table);
        }
        for (_, state) in table.iter() {
            if let Some(engine) = self.engines.get_mut(&state.record.id) {
                settle(engine, &self.reporting, state.record.slots, self.sequence);
            }
        }
    }

    fn set_targets(&mut self, now: Moment, table: &UpstreamTable) {
        let pool = self.pool_slots(now, table);
        for (_, state) in table.iter() {
            if state.record.weights.is_empty() {
                continue;
            }
            let targets = self.divide_engine(now, state, &pool);
            let sequence = self.sequence;
            // Nothing is known of an engine or of owners that are new: all get their share at once.
            let new = || {
                let places = targets.iter().map(|target| OwnerPlaces {
                    target: *target,
                    places: *target,
                    held: *target,
                    changed: sequence,
                });
                places.collect()
            };
            let engine = self
                .engines
                .get_or_insert_with(state.record.id.clone(), new);
            for (own, target) in engine.iter_mut().zip(&targets) {
                own.target = *target;
            }
        }
        self.engines
            .retain(|upstream, _| table.current(upstream).is_some());
    }

    /// Returns the grants of an owner that changed since the state `known`; all of them if that is zero.
    pub fn update(&self, owner: &ObjectName, known: u64) -> PlaceUpdate {
        let mut update = PlaceUpdate {
            sequence: self.sequence,
            places: Vec::new(),
        };
        if let Ok(index) = self.owners.binary_search(owner) {
            for (upstream, engine) in self.engines.iter() {
                let own = engine[index];
                if known == 0 || own.changed > known {
                    update.places.push((upstream.clone(), own.places));
                }
            }
        }
        update
    }

    /// Returns the places of an owner at an engine; `None` if there was no division.
    pub fn places(&self, owner: &ObjectName, upstream: &ObjectName) -> Option<u32> {
        let index = self.owners.binary_search(owner).ok()?;
        Some(self.engines.get(upstream)?[index].places)
    }

    fn update_owners(&mut self, owners: &[ObjectName]) {
        let mut all: Vec<ObjectName> = owners.to_vec();
        all.extend(self.reports.keys().cloned());
        all.sort();
        all.dedup();
        let reporting: Vec<bool> = all
            .iter()
            .map(|owner| self.reports.contains_key(owner))
            .collect();
        if all != self.owners {
            self.engines.clear();
        }
        self.is_outdated |= all != self.owners || reporting != self.reporting;
        (self.owners, self.reporting) = (all, reporting);
    }

    /// Returns the slots of all engines that can serve each demand, by owner and then by demand.
    fn pool_slots(&self, now: Moment, table: &UpstreamTable) -> Vec<Vec<u64>> {
        let mut pool: Vec<Vec<u64>> = self
            .owners
            .iter()
            .map(|owner| vec![0; self.demands(owner).len()])
            .collect();
        for (_, state) in table.iter() {
            for (owner, slots) in self.owners.iter().zip(&mut pool) {
                for (demand, slots) in self.demands(owner).iter().zip(slots) {
                    if can_serve(now, state, demand) {
                        *slots += u64::from(state.record.slots);
                    }
                }
            }
        }
        pool
    }

    fn demands(&self, owner: &ObjectName) -> &[PlaceDemand] {
        let report = self.reports.get(owner);
        report.map_or(&[], |report| &report.demands)
    }

    /// Returns the places of each owner at an engine; they add up to the slots.
    fn divide_engine(&self, now: Moment, state: &UpstreamState, pool: &[Vec<u64>]) -> Vec<u32> {
        let (upstream, slots) = (&state.record.id, state.record.slots);
        let even = |owner: &ObjectName| even_part(upstream, slots, &self.owners, owner);
        let mut places = vec![0; self.owners.len()];
        let mut claims: Vec<PlaceClaim> = Vec::new();
        let mut free = slots;
        for (index, owner) in self.owners.iter().enumerate() {
            if !self.reporting[index] {
                places[index] = even(owner);
                free = free.saturating_sub(places[index]);
                continue;
            }
            let demands = self.demands(owner).iter().zip(&pool[index]);
            let served = demands.filter(|(demand, _)| can_serve(now, state, demand));
            let needs = served.map(|(demand, pool)| {
                let parts = u64::from(demand.items) * PLACE_PARTS * u64::from(slots);
                parts / (*pool).max(1)
            });
            let needs: Vec<u64> = needs.collect();
            if !needs.is_empty() {
                claims.push(PlaceClaim {
                    owner: index,
                    need: needs.iter().sum(),
                    ideal: 0,
                    places: 0,
                });
            }
        }
        if claims.is_empty() {
            let owners = self.owners.iter();
            return owners.map(even).collect();
        }
        share_out(&mut claims, free, |claim| {
            let owner = &self.owners[claim.owner];
            rendezvous_score(&[upstream.as_str().as_bytes(), owner.as_str().as_bytes()])
        });
        for claim in claims {
            places[claim.owner] = claim.places;
        }
        places
    }
}

/// Moves the places of an engine towards the targets. An owner gets more only when others no longer hold it: requests in
/// progress are not stopped, and an engine queues what exceeds its slots.
fn settle(engine: &mut [OwnerPlaces], reporting: &[bool], slots: u32, sequence: u64) {
    for (own, is_reporting) in engine.iter_mut().zip(reporting) {
        if own.target < own.places || !is_reporting && own.target != own.places {
            (own.places, own.changed) = (own.target, sequence);
        }
        // The grants of an owner that does not report have ended.
        own.held = match is_reporting {
            true => own.held.max(own.places),
            false => own.places,
        };
    }
    let held: u32 = engine.iter().map(|own| own.held).sum();
    let mut free = slots.saturating_sub(held);
    while free > 0 {
        let missing = |own: &&mut OwnerPlaces| own.target.saturating_sub(own.places);
        let Some(own) = engine.iter_mut().max_by_key(missing) else {
            return;
        };
        if own.target <= own.places {
            return;
        }
        own.places += 1;
        own.changed = sequence;
        if own.places > own.held {
            own.held = own.places;
            free -= 1;
        }
    }
}

/// What one owner claims of an engine.
struct PlaceClaim {
    owner: usize,
    /// The part of the owner's demand that falls to the engine, in parts of a place.
    need: u64,
    /// The owner's share of the engine, in parts of a place.
    ideal: u64,
    places: u32,
}

/// Divides free places in proportion to the needs, or, if all needs can be met, so that each owner gets what it needs
/// and an equal part of the rest.
fn share_out(claims: &mut [PlaceClaim], free: u32, score: impl Fn(&PlaceClaim) -> u64) {
    let total = u64::from(free) * PLACE_PARTS;
    let need: u64 = claims.iter().map(|claim| claim.need).sum();
    let count = claims.len() as u64;
    let in_need = claims.iter().filter(|claim| claim.need > 0).count();
    let least = u32::from(in_need <= free as usize);
    for claim in claims.iter_mut() {
        claim.ideal = match need <= total {
            true => claim.need + (total - need) / count,
            false => (u128::from(total) * u128::from(claim.need) / u128::from(need)) as u64,
        };
        let whole = u32::try_from(claim.ideal / PLACE_PARTS).unwrap_or(u32::MAX);
        claim.places = whole.max(least.min(u32::from(claim.need > 0)));
    }
    let mut given: u32 = claims.iter().map(|claim| claim.places).sum();
    while given > free {
        let excess = |claim: &&mut PlaceClaim| {
            let places = u64::from(claim.places) * PLACE_PARTS;
            (claim.places > least, places as i64 - claim.ideal as i64)
        };
        let Some(claim) = claims.iter_mut().max_by_key(excess) else {
            return;
        };
        claim.places -= 1;
        given -= 1;
    }
    // Which owners get the rest is drawn by rendezvous, weighted by what each still misses. So an owner with a small
    // share gets its part of the places over all engines, and few places move when a share changes a little.
    while given < free {
        let order = |claim: &PlaceClaim| {
            let held = u64::from(claim.places) * PLACE_PARTS;
            let missing = claim.ideal.saturating_sub(held).max(1) as f64;
            let uniform = (score(claim) >> 11) as f64 / (1_u64 << 53) as f64;
            -uniform.max(f64::MIN_POSITIVE).ln() / missing
        };
        let first = claims
            .iter_mut()
            .min_by(|one, other| order(one).total_cmp(&order(other)));
        let Some(claim) = first else { return };
        claim.places += 1;
        given += 1;
    }
}

/// Returns whether an engine can serve a demand now.
fn can_serve(now: Moment, state: &UpstreamState, demand: &PlaceDemand) -> bool {
    state.version(&demand.model) >= Some(demand.least_version)
        && !state.is_loading(now, &demand.model)
}

/// Returns whether the difference between two numbers of items has no effect. The first and the last item always have.
fn is_similar(former: u32, items: u32) -> bool {
    let difference = former.abs_diff(items).saturating_mul(100);
    (former == 0) == (items == 0)
        && difference <= former.max(items).saturating_mul(EFFECTIVE_CHANGE_PERCENT)
}
