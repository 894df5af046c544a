//! Confirms plans and waits for their outcome.

use {
    crate::{
        admin_client::AdminClient,
        intent_command::describe_plan,
        output::{CommandContext, CommandReport, write_line},
    },
    catkindeck::{ErrorKind, ServiceError},
    catkindeck_control::intent::{
        ApplyOutcome, ApplyRequest, IntentPatch, IntentPlan, IntentUpdate, PlanId,
    },
    std::{
        io::{self, BufRead, Write},
        thread,
        time::{Duration, Instant},
    },
};

/// The interval at which a pending outcome is polled.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of plans that are made for a statement with `--yes`, each further one after a
/// conflict with another change.
const MAX_PLAN_ATTEMPTS: u32 = 5;

/// How an amendment is planned and confirmed.
#[derive(Debug, Clone, Copy)]
pub enum PlanMode<'a> {
    /// Shows a new plan and applies it after confirmation.
    Confirm,
    /// Only shows a new plan.
    DryRun,
    /// Applies the plan with this id, which was shown before.
    Existing(&'a str),
}

impl<'a> PlanMode<'a> {
    /// Selects the mode from the options `--dry-run` and `--plan`.
    pub fn new(dry_run: bool, plan: Option<&'a str>) -> Self {
        match (dry_run, plan) {
            (true, _) => Self::DryRun,
            (false, Some(id)) => Self::Existing(id),
            (false, None) => Self::Confirm,
        }
    }
}

/// How to confirm a plan and wait for its outcome.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmOptions {
    /// Whether to apply the plan without asking.
    pub yes: bool,
    /// Whether to apply the plan even if a service has too few upstreams for its load.
    pub accept_shortfall: bool,
    /// The longest time to wait for the outcome, in milliseconds.
    pub wait_ms: u64,
}

/// Amends the configuration with a new plan or with one that was shown before.
///
/// `reminder` tells the operator which declaration must be changed as well.
pub fn apply_amendment(
    context: &CommandContext,
    amendment: IntentPatch,
    mode: PlanMode<'_>,
    options: ConfirmOptions,
    reminder: &str,
) -> Result<CommandReport, ServiceError> {
    let statement = IntentUpdate::Amendment(amendment);
    let mut report = match mode {
        PlanMode::DryRun => {
            let plan: IntentPlan =
                AdminClient::open(context)?.post("/v1/intent/plan", &statement)?;
            return CommandReport::success(describe_plan(&plan), &plan);
        }
        PlanMode::Existing(id) => apply_plan(
            &AdminClient::open(context)?,
            statement,
            id.parse()?,
            options,
        )?,
        PlanMode::Confirm => plan_and_apply(context, statement, options)?,
    };
    if report.failure.is_none() {
        report.text = format!("{}\n{reminder}", report.text);
    }
    Ok(report)
}

/// Plans a statement, shows the plan, asks for confirmation and applies exactly that plan.
///
/// With `--yes`, a plan that conflicts with another change is made again, because the operator agreed
/// to the statement, and changes arrive every few seconds at the target deployment size.
pub fn plan_and_apply(
    context: &CommandContext,
    statement: IntentUpdate,
    options: ConfirmOptions,
) -> Result<CommandReport, ServiceError> {
    let client = AdminClient::open(context)?;
    let mut attempt = 1;
    loop {
        let plan: IntentPlan = client.post("/v1/intent/plan", &statement)?;
        if !context.json {
            write_line(&mut io::stdout(), &describe_plan(&plan));
        }
        if !plan.changes.is_empty() && !options.yes && !ask_confirmation(context)? {
            let detail = "the plan was not confirmed; nothing was changed";
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        let report = apply_plan(&client, statement.clone(), plan.id, options)?;
        let has_conflict = report.failure == Some(ErrorKind::Conflict);
        if !(has_conflict && options.yes && attempt < MAX_PLAN_ATTEMPTS) {
            return Ok(report);
        }
        attempt += 1;
    }
}

/// Applies a confirmed plan and waits for its outcome.
pub fn apply_plan(
    client: &AdminClient,
    statement: IntentUpdate,
    plan: PlanId,
    options: ConfirmOptions,
) -> Result<CommandReport, ServiceError> {
    let deadline = Instant::now() + Duration::from_millis(options.wait_ms);
    let request = ApplyRequest {
        statement,
        plan: plan.clone(),
        accept_shortfall: options.accept_shortfall,
    };
    let mut outcome: Result<ApplyOutcome, ServiceError> = client.post("/v1/intent/apply", &request);
    let is_pending = |outcome: &Result<ApplyOutcome, ServiceError>| match outcome {
        Ok(ApplyOutcome::Unknown { .. }) => true,
        Ok(_) => false,
        Err(error) => error.kind.response().retryable,
    };
    // After a lost response, or while the change propagates, the outcome is queried by plan id.
    while is_pending(&outcome) && Instant::now() < deadline {
        thread::sleep(OUTCOME_POLL_INTERVAL);
        outcome = client.get(&format!("/v1/intent/outcome/{plan}"));
    }
    match outcome {
        Ok(outcome) => report_outcome(&outcome),
        Err(error) if error.kind.response().retryable => report_outcome(&ApplyOutcome::Unknown {
            id: plan,
            reason: error.to_string(),
        }),
        Err(error) => Err(error),
    }
}

/// Reports the outcome of a plan.
pub fn report_outcome(outcome: &ApplyOutcome) -> Result<CommandReport, ServiceError> {
    let (text, failure) = match outcome {
        ApplyOutcome::Accepted { revision } => (
            format!("accepted: in force as revision {}", revision.0),
            None,
        ),
        ApplyOutcome::Refused { reason, changed } => {
            let mut text = format!("refused: {reason}; plan again");
            for change in changed {
                text.push_str(&format!("\n  {change}"));
            }
            (text, Some(ErrorKind::Conflict))
        }
        ApplyOutcome::Unknown { id, reason } => (
            format!("unknown: {reason}\nquery it with `catkindeck status --outcome {id}`"),
            Some(ErrorKind::OutcomeUnknown),
        ),
        ApplyOutcome::NotApplied { id } => (
            format!("not applied: plan {id} can still be confirmed"),
            Some(ErrorKind::OutcomeUnknown),
        ),
    };
    let mut report = CommandReport::success(text, outcome)?;
    report.failure = failure;
    Ok(report)
}

/// Asks the operator to confirm; the end of the input counts as a refusal.
fn ask_confirmation(context: &CommandContext) -> Result<bool, ServiceError> {
    if context.json {
        let detail = "with --json, confirm with --yes or with `apply --plan ID`";
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let _ = write!(io::stdout(), "Apply this plan? Type `yes`: ");
    let _ = io::stdout().flush();
    let mut line = String::new();
    match io::stdin().lock().read_line(&mut line) {
        Ok(_) => Ok(line.trim() == "yes"),
        Err(_) => Ok(false),
    }
}
