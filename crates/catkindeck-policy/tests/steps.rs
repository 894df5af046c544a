//! Bounds the allocations per decision.
//!
//! Guards against costs that grow with the size of the fleet or of the queue. The growth from 10 to
//! 10,000 entries is checked rather than the time, so that the result is the same on every machine.

#![allow(unsafe_code)]

mod common;

use {
    catkindeck::{
        Moment,
        config::UpstreamRecord,
        id::{BootId, IncarnationId},
        message::WorkClass,
    },
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, ExecutionSettings,
        ExecutionTable, FinishCause, RecordHistory, RouteQuery, RouterSettings, UpstreamRouter,
    },
    common::{execute, name, request},
    std::{
        alloc::{GlobalAlloc, Layout, System},
        cell::Cell,
    },
};

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// Counts allocations per thread, because tests run on several threads.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator; counting does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];

/// The number of decisions over which allocations are averaged.
const DECISIONS: u32 = 64;

/// Returns the mean number of allocations per decision, rounded up.
fn count(mut decide: impl FnMut(u32)) -> u64 {
    let before = ALLOCATIONS.get();
    (0..DECISIONS).for_each(&mut decide);
    (ALLOCATIONS.get() - before).div_ceil(u64::from(DECISIONS))
}

/// Asserts that a thousand times as many entries cost at most two more allocations, and that no
/// size costs more than `max_allocations`.
fn assert_independent_of_size(what: &str, max_allocations: u64, measure: impl Fn(u32) -> u64) {
    let counts = SIZES.map(&measure);
    println!("{what}: {counts:?} allocations at {SIZES:?} entries");
    assert!(
        counts[3] <= counts[0] + 2,
        "{what} grows with the size: {counts:?}"
    );
    assert!(
        counts.iter().all(|count| *count <= max_allocations),
        "{what}: {counts:?}"
    );
}

#[test]
fn a_route_costs_the_same_in_a_large_fleet() {
    assert_independent_of_size("route", 12, |size| {
        let upstreams: Vec<UpstreamRecord> = (0..size)
            .map(|number| UpstreamRecord {
                name: name(&format!("engine-{number:05}")),
                service: name("drafts"),
                zone: name("zone"),
                agent: ([127, 0, 0, 1], 9_000).into(),
                added_ms: 0,
                removed_ms: None,
            })
            .collect();
        let entries: Vec<_> = (0..size.div_ceil(10))
            .map(|number| name(&format!("entry-{number}")))
            .collect();
        let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry-0"), 1);
        router.set_members(&upstreams, &[], &entries);
        let service = name("drafts");
        count(|number| {
            let query = RouteQuery {
                service: &service,
                prefix: Some(u64::from(number)),
                excluded: &[],
            };
            let choice = router.route(Moment(0), &query).expect("all are available");
            router.record_sent(&choice.upstream);
            router.record_end(&choice.upstream);
        })
    });
}

fn admission(number: u32) -> AdmissionRequest {
    AdmissionRequest {
        request: request(number),
        customer: Some(name(&format!("customer-{}", number % 50))),
        class: WorkClass::Interactive,
        priority: 0,
        deadline: Moment(1_000_000),
        service_limit: 10,
        entry: None,
    }
}

#[test]
fn offer_and_poll_cost_the_same_with_a_long_queue() {
    assert_independent_of_size("offer, poll and finish", 16, |size| {
        let settings = AdmissionSettings {
            queue_limit: 20_000,
            ..AdmissionSettings::default()
        };
        let mut queue = AdmissionQueue::new(settings, Moment(0));
        for number in 0..size {
            queue
                .offer(Moment(0), admission(number))
                .expect("the limit is not reached");
        }
        let mut running = Vec::new();
        count(|number| {
            queue
                .offer(Moment(1), admission(size + number))
                .expect("the limit is not reached");
            for action in queue.poll(Moment(1)) {
                if let AdmissionAction::Start(id) = action {
                    running.push(id);
                }
            }
            if let Some(id) = running.pop() {
                queue.record_service(Moment(1), &id, 10);
                queue.finish(Moment(1), &id, FinishCause::Completed);
            }
        })
    });
}

#[test]
fn an_execution_costs_the_same_in_a_full_table() {
    assert_independent_of_size("begin, start and finish", 24, |size| {
        let incarnation = IncarnationId([1; 16]);
        let settings = ExecutionSettings::default();
        let mut table =
            ExecutionTable::new(settings, incarnation, Moment(0), RecordHistory::Complete);
        for number in 0..size {
            table
                .begin(Moment(0), &execute(number, None, 0, None))
                .expect("the limit is not reached");
        }
        let boot = BootId("boot".to_owned());
        count(|number| {
            let work = execute(size + number, Some(number as u8), 0, None);
            table
                .begin(Moment(1), &work)
                .expect("the limit is not reached");
            table.start(&work.request, &boot).expect("it is queued");
        })
    });
}
