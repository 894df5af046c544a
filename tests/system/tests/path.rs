//! Drives the whole path through separate processes: caller, entry, agent, upstream.

use {
    catkindeck_system::{
        DeploymentShape, TestDeployment,
        http::{EventStream, call, post_json},
        shape::FIRST_KEY,
    },
    serde_json::{Value, json},
};

/// Guards against a path that is broken anywhere between caller and upstream: streamed and whole,
/// keyed and open, model and plain.
#[test]
fn requests_are_served_end_to_end() {
    let deployment = TestDeployment::start(DeploymentShape::two_zones());
    let url = deployment.caller_url(0);
    let prompt = json!({"model": "drafting", "prompt": "a slip", "max_tokens": 12});

    // A whole answer names the versions of its tokens.
    let whole = post_json(&format!("{url}/v1/completions"), FIRST_KEY, &prompt);
    assert_eq!(whole.status, 200, "{:?}", whole.json());
    let body = whole.json();
    assert_eq!(body["usage"]["completion_tokens"], 12, "{body}");
    let versions = &body["catkindeck"]["versions"];
    assert_eq!(*versions, json!([{"start": 0, "end": 12, "version": 1}]));

    // A streamed answer has the same text in pieces and ends with the marker.
    let mut streamed_prompt = prompt.clone();
    streamed_prompt["stream"] = json!(true);
    let bearer = format!("Bearer {FIRST_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    let mut stream =
        EventStream::post(&format!("{url}/v1/completions"), &headers, &streamed_prompt);
    assert_eq!(stream.status, 200);
    let events = stream.collect();
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    let text: String = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(Some(text.as_str()), body["choices"][0]["text"].as_str());

    // A plain service answers keyed and, on an open route, without a key.
    let keyed = call(
        "GET",
        &format!("{url}/r/shelf-lookup/rack/7?side=left"),
        &headers,
        b"",
    );
    assert_eq!(keyed.status, 200, "{:?}", keyed.json());
    let open = call("GET", &format!("{url}/r/reading-room/hours"), &[], b"");
    assert_eq!(open.status, 200, "{:?}", open.json());
    let refused = call("GET", &format!("{url}/r/shelf-lookup/rack/7"), &[], b"");
    assert_eq!(refused.status, 401);
    assert_eq!(
        refused.error(),
        ("unauthenticated".to_owned(), "not_run".to_owned())
    );
}
