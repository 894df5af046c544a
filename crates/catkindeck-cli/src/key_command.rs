//! The subcommand `keys`.

use {
    crate::{
        admin_client::AdminClient,
        arguments::{
            KeyAction, KeyArguments, KeyCreateArguments, KeyDigestArguments, KeyRevokeArguments,
        },
        confirm::{ConfirmOptions, PlanMode, apply_amendment},
        files::{append_file, create_secret_file, read_error},
        output::{CommandContext, CommandReport, align_columns},
    },
    catkindeck::{
        ErrorKind, ServiceError,
        id::{KeyDigest, ObjectName},
    },
    catkindeck_control::intent::{IntentPatch, IntentStatus},
    serde_json::json,
    std::fs,
};

/// The number of random bytes of a key; 256 bits make guesses and collisions infeasible.
const KEY_BYTES: usize = 32;

/// Runs the subcommand `keys`.
pub fn run(
    context: &CommandContext,
    arguments: KeyArguments,
) -> Result<CommandReport, ServiceError> {
    match arguments.action {
        KeyAction::Create(arguments) => create(&arguments),
        KeyAction::Digest(arguments) => digest(&arguments),
        KeyAction::List(_) => list(context),
        KeyAction::Revoke(arguments) => revoke(context, &arguments),
    }
}

/// Generates a key; apart from the output for the operator, only its digest leaves this process.
fn create(arguments: &KeyCreateArguments) -> Result<CommandReport, ServiceError> {
    let customer = ObjectName::try_from(arguments.customer.as_str())?;
    let label = ObjectName::try_from(arguments.label.as_str())?;
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).map_err(|error| {
        let detail = format!("cannot get random bytes from the operating system: {error}");
        ServiceError::not_run(ErrorKind::Internal, detail)
    })?;
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("ck_{hex}");
    let digest = KeyDigest::of(&key);
    let declaration = format!(
        "\n[[keys]]\nlabel = \"{label}\"\ncustomer = \"{customer}\"\ndigest = \"{digest}\"\n"
    );
    let mut content = json!({
        "label": label, "customer": customer, "digest": digest.to_string(),
        "declaration": declaration,
    });
    let key_text = match &arguments.out {
        Some(path) => {
            create_secret_file(path, &format!("{key}\n"))?;
            content["file"] = json!(path.display().to_string());
            format!("The key was written to {}.", path.display())
        }
        None => {
            content["key"] = json!(key);
            format!("Key (shown only once):\n\n  {key}")
        }
    };
    let next_step = match &arguments.declare {
        Some(path) => {
            append_file(path, &declaration)?;
            format!(
                "Its digest was added to {}; apply the declarations.",
                path.display()
            )
        }
        None => format!("Add these lines to the declarations and apply them:\n{declaration}"),
    };
    let text = format!("{key_text}\n\n{next_step}");
    CommandReport::success(text, &content)
}

fn digest(arguments: &KeyDigestArguments) -> Result<CommandReport, ServiceError> {
    let path = &arguments.file;
    let key = fs::read_to_string(path).map_err(|error| read_error(path, &error))?;
    let digest = KeyDigest::of(key.trim()).to_string();
    CommandReport::success(digest.clone(), &json!({"digest": digest}))
}

fn list(context: &CommandContext) -> Result<CommandReport, ServiceError> {
    let status: IntentStatus = AdminClient::open(context)?.get("/v1/intent/status")?;
    let mut rows = vec![["label", "customer", "digest"].map(str::to_owned).to_vec()];
    rows.extend(status.keys.iter().map(|key| {
        vec![
            key.label.to_string(),
            key.customer.to_string(),
            format!("{}...", key.digest_start),
        ]
    }));
    CommandReport::success(align_columns(&rows), &status.keys)
}

fn revoke(
    context: &CommandContext,
    arguments: &KeyRevokeArguments,
) -> Result<CommandReport, ServiceError> {
    let label = ObjectName::try_from(arguments.label.as_str())?;
    let reminder = format!(
        "Set `revoked = true` in the declaration of key {label}, or the next plan adds it again."
    );
    let amendment = IntentPatch::RevokeKey { label };
    let mode = PlanMode::new(arguments.dry_run, arguments.plan.as_deref());
    let options = ConfirmOptions {
        yes: arguments.yes,
        // Capacity does not depend on keys, and a leaked key must be revoked at any load.
        accept_shortfall: true,
        wait_ms: arguments.wait_ms,
    };
    apply_amendment(context, amendment, mode, options, &reminder)
}
