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
        "lateness_ms": 2_500, "interval_ms": 4_000, "steps": [step],
    }]}));
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
    let cells: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    let expected = "standby-1 courts captions model-a 1 2500 step-7 9000 -1500 - 3 8 1 1 40 24 2";
    assert_eq!(cells.join(" "), expected);

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
