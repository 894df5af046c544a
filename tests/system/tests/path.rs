//! Tests the complete request path through separate processes: caller, entry, agent, upstream.

use {
    catkindeck_system::{
        DeploymentSpec, TestDeployment,
        http::{EventStream, post_json, send},
        spec::DESK_KEY,
    },
    serde_json::{Value, json},
};

/// Covers streamed and unary responses, routes with and without a key, and both kinds of upstream.
#[test]
fn requests_are_served_end_to_end() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones());
    let url = deployment.caller_url(0);
    let request = json!({"model": "drafting", "prompt": "a slip", "max_tokens": 12});

    // A unary response lists the weight versions of its tokens.
    let full = post_json(&format!("{url}/v1/completions"), DESK_KEY, &request);
    assert_eq!(full.status, 200, "{:?}", full.json());
    let body = full.json();
    assert_eq!(body["usage"]["completion_tokens"], 12, "{body}");
    let versions = &body["catkindeck"]["versions"];
    assert_eq!(*versions, json!([{"start": 0, "end": 12, "version": 1}]));

    // A streamed response has the same text in chunks and ends with the [DONE] marker.
    let mut streamed_request = request.clone();
    streamed_request["stream"] = json!(true);
    let bearer = format!("Bearer {DESK_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    let mut stream = EventStream::post(
        &format!("{url}/v1/completions"),
        &headers,
        &streamed_request,
    );
    assert_eq!(stream.status, 200);
    let events = stream.collect();
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    let text: String = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(Some(text.as_str()), body["choices"][0]["text"].as_str());

    // A plain service is reachable with a key and, on an open route, without one.
    let keyed = send(
        "GET",
        &format!("{url}/r/shelf-lookup/rack/7?side=left"),
        &headers,
        b"",
    );
    assert_eq!(keyed.status, 200, "{:?}", keyed.json());
    let open = send("GET", &format!("{url}/r/reading-room/hours"), &[], b"");
    assert_eq!(open.status, 200, "{:?}", open.json());
    let rejected = send("GET", &format!("{url}/r/shelf-lookup/rack/7"), &[], b"");
    assert_eq!(rejected.status, 401);
    assert_eq!(
        rejected.error(),
        ("unauthenticated".to_owned(), "not_run".to_owned())
    );
}
