//! Orders upstreams for one availability zone under its lease (`docs/design.md`, decisions 7 and 18).

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

/// An order as written to the store before it is sent.
#[message]
pub struct ZoneIntent {
    /// The order.
    pub order: ZoneOrder,
    /// Whether the order is known to have been applied, refused or replaced.
    pub settled: bool,
}

/// What one step of the controller did.
#[message]
pub enum ZoneStep {
    /// Nothing is to be done, or the lease is not held, or an order in doubt may be on its way.
    Waiting,
    /// A step was made and another may follow.
    Progress,
}

/// What a [`ZoneController`] needs from the process around it.
#[derive(Clone)]
pub struct ZoneParts {
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// The interface that takes orders.
    pub orders: Arc<dyn ZoneOrders>,
    /// The zone's lease.
    pub lease: Arc<dyn ControlLease>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The logger.
    pub logger: Logger,
}

/// Gives the orders of one zone, one outside call a step.
///
/// The intended order is in the store before it is sent. A holder that finds an order that is not
/// settled waits until it can no longer be on its way, reads the actual counts and settles it; only
/// then does it give an order of its own.
pub struct ZoneController {
    zone: ObjectName,
    parts: ZoneParts,
    /// The longest time that an order takes to arrive, in milliseconds.
    order_ms: u64,
    phase: ZonePhase,
    /// The number under which the phase was reached.
    fencing_token: u64,
}

#[derive(Clone)]
enum ZonePhase {
    Reading,
    /// The order in the store may be on its way until then.
    InDoubt(u64, ZoneIntent, Moment),
    /// The order is ready to be sent.
    Sending(u64, ZoneIntent),
    /// The order's outcome is known and has to be written.
    Settling(u64, ZoneIntent),
    /// No order is open.
    Settled(u64),
}

impl ZoneController {
    /// Makes a controller that starts by reading the intended order.
    pub fn new(zone: ObjectName, parts: ZoneParts, order_ms: u64) -> Self {
        Self {
            zone,
            parts,
            order_ms,
            phase: ZonePhase::Reading,
            fencing_token: 0,
        }
    }

    /// Reads the actual counts of the zone.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the interface cannot be reached in time.
    pub fn counts(&self) -> Result<Vec<ZoneCount>, ServiceError> {
        self.parts.orders.counts(&self.zone)
    }

