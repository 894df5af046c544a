//! The subcommands `plan`, `apply`, `status` and `zone`.

use {
    crate::{
        admin_client::AdminClient,
        arguments::{ApplyArguments, PlanArguments, StatusArguments, ZoneArguments},
        confirm::{
            ConfirmOptions, PlanMode, apply_amendment, apply_plan, plan_and_apply, report_outcome,
        },
        files::read_declarations,
        output::{CommandContext, CommandReport, align_columns},
    },
    catkindeck::{ErrorKind, ServiceError, config::ZoneState, id::ObjectName},
    catkindeck_control::intent::{
        ApplyOutcome, CapacityVerdict, IntentPatch, IntentPlan, IntentStatus, IntentUpdate, PlanId,
        ServiceCapacity, check_declarations,
    },
    std::path::PathBuf,
};

/// Runs the subcommand `plan`.
pub fn plan(
    context: &CommandContext,
    arguments: &PlanArguments,
) -> Result<CommandReport, ServiceError> {
    let statement = read_statement(&arguments.paths)?;
    let plan: IntentPlan = AdminClient::open(context)?.post("/v1/intent/plan", &statement)?;
    let paths: Vec<String> = arguments
        .paths
        .iter()
        .map(|path| path.display().to_string())
        .collect();
    let mut text = describe_plan(&plan);
    if !plan.changes.is_empty() {
        let confirm = format!("catkindeck apply --plan {} {}", plan.id, paths.join(" "));
        text.push_str(&format!("\nConfirm with:\n  {confirm}"));
    }
    CommandReport::success(text, &plan)
}

/// Runs the subcommand `apply`.
pub fn apply(
    context: &CommandContext,
    arguments: &ApplyArguments,
) -> Result<CommandReport, ServiceError> {
    let statement = read_statement(&arguments.paths)?;
    let options = ConfirmOptions {
        yes: arguments.yes,
        accept_shortfall: arguments.accept_shortfall,
        wait_ms: arguments.wait_ms,
    };
    match &arguments.plan {
        Some(id) => {
            let id: PlanId = id.parse()?;
            apply_plan(&AdminClient::open(context)?, statement, id, options)
        }
        None => plan_and_apply(context, statement, options),
    }
}

/// Runs the subcommand `status`, which shows the active configuration or a plan's outcome.
pub fn status(
    context: &CommandContext,
    arguments: &StatusArguments,
) -> Result<CommandReport, ServiceError> {
    let client = AdminClient::open(context)?;
    if let Some(id) = &arguments.outcome {
        let id: PlanId = id.parse()?;
        let outcome: ApplyOutcome = client.get(&format!("/v1/intent/outcome/{id}"))?;
        return report_outcome(&outcome);
    }
    let status: IntentStatus = client.get("/v1/intent/status")?;
    CommandReport::success(describe_status(&status), &status)
}

/// Runs the subcommand `zone`, which takes a zone out or brings it back in.
pub fn zone(
    context: &CommandContext,
    arguments: &ZoneArguments,
) -> Result<CommandReport, ServiceError> {
    let state = match arguments.state.as_str() {
        "out" => ZoneState::Out,
        "in" => ZoneState::In,
        other => {
            let detail = format!("expected `out` or `in`, got `{other}`");
            return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
        }
    };
    let zone = ObjectName::try_from(arguments.zone.as_str())?;
    let amendment = IntentPatch::SetZone { zone, state };
    let mode = PlanMode::new(arguments.dry_run, arguments.plan.as_deref());
    let options = ConfirmOptions {
        yes: arguments.yes,
        accept_shortfall: arguments.accept_shortfall,
        wait_ms: arguments.wait_ms,
    };
    let reminder = format!(
        "If the declarations give zone {} a `state`, set it to \"{}\" as well.",
        arguments.zone, arguments.state
    );
    apply_amendment(context, amendment, mode, options, &reminder)
}

/// Reads and checks declarations, so that errors are reported without a call to an entry.
fn read_statement(paths: &[PathBuf]) -> Result<IntentUpdate, ServiceError> {
    let texts = read_declarations(paths)?;
    check_declarations(&texts)?;
    Ok(IntentUpdate::Declarations(texts))
}

/// Formats a plan as text.
pub fn describe_plan(plan: &IntentPlan) -> String {
    if plan.changes.is_empty() {
        return format!(
            "Revision {} already matches the request; there is nothing to change.",
            plan.id.base.0
        );
    }
    let mut lines = vec![format!("Plan {} on revision {}:", plan.id, plan.id.base.0)];
    lines.extend(plan.changes.iter().map(|change| format!("  {change}")));
    lines.push(format!(
        "Running upstreams: {} now, at most {} during the change, {} afterwards.",
        plan.running_before, plan.running_peak, plan.running_after
    ));
    lines.extend(plan.capacity.iter().map(describe_capacity));
    lines.extend(
        plan.warnings
            .iter()
            .map(|warning| format!("Warning: {warning}.")),
    );
    lines.join("\n")
}

fn describe_capacity(capacity: &ServiceCapacity) -> String {
    let service = &capacity.service;
    let starts: Vec<String> = capacity
        .start_first
        .iter()
        .map(|order| format!("{} in {}", order.count, order.zone))
        .collect();
    let start_text = match starts.is_empty() {
        true => String::new(),
        false => format!("; before the change, start {}", starts.join(", ")),
    };
    let demand = capacity.demand;
    match &capacity.verdict {
        CapacityVerdict::Bears => {
            format!(
                "Service {service}: the remaining zones can handle its load of {demand} running and \
                 queued requests."
            )
        }
        CapacityVerdict::BearsAfter {
            wait_ms,
            meanwhile_percent,
        } => format!(
            "Service {service}: the remaining zones can handle its load of {demand} running and \
             queued requests after a cold start of {} s, and {meanwhile_percent} % of it until \
             then{start_text}.",
            wait_ms.div_ceil(1000)
        ),
        CapacityVerdict::Short { lacking } => format!(
            "Service {service}: the remaining zones can NOT handle its load of {demand} running and \
             queued requests, {lacking} more upstreams are needed{start_text}."
        ),
        CapacityVerdict::Unknown => format!("Service {service}: its load is unknown."),
    }
}

fn describe_status(status: &IntentStatus) -> String {
    let propagation = match &status.spread {
        Some(spread) if spread.is_complete() => "in force everywhere".to_owned(),
        Some(spread) => format!("{} nodes have not confirmed it", spread.waiting),
        None => "propagation status unknown".to_owned(),
    };
    let mut lines = vec![format!(
        "Revision {} ({propagation}): {} customers, {} keys, {} services, {} routes, {} upstreams, {} runs",
        status.revision.0,
        status.customers.len(),
        status.keys.len(),
        status.services.len(),
        status.routes.len(),
        status.upstreams,
        status.runs.len()
    )];
    let mut rows = vec![["zone", "region", "state"].map(str::to_owned).to_vec()];
    rows.extend(status.zones.iter().map(|zone| {
        let state = match zone.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        vec![
            zone.name.to_string(),
            zone.region.to_string(),
            state.to_owned(),
        ]
    }));
    lines.push(align_columns(&rows));
    if !status.load.records.is_empty() {
        let header = ["service", "zone", "running", "warm", "demand"];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        rows.extend(status.load.records.iter().map(|record| {
            vec![
                record.service.to_string(),
                record.zone.to_string(),
                record.running.to_string(),
                record.warm.to_string(),
                record.demand.to_string(),
            ]
        }));
        lines.push(align_columns(&rows));
    }
    lines.join("\n\n")
}
