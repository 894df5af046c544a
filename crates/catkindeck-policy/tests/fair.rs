//! Tests the shares of customers and classes in the admission queue.

mod common;

use {
    catkindeck::{Moment, message::WorkClass},
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, FinishCause,
        LimitSettings,
    },
    common::{name, request},
    std::collections::BTreeMap,
};

const SLOTS: u32 = 8;
const REQUEST_TOKENS: u64 = 100;

/// A queue for a warm upstream that takes one second for every request.
struct Fixture {
    now: Moment,
    queue: AdmissionQueue,
    running: Vec<(u32, Moment)>,
    owners: BTreeMap<u32, &'static str>,
    served: BTreeMap<&'static str, u64>,
    shed: Vec<&'static str>,
}

impl Fixture {
    fn new(queue_limit: usize) -> Self {
        let settings = AdmissionSettings {
            limit: LimitSettings {
                cold: SLOTS,
                warm: SLOTS,
                cold_start_ms: 1,
                adaptive: false,
            },
            queue_limit,
            idle_credit: 1_000,
            urgent_percent: 25,
            urgent_ms: 60_000,
        };
        Self {
            now: Moment(0),
            queue: AdmissionQueue::new(settings, Moment(0)),
            running: Vec::new(),
            owners: BTreeMap::new(),
            served: BTreeMap::new(),
            shed: Vec::new(),
        }
    }

    fn offer(&mut self, customer: &'static str, class: WorkClass, timeout_ms: u64) -> bool {
        let number = u32::try_from(self.owners.len()).expect("small");
        self.owners.insert(number, customer);
        let admission = AdmissionRequest {
            request: request(number),
            customer: Some(name(customer)),
            class,
            priority: 0,
            deadline: self.now + timeout_ms,
            service_limit: REQUEST_TOKENS,
            entry: None,
        };
        self.queue.offer(self.now, admission).is_ok()
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now = self.now + milliseconds;
        let now = self.now;
        for (number, started) in std::mem::take(&mut self.running) {
            if now.since(started) < 1_000 {
                self.running.push((number, started));
                continue;
            }
            self.queue
                .record_service(now, &request(number), REQUEST_TOKENS);
            self.queue
                .finish(now, &request(number), FinishCause::Completed);
            *self.served.entry(self.owners[&number]).or_default() += 1;
        }
        for action in self.queue.poll(now) {
            let (id, started) = match action {
                AdmissionAction::Start(id) => (id, true),
                AdmissionAction::Shed(id, _) => (id, false),
            };
            let number = u32::from_be_bytes(id.0[..4].try_into().expect("four bytes"));
            match started {
                true => self.running.push((number, now)),
                false => self.shed.push(self.owners[&number]),
            }
        }
    }

    fn served_requests(&self, customer: &str) -> u64 {
        self.served.get(customer).copied().unwrap_or(0)
    }
}

/// Guards against a training step that misses its deadline because callers occupy all slots.
#[test]
fn rollouts_near_their_deadline_get_their_share() {
    let mut fixture = Fixture::new(10_000);
    for _ in 0..400 {
        fixture.offer("editor", WorkClass::Interactive, 900_000);
        fixture.offer("trainer", WorkClass::Rollout, 59_000);
    }
    (0..200).for_each(|_| fixture.advance(100));
    let (trainer, editor) = (
        fixture.served_requests("trainer"),
        fixture.served_requests("editor"),
    );
    assert!(
        trainer * 100 >= 25 * (trainer + editor) - 200,
        "{trainer} of {}",
        trainer + editor
    );
    assert!(
        editor > 2 * trainer,
        "rollouts get no more than their guaranteed share"
    );
}

/// Guards against rollouts that take slots from callers long before their deadline.
#[test]
fn rollouts_far_from_their_deadline_wait_for_callers() {
    let mut fixture = Fixture::new(10_000);
    for _ in 0..400 {
        fixture.offer("trainer", WorkClass::Rollout, 600_000);
        fixture.offer("editor", WorkClass::Interactive, 900_000);
    }
    (0..200).for_each(|_| fixture.advance(100));
    assert_eq!(fixture.served_requests("trainer"), 0);
}

/// Guards against a customer that accumulates service while idle and then excludes the others.
#[test]
fn idling_earns_a_bounded_credit() {
    let mut fixture = Fixture::new(10_000);
    fixture.offer("idle", WorkClass::Interactive, 900_000);
    for _ in 0..2_000 {
        fixture.offer("busy", WorkClass::Interactive, 900_000);
    }
    (0..600).for_each(|_| fixture.advance(100));
    let before = (
        fixture.served_requests("idle"),
        fixture.served_requests("busy"),
    );
    for _ in 0..1_000 {
        fixture.offer("idle", WorkClass::Interactive, 900_000);
    }
    (0..100).for_each(|_| fixture.advance(100));
    let idle = fixture.served_requests("idle") - before.0;
    let busy = fixture.served_requests("busy") - before.1;
    // The credit is worth ten requests; beyond it the two share evenly.
    assert!(
        idle <= busy + 10 + u64::from(SLOTS),
        "{idle} against {busy}"
    );
    assert!(idle + u64::from(SLOTS) >= busy, "{idle} against {busy}");
}

/// Guards against a full queue that rejects other customers instead of the one that filled it.
#[test]
fn the_customer_with_the_longest_queue_is_evicted() {
    let mut fixture = Fixture::new(50);
    for _ in 0..60 {
        fixture.offer("flood", WorkClass::Interactive, 900_000);
    }
    fixture.advance(0);
    while fixture.offer("flood", WorkClass::Interactive, 900_000) {}
    assert!(fixture.offer("editor", WorkClass::Interactive, 900_000));
    fixture.advance(1);
    assert_eq!(fixture.shed, ["flood"]);
}

/// Guards against starting work whose caller gives up before it can finish.
#[test]
fn requests_that_cannot_end_in_time_are_refused_before_they_start() {
    let mut fixture = Fixture::new(50);
    fixture.offer("editor", WorkClass::Interactive, 900_000);
    (0..12).for_each(|_| fixture.advance(100));
    // A request takes one second, so one with 400 ms left is rejected immediately.
    assert!(!fixture.offer("editor", WorkClass::Interactive, 400));
    assert!(fixture.offer("editor", WorkClass::Interactive, 2_000));
}

/// Guards against rejecting short requests because most requests of their class are long.
#[test]
fn a_short_request_among_long_ones_is_not_refused() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default(), Moment(0));
    let mut now = Moment(0);
    let admission = |number: u32, deadline: Moment| AdmissionRequest {
        request: request(number),
        customer: None,
        class: WorkClass::Interactive,
        priority: 0,
        deadline,
        service_limit: 1,
        entry: None,
    };
    for number in 0..200 {
        queue
            .offer(now, admission(number, now + 60_000))
            .expect("there is no other request");
        assert_eq!(queue.poll(now), [AdmissionAction::Start(request(number))]);
        // One in five requests takes 50 ms, the others ten seconds.
        now = now + if number % 5 == 0 { 50 } else { 10_000 };
        queue.finish(now, &request(number), FinishCause::Completed);
    }
    assert!(queue.offer(now, admission(1_000, now + 1_000)).is_ok());
}
