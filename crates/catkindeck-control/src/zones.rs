//! Orders numbers of upstreams for one availability zone under its lease (`docs/design.md`,
//! decisions 7 and 18).

use {
    crate::{authority::ControlLease, events},
    catkindeck::{
        Clock, ErrorKind, ExecutionOutcome, Moment, ServiceError,
        id::{ObjectName, RequestId},
        log_event, message,
        platform::{StoreClient, SwapOutcome, ZoneCount, ZoneOrder, ZoneOrders},
    },
    catkindeck_policy::ScaleOrder,
    slog::Logger,
    std::{sync::Arc, time::Duration},
};

/// An order, which is stored before it is sent.
#[message]
pub struct PendingOrder {
    pub order: ZoneOrder,
    /// Whether the order is no longer in flight, because it was applied, refused or lost.
    pub settled: bool,
}

/// The outcome of one step of the controller.
#[message]
pub enum ZoneStepOutcome {
    /// There is nothing to do, the lease is not held, or an order of unknown outcome may still be
    /// in flight.
    Waiting,
    /// A step was made, and another one may follow immediately.
    Progress,
}

/// The dependencies of a [`ZoneController`].
#[derive(Clone)]
pub struct ZoneParts {
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// The interface that accepts orders.
    pub orders: Arc<dyn ZoneOrders>,
    pub lease: Arc<dyn ControlLease>,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
}

/// Sends the orders of one zone. Each step makes one external call.
///
/// An order is stored before it is sent. A lease holder that finds an unsettled order waits until
/// the order can no longer be in flight, then reads the counts of the zone and marks the order as
/// settled. Only then does it send an order of its own.
pub struct ZoneController {
    zone: ObjectName,
    parts: ZoneParts,
    /// The maximum time for which an order can be in flight, in milliseconds.
    order_ms: u64,
    phase: ZonePhase,
    /// The fencing token under which the phase was reached.
    fencing_token: u64,
}

#[derive(Clone)]
enum ZonePhase {
    Reading,
    /// The outcome of the stored order is unknown, and it may be in flight until the given moment.
    InDoubt(u64, PendingOrder, Moment),
    /// The order is stored but not sent yet.
    Sending(u64, PendingOrder),
    /// The order is settled, which is not stored yet.
    Settling(u64, PendingOrder),
    /// No order is open.
    Settled(u64),
}

impl ZoneController {
    /// Creates a controller, whose first step reads the stored order.
    pub fn new(zone: ObjectName, parts: ZoneParts, order_ms: u64) -> Self {
        Self {
            zone,
            parts,
            order_ms,
            phase: ZonePhase::Reading,
            fencing_token: 0,
        }
    }

    /// Reads the numbers of ordered and running upstreams of the zone.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the interface cannot be reached in time.
    pub fn counts(&self) -> Result<Vec<ZoneCount>, ServiceError> {
        self.parts.orders.counts(&self.zone)
    }