    /// Tells whether no order is open.
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, ZonePhase::Settled(_))
    }

    /// Makes the next step toward `wanted`, the order that the scaler asks for now, if any.
    ///
    /// # Errors
    ///
    /// Returns the error of the outside call; the next step starts by reading again or goes on with
    /// the order in doubt.
    pub fn step(&mut self, wanted: Option<&ScaleOrder>) -> Result<ZoneStep, ServiceError> {
        let Ok(proof) = self.parts.lease.check() else {
            self.phase = ZonePhase::Reading;
            return Ok(ZoneStep::Waiting);
        };
        if proof.number != self.fencing_token {
            // A new number starts anew, also in the same process.
            self.fencing_token = proof.number;
            self.phase = ZonePhase::Reading;
        }
        match std::mem::replace(&mut self.phase, ZonePhase::Reading) {
            ZonePhase::Reading => self.read(),
            ZonePhase::InDoubt(version, intent, until) => self.resolve(version, intent, until),
            ZonePhase::Sending(version, intent) => self.send(version, intent),
            ZonePhase::Settling(version, intent) => self.settle(version, intent),
            ZonePhase::Settled(version) => match wanted {
                Some(wanted) => self.write_intent(version, wanted),
                None => {
                    self.phase = ZonePhase::Settled(version);
                    Ok(ZoneStep::Waiting)
                }
            },
        }
    }

    fn read(&mut self) -> Result<ZoneStep, ServiceError> {
        self.phase = match self.parts.store.read(&self.key())? {
            None => ZonePhase::Settled(0),
            Some(stored) => {
                let intent: ZoneIntent = parse(&stored.value)?;
                if intent.settled {
                    ZonePhase::Settled(stored.version)
                } else {
                    // The former holder's lease is over, but its last order may be on its way.
                    let until = self.parts.clock.now() + self.order_ms;
                    ZonePhase::InDoubt(stored.version, intent, until)
                }
            }
        };
        Ok(ZoneStep::Progress)
    }

    /// Writes the intended order before it is sent.
    fn write_intent(
        &mut self,
        version: u64,
        wanted: &ScaleOrder,
    ) -> Result<ZoneStep, ServiceError> {
        let intent = ZoneIntent {
            order: ZoneOrder {
                order_id: RequestId::random().to_string(),
                service: wanted.service.clone(),
                count: wanted.count,
                fence: self.fencing_token,
            },
            settled: false,
        };
        if let SwapOutcome::Written(version) = self.write(version, &intent)? {
            self.phase = ZonePhase::Sending(version, intent);
        }
        Ok(ZoneStep::Progress)
    }

    fn send(&mut self, version: u64, intent: ZoneIntent) -> Result<ZoneStep, ServiceError> {
        // The last look at the lease; its remaining time bounds how long the order may travel.
        let proof = self.parts.lease.check()?;
        if proof.number != intent.order.fence {
            return Ok(ZoneStep::Progress);
        }
        let timeout = Duration::from_millis(proof.remaining_ms.min(self.order_ms));
        let sent = self.parts.orders.order(&self.zone, &intent.order, timeout);
        match sent {
            Ok(()) => {
                log_event!(self.parts.logger, events::ZONE_ORDERED;
                    "zone" => %self.zone, "service" => %intent.order.service,
                    "count" => intent.order.count, "fence" => intent.order.fence);
                self.phase = ZonePhase::Settling(version, intent);
                Ok(ZoneStep::Progress)
            }
            Err(error) => {
                log_event!(self.parts.logger, events::ZONE_ORDER_FAILED;
                    "zone" => %self.zone, "service" => %intent.order.service,
                    "detail" => &error.detail);
                self.phase = if error.execution == ExecutionOutcome::NotRun {
                    ZonePhase::Settling(version, intent)
                } else {
                    let until = self.parts.clock.now() + self.order_ms;
                    ZonePhase::InDoubt(version, intent, until)
                };
                Err(error)
            }
        }
    }

    /// Settles an order in doubt when it can no longer be on its way.
    fn resolve(
        &mut self,
        version: u64,
        intent: ZoneIntent,
        until: Moment,
    ) -> Result<ZoneStep, ServiceError> {
        if self.parts.clock.now() < until {
            self.phase = ZonePhase::InDoubt(version, intent, until);
            return Ok(ZoneStep::Waiting);
        }
        self.phase = ZonePhase::InDoubt(version, intent.clone(), until);
        let counts = self.parts.orders.counts(&self.zone)?;
        let applied = counts.iter().any(|count| {
            count.service == intent.order.service && count.ordered == intent.order.count
        });
        log_event!(self.parts.logger, events::ZONE_RESOLVED;
            "zone" => %self.zone, "service" => %intent.order.service,
            "count" => intent.order.count, "applied" => applied);
        // Either way the scaler goes on from the actual counts.
        self.phase = ZonePhase::Settling(version, intent);
        Ok(ZoneStep::Progress)
    }

    fn settle(&mut self, version: u64, mut intent: ZoneIntent) -> Result<ZoneStep, ServiceError> {
        intent.settled = true;
        if let SwapOutcome::Written(version) = self.write(version, &intent)? {
            self.phase = ZonePhase::Settled(version);
        }
        Ok(ZoneStep::Progress)
    }

    fn write(&self, version: u64, intent: &ZoneIntent) -> Result<SwapOutcome, ServiceError> {
        self.parts.lease.check()?;
        let bytes = serde_json::to_vec(intent)
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        self.parts.store.swap(&self.key(), version, &bytes)
    }

    fn key(&self) -> String {
        format!("zone/{}/intent", self.zone)
    }
}

fn parse(bytes: &[u8]) -> Result<ZoneIntent, ServiceError> {
    serde_json::from_slice(bytes).map_err(|error| {
        let detail = format!("the stored order is malformed: {error}");
        ServiceError::not_run(ErrorKind::Internal, detail)
    })
}
