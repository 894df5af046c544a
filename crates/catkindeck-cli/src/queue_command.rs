//! The subcommand `queue`: the open steps of trainers at gateway processes.

use {
    crate::{
        admin_client::parse_response,
        arguments::QueueArguments,
        output::{CommandReport, align_columns},
    },
    catkindeck::{ErrorKind, ServiceError},
    serde::Serialize,
    serde_json::Value,
    std::time::Duration,
    ureq::Agent,
};

/// The time for one process to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The queues of all processes that answered, and those that did not.
#[derive(Serialize)]
struct QueueContent {
    processes: Vec<Value>,
    failures: Vec<String>,
}

/// Reads the queue of each process and shows the trainers with their open steps.
///
/// # Errors
///
/// Returns `bad_request` without an address, and `peer_unavailable` if no process answers.
pub fn run(arguments: &QueueArguments) -> Result<CommandReport, ServiceError> {
    if arguments.metrics.is_empty() {
        let detail = "expected at least one address with --metrics";
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(READ_TIMEOUT))
        .build();
    let agent = config.new_agent();
    let mut content = QueueContent {
        processes: Vec::new(),
        failures: Vec::new(),
    };
    for address in &arguments.metrics {
        let response = agent.get(format!("http://{address}/queue")).call();
        let queue = match response {
            Ok(response) => parse_response(response).map_err(|error| error.detail),
            Err(error) => Err(error.to_string()),
        };
        match queue {
            Ok(queue) => content.processes.push(queue),
            Err(detail) => content.failures.push(format!("{address}: {detail}")),
        }
    }
    if content.processes.is_empty() {
        let detail = format!("no process responded ({})", content.failures.join("; "));
        return Err(ServiceError::not_run(ErrorKind::PeerUnavailable, detail));
    }
    let mut report = CommandReport::success(format_queue(&content), &content)?;
    // What was read is shown, but part of the queue is missing.
    report.failure = (!content.failures.is_empty()).then_some(ErrorKind::PeerUnavailable);
    Ok(report)
}

fn format_queue(content: &QueueContent) -> String {
    let header = [
        "HOST",
        "CUSTOMER",
        "ROUTE",
        "MODEL",
        "PRIORITY",
        "LATE MS",
        "NEXT OWNER",
        "STEP",
        "AGE MS",
        "DUE MS",
        "EXPECTED MS",
        "WHOLE",
        "POSSIBLE",
        "LATE",
        "SURPLUS",
        "WAITING",
        "RUNNING",
        "SCORING",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for process in &content.processes {
        for trainer in process["trainers"].as_array().into_iter().flatten() {
            for step in trainer["steps"].as_array().into_iter().flatten() {
                let named = [
                    "customer",
                    "route",
                    "model",
                    "priority",
                    "lateness_ms",
                    "next_owner",
                ];
                let counted = [
                    "job",
                    "age_ms",
                    "due_in_ms",
                    "expected_ms",
                    "complete_groups",
                    "wanted_groups",
                    "late_groups",
                    "surplus_groups",
                    "waiting_items",
                    "running_items",
                    "scoring_items",
                ];
                let mut row = vec![cell(&process["host"])];
                row.extend(named.map(|field| cell(&trainer[field])));
                row.extend(counted.map(|field| cell(&step[field])));
                rows.push(row);
            }
        }
    }
    let mut text = match rows.len() {
        1 => "no open steps".to_owned(),
        _ => align_columns(&rows),
    };
    if let Some(places) = format_places(content) {
        text.push_str(&format!("\n\n{places}"));
    }
    if let Some(hosts) = format_hosts(content) {
        text.push_str(&format!("\n\n{hosts}"));
    }
    for failure in &content.failures {
        text.push_str(&format!("\nno response: {failure}"));
    }
    text
}

/// Returns the places of the processes that share engines, or `None` if there are none.
fn format_places(content: &QueueContent) -> Option<String> {
    let header = [
        "HOST",
        "OWNERS",
        "USED",
        "USABLE",
        "EVEN",
        "SLOTS",
        "GRANTED FOR MS",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for process in &content.processes {
        let places = &process["places"];
        let Some(owners) = places["owners"].as_array() else {
            continue;
        };
        let counted = ["used", "usable", "even", "slots", "remaining_ms"];
        let mut row = vec![cell(&process["host"]), owners.len().to_string()];
        row.extend(counted.map(|field| cell(&places[field])));
        rows.push(row);
    }
    (rows.len() > 1).then(|| align_columns(&rows))
}

/// Shows what the hosts can carry and carry now; `None` if no process says so.
fn format_hosts(content: &QueueContent) -> Option<String> {
    let header = [
        "HOST",
        "MILLICORES",
        "MEMORY MB",
        "LINK MBIT/S",
        "MEMORY %",
        "LINK %",
        "CONNECTIONS %",
        "EVENT LOOP %",
        "WEIGHT",
        "STAGE",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for process in &content.processes {
        let report = &process["capacity"];
        if report.is_null() {
            continue;
        }
        let carried = [
            "memory_percent",
            "link_percent",
            "connections_percent",
            "busy_percent",
        ];
        let mut row = vec![cell(&process["host"])];
        let capacity = ["cpu_millicores", "memory_mb", "link_mbps"];
        row.extend(capacity.map(|field| cell(&report["capacity"][field])));
        row.extend(carried.map(|field| cell(&report["load"][field])));
        row.extend(["weight", "stage"].map(|field| cell(&report[field])));
        rows.push(row);
    }
    (rows.len() > 1).then(|| align_columns(&rows))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
