//! The owner of each trainer's jobs, for the load of several trainers whose steps one process cannot hold
//! (`docs/design/ownership.md`).

use {
    super::selection::rendezvous_score,
    catkindeck::{SortedMap, id::ObjectName},
};

/// The owners of the models of one service.
///
/// The versions of a model come from one trainer, so its model identifies a trainer to all processes: they read
/// the models from the configuration, while only owners see which customers and routes submit jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerAssignment {
    owners: SortedMap<ObjectName, ObjectName>,
}

impl OwnerAssignment {
    /// Assigns each model to one of the hosts. All processes with the same arguments make the same choice,
    /// whatever their order.
    ///
    /// No host gets more than its share rounded up, because few models would often have the same best host. Pairs
    /// of a model and a host are taken in the order of their scores. A pair that is taken early stays when a host
    /// comes or goes, so few models move.
    pub fn new(service: &ObjectName, models: &[ObjectName], hosts: &[ObjectName]) -> Self {
        let mut pairs: Vec<(u64, &ObjectName, &ObjectName)> = Vec::new();
        for model in models {
            pairs.extend(hosts.iter().map(|host| {
                let parts = [service, model, host].map(|name| name.as_str().as_bytes());
                (rendezvous_score(&parts), model, host)
            }));
        }
        pairs.sort_unstable_by(|one, other| other.cmp(one));
        let most = models.len().div_ceil(hosts.len().max(1));
        let mut owners: SortedMap<ObjectName, ObjectName> = SortedMap::new();
        let mut counts: SortedMap<&ObjectName, usize> = SortedMap::new();
        for (_, model, host) in pairs {
            let count = counts.get_or_insert_with(host, || 0);
            if *count < most && !owners.contains_key(model) {
                *count += 1;
                owners.insert(model.clone(), host.clone());
            }
        }
        Self { owners }
    }

    /// Returns the host that owns the jobs of a model; `None` if the model is unknown or there is no host.
    pub fn owner(&self, model: &ObjectName) -> Option<&ObjectName> {
        self.owners.get(model)
    }
}
