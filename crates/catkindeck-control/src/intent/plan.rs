//! Plans, which show the effects of an update and are confirmed by an operator.

use {
    super::{
        capacity::{CapacityVerdict, LoadView, ServiceCapacity, assess_capacity},
        diff::{ChangeAction, IntentChange, ObjectKind, compare},
    },
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot, ZoneState},
        message,
    },
    std::{fmt, str::FromStr},
};

/// Identifies a plan by its base revision and a digest of the resulting configuration.
///
/// The same update of the same base always has the same ID. A repeated application is therefore
/// recognized, and any entry can determine the outcome of a plan from the stored configuration
/// alone.
#[message]
#[serde(try_from = "String", into = "String")]
pub struct PlanId {
    /// The revision that the plan changes.
    pub base: ConfigRevision,
    digest: [u8; 32],
}

impl PlanId {
    /// Returns the ID of the plan that changes revision `base` to the content of `target`.
    ///
    /// The times of upstreams and removed upstreams are excluded, because updates do not contain
    /// them.
    pub fn derive(base: ConfigRevision, target: &ConfigSnapshot) -> Self {
        let mut content = target.clone();
        content.revision = ConfigRevision(0);
        content
            .upstreams
            .retain(|record| record.removed_ms.is_none());
        for upstream in &mut content.upstreams {
            upstream.added_ms = 0;
        }
        content.sort();
        let mut hasher = blake3::Hasher::new_derive_key("catkindeck intent plan v1");
        hasher.update(&base.0.to_le_bytes());
        serde_json::to_writer(&mut hasher, &content)
            .expect("a snapshot has no map keys or values that JSON cannot hold");
        Self {
            base,
            digest: *hasher.finalize().as_bytes(),
        }
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hash = blake3::Hash::from_bytes(self.digest);
        write!(formatter, "{}-{}", self.base.0, hash.to_hex())
    }
}

impl FromStr for PlanId {
    type Err = ServiceError;

    fn from_str(text: &str) -> Result<Self, ServiceError> {
        let invalid = || {
            let detail = format!(
                "invalid plan ID `{text}`: expected `REVISION-DIGEST` with a digest of 64 \
                 hexadecimal digits"
            );
            ServiceError::not_run(ErrorKind::BadRequest, detail)
        };
        let (base, digest) = text.split_once('-').ok_or_else(invalid)?;
        let hash = blake3::Hash::from_hex(digest).map_err(|_| invalid())?;
        Ok(Self {
            base: ConfigRevision(base.parse().map_err(|_| invalid())?),
            digest: *hash.as_bytes(),
        })
    }
}

impl TryFrom<String> for PlanId {
    type Error = ServiceError;

    fn try_from(text: String) -> Result<Self, ServiceError> {
        text.parse()
    }
}

impl From<PlanId> for String {
    fn from(id: PlanId) -> Self {
        id.to_string()
    }
}

/// The effects of an update.
#[message]
pub struct IntentPlan {
    /// The ID with which the operator confirms the plan.
    pub id: PlanId,
    /// The changes; empty if the configuration already matches the update.
    pub changes: Vec<IntentChange>,
    /// The effect on each service.
    pub capacity: Vec<ServiceCapacity>,
    /// The number of upstreams that run now.
    pub running_before: u32,
    /// The maximum number of upstreams that run during the change.
    pub running_peak: u32,
    /// The number of upstreams that run after the change.
    pub running_after: u32,
    /// Warnings that are shown to the operator before confirmation.
    pub warnings: Vec<String>,
}

impl IntentPlan {
    /// Returns the services that the plan leaves without enough upstreams.
    pub fn services_with_shortfall(&self) -> Vec<&ServiceCapacity> {
        let short =
            |capacity: &&ServiceCapacity| matches!(capacity.verdict, CapacityVerdict::Short { .. });
        self.capacity.iter().filter(short).collect()
    }
}

/// Plans the change from the current to the declared configuration, given the observed load.
pub fn plan(current: &ConfigSnapshot, declared: &ConfigSnapshot, view: &LoadView) -> IntentPlan {
    let capacity: Vec<ServiceCapacity> = declared
        .services
        .iter()
        .map(|service| assess_capacity(service, declared, view))
        .collect();
    let sum = |count_of: fn(&ServiceCapacity) -> u32| {
        capacity.iter().fold(0, |sum: u32, capacity| {
            sum.saturating_add(count_of(capacity))
        })
    };
    let changes = compare(current, declared);
    IntentPlan {
        id: PlanId::derive(current.revision, declared),
        warnings: warnings(declared, &changes, &capacity),
        changes,
        running_before: sum(|capacity| capacity.running_before),
        running_peak: sum(|capacity| capacity.running_peak),
        running_after: sum(|capacity| capacity.running_after),
        capacity,
    }
}

fn warnings(
    declared: &ConfigSnapshot,
    changes: &[IntentChange],
    capacity: &[ServiceCapacity],
) -> Vec<String> {
    let mut warnings = Vec::new();
    if changes.is_empty() {
        return warnings;
    }
    for capacity in capacity {
        let service = &capacity.service;
        let has_member = declared.upstreams.iter().any(|upstream| {
            let zone = declared.zone(&upstream.zone);
            upstream.removed_ms.is_none()
                && upstream.service == *service
                && zone.is_some_and(|zone| zone.state == ZoneState::In)
        });
        if !has_member {
            warnings.push(format!(
                "service {service} has no upstream in a zone whose state is `in`"
            ));
            continue;
        }
        match &capacity.verdict {
            CapacityVerdict::Short { lacking } => warnings.push(format!(
                "service {service} needs {lacking} more upstreams for its load of {} requests",
                capacity.demand
            )),
            CapacityVerdict::Unknown => warnings.push(format!(
                "the load of service {service} is unknown, so its capacity is not checked"
            )),
            CapacityVerdict::Bears | CapacityVerdict::BearsAfter { .. } => {}
        }
    }
    let keys = |action: ChangeAction| {
        let changed = changes
            .iter()
            .filter(|change| change.kind == ObjectKind::Key && change.action == action);
        let names: Vec<&str> = changed.map(|change| change.name.as_str()).collect();
        names.join(", ")
    };
    let (removed, added) = (keys(ChangeAction::Remove), keys(ChangeAction::Add));
    if !removed.is_empty() {
        warnings.push(format!(
            "these keys stop working within seconds and their open streams end: {removed}"
        ));
    }
    if !added.is_empty() {
        warnings.push(format!(
            "these keys start working; set `revoked = true` for any that was revoked by command: \
             {added}"
        ));
    }
    warnings
}
