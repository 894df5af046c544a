//! Confirmation of plans, and waiting for their outcome.

use {
    crate::{
        admin_client::AdminClient,
        intent_command::describe_plan,
        output::{CommandContext, CommandReport, write_line},
    },
    catkindeck::{ErrorKind, ServiceError},
    catkindeck_control::intent::{
        ApplyOutcome, ApplyRequest, IntentAmendment, IntentPlan, IntentStatement, PlanId,
    },
    std::{
        io::{self, BufRead, Write},
        thread,
        time::{Duration, Instant},
    },
};

/// The time between questions for an outcome.
const OUTCOME_INTERVAL: Duration = Duration::from_millis(500);

/// How often a plan that was confirmed in advance is made again.
const PLAN_ATTEMPTS: u32 = 5;

/// Which plan of an amendment is meant.
#[derive(Debug, Clone, Copy)]
pub enum ShownPlan<'a> {
    /// One that is shown now and then confirmed.
    Now,
    /// One that is only shown.
    Dry,
    /// One that was shown before, by its id.
    Before(&'a str),
}

impl<'a> ShownPlan<'a> {
    /// Takes the choice from the options `--dry-run` and `--plan`.
    pub fn new(dry_run: bool, plan: Option<&'a str>) -> Self {
        match (dry_run, plan) {
            (true, _) => Self::Dry,
            (false, Some(id)) => Self::Before(id),
            (false, None) => Self::Now,
        }
    }
}

/// How a plan is confirmed and awaited.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmOptions {
    /// Whether the plan is confirmed without asking.
    pub yes: bool,
    /// Whether a shortfall of upstreams is accepted.
    pub accept_shortfall: bool,
    /// The longest time to wait for the outcome, in milliseconds.
    pub wait_ms: u64,
}

/// Amends the configuration by a plan that is shown and confirmed, or by one shown before.
///
/// `reminder` tells which declaration the operator must change as well.
pub fn amend(
    context: &CommandContext,
    amendment: IntentAmendment,
    shown: ShownPlan<'_>,
    options: ConfirmOptions,
    reminder: &str,
) -> Result<CommandReport, ServiceError> {
    let statement = IntentStatement::Amendment(amendment);
    let mut report = match shown {
        ShownPlan::Dry => {
            let plan: IntentPlan =
                AdminClient::open(context)?.post("/v1/intent/plan", &statement)?;
            return CommandReport::success(describe_plan(&plan), &plan);
        }
        ShownPlan::Before(id) => apply_plan(
            &AdminClient::open(context)?,
            statement,
            id.parse()?,
            options,
        )?,
        ShownPlan::Now => plan_and_apply(context, statement, options)?,
    };
    if report.failure.is_none() {
        report.text = format!("{}\n{reminder}", report.text);
    }
    Ok(report)
}

/// Plans a statement, shows the plan, has it confirmed and applies exactly that plan.
///
/// With confirmation given in advance, a plan that another change overtook is made again: the
/// operator agreed to the statement, and changes arrive every few seconds at target size.
pub fn plan_and_apply(
    context: &CommandContext,
    statement: IntentStatement,
    options: ConfirmOptions,
) -> Result<CommandReport, ServiceError> {
    let client = AdminClient::open(context)?;
    let mut attempt = 1;
    loop {
        let plan: IntentPlan = client.post("/v1/intent/plan", &statement)?;
        if !context.json {
            write_line(&mut io::stdout(), &describe_plan(&plan));
        }
        if !plan.changes.is_empty() && !options.yes && !ask(context)? {
            let detail = "the plan was not confirmed; nothing is changed";
            return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
        }
        let report = apply_plan(&client, statement.clone(), plan.id, options)?;
        let overtaken = report.failure == Some(ErrorKind::Conflict);
        if !(overtaken && options.yes && attempt < PLAN_ATTEMPTS) {
            return Ok(report);
        }
        attempt += 1;
    }
}

/// Applies a confirmed plan and waits for its outcome.
pub fn apply_plan(
    client: &AdminClient,
    statement: IntentStatement,
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
    let unsettled = |outcome: &Result<ApplyOutcome, ServiceError>| match outcome {
        Ok(ApplyOutcome::Unknown { .. }) => true,
        Ok(_) => false,
        Err(error) => error.kind.answer().retryable,
    };
    // A lost answer or an unfinished spread is resolved by asking for the outcome by id.
    while unsettled(&outcome) && Instant::now() < deadline {
        thread::sleep(OUTCOME_INTERVAL);
        outcome = client.get(&format!("/v1/intent/outcome/{plan}"));
    }
    match outcome {
        Ok(outcome) => report_outcome(&outcome),
        Err(error) if error.kind.answer().retryable => report_outcome(&ApplyOutcome::Unknown {
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
            format!("unknown: {reason}\nask again with `catkindeck status --outcome {id}`"),
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

/// Asks the operator; the end of the input means no.
fn ask(context: &CommandContext) -> Result<bool, ServiceError> {
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
