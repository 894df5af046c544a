//! Operator intent: declarations, plans and their application.
//!
//! A statement of intent is either a set of TOML declarations or a single amendment. A plan shows
//! what the statement changes. Its id binds the result to the revision from which it starts, and
//! only exactly that plan can be applied (`docs/design.md`, section 8).

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
