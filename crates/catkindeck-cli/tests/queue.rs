//! Tests of the subcommand `queue` against a fake metrics address.

mod support;

use {
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
    support::{exit_code_and_output, run},
    tempfile::tempdir,
};

/// Answers each request with the queue of one process.
fn start_process(queue: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 1024];
            let length = stream.read(&mut request).unwrap();
            assert!(request[..length].starts_with(b"GET /queue "));
            let body = queue.to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).unwrap();
        }
    });
    address
}

/// Returns an address that nothing listens at.
fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a queue that hides trainers or processes, and against a missing process that looks like an
/// empty queue.
#[test]
fn the_queues_of_several_processes_are_shown() {
    let directory = tempdir().unwrap();
    let step = json!({
        "job": "step-7", "age_ms": 9_000, "due_in_ms": -1_500, "expected_ms": null,
        "complete_groups": 3, "wanted_groups": 8, "late_groups": 1, "surplus_groups": 1,
        "waiting_items": 40, "running_items": 24, "scoring_items": 2,
    });
    let busy = start_process(json!({"host": "standby-1", "trainers": [{
        "customer": "courts", "route": "captions", "model": "model-a", "priority": 1,
        "lateness_ms": 2_500, "interval_ms": 4_000, "next_owner": "standby-2", "steps": [step],
    }], "places": {
        "owners": ["standby-1", "standby-2"],
        "used": 24, "usable": 30, "even": 36, "slots": 72, "remaining_ms": 1_400,
    }, "capacity": {
        "capacity": {"cpu_millicores": 300, "memory_mb": 290, "link_mbps": 600},
        "load": {"memory_percent": 20, "link_percent": 5, "connections_percent": 9, "busy_percent": 40},
        "weight": 300, "stage": "none",
    }}));
    let idle = start_process(json!({"host": "standby-2", "trainers": []}));
    let command = |arguments: &[&str]| {
        let (code, text) = exit_code_and_output(&run(directory.path(), busy, arguments));
        (code, text)
    };
    let (busy, idle, dead) = (
        busy.to_string(),
        idle.to_string(),
        dead_address().to_string(),
    );

    let (code, text) = command(&["queue", "--metrics", &busy, "--metrics", &idle]);
    assert_eq!(code, 0, "{text}");
    let lines = text
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<&str>>());
    let lines: Vec<String> = lines.map(|cells| cells.join(" ")).collect();
    let expected =
        "standby-1 courts captions model-a 1 2500 standby-2 step-7 9000 -1500 - 3 8 1 1 40 24 2";
    assert_eq!(lines[1], expected);
    assert_eq!(lines[4], "standby-1 2 24 30 36 72 1400", "{text}");
    assert_eq!(
        lines[7], "standby-1 300 290 600 20 5 9 40 300 none",
        "{text}"
    );
    assert_eq!(lines.len(), 8, "{text}");

    let (code, text) = command(&["queue", "--json", "--metrics", &busy, "--metrics", &dead]);
    assert_eq!(code, 8, "{text}");
    let content: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(content["processes"][0]["trainers"][0]["interval_ms"], 4_000);
    assert!(content["failures"][0].as_str().unwrap().contains(&dead));

    assert_eq!(command(&["queue", "--metrics", &dead]).0, 8);
    let (code, text) = command(&["queue", "--metrics", &idle]);
    assert_eq!((code, text.trim()), (0, "no open steps"));
    assert_eq!(command(&["queue"]).0, 2);
    let (code, text) = command(&["queue", "--help"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("--metrics"), "{text}");
}
