//! Reads of operators' intents and of the list of upstreams.

use {
    crate::{
        core::GatewayCore,
        events::{
            CONFIG_IN_USE, INTENT_FAULT, STORE_LOST, STORE_REGAINED, UPSTREAM_APPEARED,
            UPSTREAM_DRAINING, UPSTREAM_GONE, ZONES_CHANGED,
        },
    },
    catkindeck::{ServiceError, log_event},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// The time from one read to the next. Changes must be in force two seconds after they were
/// acknowledged, so a read may be lost and repeated within that time.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time to the next read after one that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the view of intents and the roster up to date.
pub struct StoreFollower {
    core: Rc<GatewayCore>,
    is_lost: Cell<bool>,
}

impl StoreFollower {
    /// Starts both reads.
    pub fn start(core: &Rc<GatewayCore>) {
        let follower = Rc::new(Self {
            core: Rc::clone(core),
            is_lost: Cell::new(false),
        });
        tokio::task::spawn_local(Rc::clone(&follower).follow_intents());
        tokio::task::spawn_local(follower.follow_upstreams());
    }

    async fn follow_intents(self: Rc<Self>) {
        loop {
            let started = Instant::now();
            let outcome = self.read_intents().await;
            let next = started + self.settle(outcome);
            tokio::select! {
                () = sleep_until(next) => {}
                // Another part of the process heard of a change.
                () = self.core.intent_changed.notified() => {}
            }
        }
    }

    async fn follow_upstreams(self: Rc<Self>) {
        loop {
            let started = Instant::now();
            let outcome = self.read_upstreams().await;
            sleep_until(started + self.settle(outcome)).await;
        }
    }

    async fn read_intents(&self) -> Result<(), ServiceError> {
        let core = &self.core;
        let decoder = Rc::clone(&core.ports.intents);
        let sent = core.now();
        let listing = core.ports.store.list(decoder.intent_prefix()).await?;
        let known = core.intent.borrow().store_revision();
        let mut intent = decoder.decode_intent(&listing.items, known);
        for fault in std::mem::take(&mut intent.faults) {
            log_event!(core.logger, INTENT_FAULT; "detail" => fault);
        }
        let changes = core.intent.borrow_mut().apply(intent);
        core.freshness.borrow_mut().prove(sent);
        let view = core.intent.borrow();
        if changes.config {
            log_event!(core.logger, CONFIG_IN_USE;
                "revision" => view.config().revision.0,
                "routes" => view.config().routes.len(),
                "customers" => view.config().customers.len(),
                "read_ms" => core.now().since(sent));
        }
        if changes.zones {
            let mut roster = core.roster.borrow_mut();
            roster.set_closed_zones(view.closed_zones().to_vec());
            log_event!(core.logger, ZONES_CHANGED; "out" => format!("{:?}", view.closed_zones()));
        }
        if changes.any() {
            core.capacity.notify_one();
        }
        Ok(())
    }

    async fn read_upstreams(&self) -> Result<(), ServiceError> {
        let core = &self.core;
        let decoder = Rc::clone(&core.ports.intents);
        let sent = core.now();
        let listing = core.ports.store.list(decoder.upstream_prefix()).await?;
        let (list, faults) = decoder.decode_upstreams(&listing.items);
        for fault in faults {
            log_event!(core.logger, INTENT_FAULT; "detail" => fault);
        }
        let mut roster = core.roster.borrow_mut();
        let changes = roster.apply(sent, list);
        for key in &changes.appeared {
            let record = &roster.get(*key).record;
            log_event!(core.logger, UPSTREAM_APPEARED;
                "upstream" => %record.id, "service" => %record.service, "zone" => %record.zone,
                "cold_ms" => record.cold_ms, "born_ms" => record.born_ms);
        }
        for key in &changes.draining {
            let id = &roster.get(*key).record.id;
            log_event!(core.logger, UPSTREAM_DRAINING; "upstream" => %id);
        }
        for key in &changes.gone {
            let record = &roster.get(*key).record;
            core.upstream_client.close(record.address);
            log_event!(core.logger, UPSTREAM_GONE; "upstream" => %record.id);
        }
        drop(roster);
        core.capacity.notify_one();
        Ok(())
    }

    /// Notes whether the store answers and returns the time to the next read.
    fn settle(&self, outcome: Result<(), ServiceError>) -> Duration {
        match outcome {
            Ok(()) => {
                if self.is_lost.replace(false) {
                    log_event!(self.core.logger, STORE_REGAINED);
                }
                READ_INTERVAL
            }
            Err(error) => {
                if !self.is_lost.replace(true) {
                    log_event!(self.core.logger, STORE_LOST; "detail" => error.detail);
                }
                RETRY_INTERVAL
            }
        }
    }
}
