//! One fair queue per class of work.

use {
    crate::{
        fair::{AccountKey, FairQueue, QueuePosition},
        request::AdmissionRequest,
    },
    catkindeck::{
        Moment,
        id::{ObjectName, RequestId},
        message::WorkClass,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// The classes in serving order.
pub(crate) const CLASSES: [WorkClass; 3] =
    [WorkClass::Interactive, WorkClass::Rollout, WorkClass::Batch];

#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedRequest {
    pub(crate) request: RequestId,
    pub(crate) class: WorkClass,
    pub(crate) account: AccountKey,
    pub(crate) deadline: Moment,
    pub(crate) service_limit: u64,
    order: QueuePosition,
}

/// One fair queue per class, with an index of deadlines.
#[derive(Debug, Clone)]
pub(crate) struct ClassQueues {
    queues: [FairQueue<RequestId>; CLASSES.len()],
    requests: BTreeMap<RequestId, QueuedRequest>,
    deadlines: BTreeSet<(WorkClass, Moment, RequestId)>,
    sequence: u64,
}

impl ClassQueues {
    pub(crate) fn new(idle_credit: u64) -> Self {
        Self {
            queues: CLASSES.map(|_| FairQueue::new(idle_credit)),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            sequence: 0,
        }
    }

    pub(crate) fn queue(&self, class: WorkClass) -> &FairQueue<RequestId> {
        &self.queues[class as usize]
    }

    pub(crate) fn queue_mut(&mut self, class: WorkClass) -> &mut FairQueue<RequestId> {
        &mut self.queues[class as usize]
    }

    pub(crate) fn configure(
        &mut self,
        idle_credit: u64,
        weight_of: impl Fn(&Option<ObjectName>) -> Option<u32>,
    ) {
        for queue in &mut self.queues {
            queue.set_idle_credit(idle_credit);
            queue.configure(&weight_of);
        }
    }

    pub(crate) fn push(&mut self, account: AccountKey, offered: &AdmissionRequest) {
        let AdmissionRequest {
            request,
            class,
            deadline,
            ..
        } = *offered;
        let order = (Reverse(offered.priority), self.sequence);
        self.sequence += 1;
        self.queue_mut(class).push(account, order, request);
        self.deadlines.insert((class, deadline, request));
        let queued = QueuedRequest {
            request,
            class,
            account,
            deadline,
            service_limit: offered.service_limit.max(1),
            order,
        };
        self.requests.insert(request, queued);
    }

    /// Removes a request by its ID.
    pub(crate) fn take(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let queued = self.requests.remove(request)?;
        self.queue_mut(queued.class)
            .remove(queued.account, queued.order);
        self.deadlines
            .remove(&(queued.class, queued.deadline, queued.request));
        Some(queued)
    }

    /// Removes the next request by class and fairness.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let next = self.queues.iter_mut().find_map(FairQueue::first)?;
        self.take(&next)
    }

    /// Returns the request of a class with the earliest deadline.
    pub(crate) fn earliest(&self, class: WorkClass) -> Option<(Moment, RequestId)> {
        let from = (class, Moment(0), RequestId::default());
        let (found, deadline, request) = self.deadlines.range(from..).next()?;
        (*found == class).then_some((*deadline, *request))
    }

    /// Returns the request to evict for a new one of `account`, if any may be evicted: the last
    /// request of the longest queue in the lowest class.
    pub(crate) fn eviction_candidate(
        &self,
        class: WorkClass,
        account: AccountKey,
    ) -> Option<RequestId> {
        let lowest_class = CLASSES
            .into_iter()
            .rev()
            .find(|other| !self.queue(*other).is_empty())?;
        if lowest_class < class {
            return None;
        }
        let (longest_queue, request) = self.queue(lowest_class).longest_queue()?;
        (lowest_class != class || longest_queue != account).then_some(request)
    }

    pub(crate) fn contains(&self, request: &RequestId) -> bool {
        self.requests.contains_key(request)
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.requests.keys()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