    /// Returns whether no order is open.
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, ZonePhase::Settled(_))
    }

    /// Makes the next step towards `wanted`, which is the order that the scaler currently requests,
    /// if any.
    ///
    /// # Errors
    ///
    /// Returns the error of the external call. The next step then reads the stored order again or
    /// continues to settle it.
    pub fn step(&mut self, wanted: Option<&ScaleOrder>) -> Result<ZoneStepOutcome, ServiceError> {
        let Ok(proof) = self.parts.lease.check() else {
            self.phase = ZonePhase::Reading;
            return Ok(ZoneStepOutcome::Waiting);
        };
        if proof.number != self.fencing_token {
            // Under a new fencing token, the stored order must be read again, even by the same
            // process.
            self.fencing_token = proof.number;
            self.phase = ZonePhase::Reading;
        }
        match std::mem::replace(&mut self.phase, ZonePhase::Reading) {
            ZonePhase::Reading => self.read(),
            ZonePhase::InDoubt(version, pending, until) => {
                self.resolve_in_doubt(version, pending, until)
            }
            ZonePhase::Sending(version, pending) => self.send(version, pending),
            ZonePhase::Settling(version, pending) => self.settle(version, pending),
            ZonePhase::Settled(version) => match wanted {
                Some(wanted) => self.write_pending(version, wanted),
                None => {
                    self.phase = ZonePhase::Settled(version);
                    Ok(ZoneStepOutcome::Waiting)
                }
            },
        }
    }

    fn read(&mut self) -> Result<ZoneStepOutcome, ServiceError> {
        self.phase = match self.parts.store.read(&self.key())? {
            None => ZonePhase::Settled(0),
            Some(stored) => {
                let pending: PendingOrder = parse(&stored.value)?;
                if pending.settled {
                    ZonePhase::Settled(stored.version)
                } else {
                    // The lease of the former holder has ended, but its last order may still be in
                    // flight.
                    let until = self.parts.clock.now() + self.order_ms;
                    ZonePhase::InDoubt(stored.version, pending, until)
                }
            }
        };
        Ok(ZoneStepOutcome::Progress)
    }

    /// Stores the order before it is sent.
    fn write_pending(
        &mut self,
        version: u64,
        wanted: &ScaleOrder,
    ) -> Result<ZoneStepOutcome, ServiceError> {
        let pending = PendingOrder {
            order: ZoneOrder {
                order_id: RequestId::random().to_string(),
                service: wanted.service.clone(),
                count: wanted.count,
                fence: self.fencing_token,
            },
            settled: false,
        };
        if let SwapOutcome::Written(version) = self.write(version, &pending)? {
            self.phase = ZonePhase::Sending(version, pending);
        }
        Ok(ZoneStepOutcome::Progress)
    }

    fn send(
        &mut self,
        version: u64,
        pending: PendingOrder,
    ) -> Result<ZoneStepOutcome, ServiceError> {
        // The lease is checked immediately before sending. Its remaining time limits how long the
        // order can be in flight.
        let proof = self.parts.lease.check()?;
        if proof.number != pending.order.fence {
            return Ok(ZoneStepOutcome::Progress);
        }
        let timeout = Duration::from_millis(proof.remaining_ms.min(self.order_ms));
        let sent = self.parts.orders.order(&self.zone, &pending.order, timeout);
        match sent {
            Ok(()) => {
                log_event!(self.parts.logger, events::ZONE_ORDERED;
                    "zone" => %self.zone, "service" => %pending.order.service,
                    "count" => pending.order.count, "fence" => pending.order.fence);
                self.phase = ZonePhase::Settling(version, pending);
                Ok(ZoneStepOutcome::Progress)
            }
            Err(error) => {
                log_event!(self.parts.logger, events::ZONE_ORDER_FAILED;
                    "zone" => %self.zone, "service" => %pending.order.service,
                    "detail" => &error.detail);
                self.phase = if error.execution == ExecutionOutcome::NotRun {
                    ZonePhase::Settling(version, pending)
                } else {
                    let until = self.parts.clock.now() + self.order_ms;
                    ZonePhase::InDoubt(version, pending, until)
                };
                Err(error)
            }
        }
    }

    /// Settles an order of unknown outcome once it can no longer be in flight.
    fn resolve_in_doubt(
        &mut self,
        version: u64,
        pending: PendingOrder,
        until: Moment,
    ) -> Result<ZoneStepOutcome, ServiceError> {
        if self.parts.clock.now() < until {
            self.phase = ZonePhase::InDoubt(version, pending, until);
            return Ok(ZoneStepOutcome::Waiting);
        }
        self.phase = ZonePhase::InDoubt(version, pending.clone(), until);
        let counts = self.parts.orders.counts(&self.zone)?;
        let applied = counts.iter().any(|count| {
            count.service == pending.order.service && count.ordered == pending.order.count
        });
        log_event!(self.parts.logger, events::ZONE_RESOLVED;
            "zone" => %self.zone, "service" => %pending.order.service,
            "count" => pending.order.count, "applied" => applied);
        // Whether it was applied or not, the scaler continues from the actual counts.
        self.phase = ZonePhase::Settling(version, pending);
        Ok(ZoneStepOutcome::Progress)
    }

    fn settle(
        &mut self,
        version: u64,
        mut pending: PendingOrder,
    ) -> Result<ZoneStepOutcome, ServiceError> {
        pending.settled = true;
        if let SwapOutcome::Written(version) = self.write(version, &pending)? {
            self.phase = ZonePhase::Settled(version);
        }
        Ok(ZoneStepOutcome::Progress)
    }

    fn write(&self, version: u64, pending: &PendingOrder) -> Result<SwapOutcome, ServiceError> {
        self.parts.lease.check()?;
        let bytes = serde_json::to_vec(pending)
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        self.parts.store.swap(&self.key(), version, &bytes)
    }

    fn key(&self) -> String {
        format!("zone/{}/intent", self.zone)
    }
}

fn parse(bytes: &[u8]) -> Result<PendingOrder, ServiceError> {
    serde_json::from_slice(bytes).map_err(|error| {
        let detail = format!("the stored order is malformed: {error}");
        ServiceError::not_run(ErrorKind::Internal, detail)
    })
}
