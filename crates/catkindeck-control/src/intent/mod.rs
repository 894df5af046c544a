//! Operator intent: declarations, plans and their application.
//!
//! An operator submits an update: either a set of TOML declarations or a patch of one object. A
//! plan shows what the update changes. Its ID identifies the base revision and the resulting
//! configuration, and an update is applied only if it still results in the confirmed plan
//! (`docs/design.md`, section 8).

mod admin;
mod announce;
mod apply;
mod capacity;
mod check;
mod convert;
mod declared;
mod diff;
mod load;
mod plan;
mod ports;
mod raw;
mod update;

pub use {
    admin::{AdminRequest, AdminResponse, ApplyRequest, IntentAdmin, IntentStatus, KeyStatus},
    announce::{IntentAnnouncer, OrderAnnouncer},
    apply::{ApplyOutcome, IntentApplier},
    capacity::{
        CapacityVerdict, LoadView, PlannedStarts, ServiceCapacity, ServiceLoad, assess_capacity,
    },
    declared::{DeclarationFile, DeclaredIntent, DeclaredKey, DeclaredUpstream, DeclaredZone},
    diff::{ChangeAction, FieldChange, IntentChange, ObjectKind, compare},
    load::AgentLoadSource,
    plan::{IntentPlan, PlanId, plan},
    ports::{CommitOutcome, ConfigStore, LoadSource, PropagationState},
    raw::RawIntent,
    update::{DeclarationText, IntentPatch, IntentUpdate, check_declarations},
};
