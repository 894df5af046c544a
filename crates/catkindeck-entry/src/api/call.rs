//! `ANY /r/{route}/{rest}`: calls of plain services.

use {
    super::{
        service::{EntryService, RequestLabels, WorkContent, digest_work},
        sinks::{CallSink, FirstPart},
    },
    crate::{
        credentials::{CallerKeys, decode_percent, strip_query},
        forward::{DeliveredAnswer, ForwardEnd},
        headers::pass_request_headers,
        http::{CallerRequest, ReplySink},
    },
    catkindeck::{
        ErrorKind, ServiceError,
        config::ServiceKind,
        id::ObjectName,
        message::{CallBody, WorkBody},
    },
};

/// The methods that are passed on.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

pub(super) fn handle(
    service: &EntryService,
    request: &CallerRequest,
    rest: &str,
    reply: &mut dyn ReplySink,
    labels: &mut RequestLabels,
) -> Result<DeliveredAnswer, ForwardEnd> {
    let forwarder = service.forwarder();
    let snapshot = forwarder.source().current();
    let keys = CallerKeys::collect(&request.headers);
    let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
    let name = ObjectName::try_from(name).ok();
    let route = name.as_ref().and_then(|name| snapshot.route(name));
    let (route, identity) = service.admit(&snapshot, route, &keys, labels)?;
    let kind = snapshot.service(&route.service).map(|record| record.kind);
    if kind != Some(ServiceKind::Plain) {
        return Err(refuse(
            "the route leads to no plain service; engines are called by /v1/completions",
        )
        .into());
    }

    // What reaches the upstream is built from what may pass.
    let body = build_call(request, below, &keys)?;
    let digest = digest_work(
        (route, identity.as_ref()),
        &[body.method.as_bytes(), body.path.as_bytes(), &body.bytes],
    );
    let content = WorkContent {
        priority: 0,
        digest,
        prefix: None,
        body: WorkBody::Call(body),
    };
    let work = service.build_work(request, (route, identity), content)?;
    let now = || forwarder.now();
    let mut sink = CallSink {
        reply,
        first: FirstPart {
            metrics: forwarder.metrics(),
            route: work.route.name.clone(),
            started: now(),
            now: &now,
            seen: false,
        },
        status: 200,
        headers: Vec::new(),
    };
    let delivered = forwarder.forward(&work, &mut sink)?;
    if sink.reply.is_opened() {
        sink.reply.finish();
    } else {
        let (status, headers) = (sink.status, std::mem::take(&mut sink.headers));
        let sent = sink.reply.whole(status, &headers, Vec::new());
        sent.map_err(|_| ForwardEnd::CallerGone)?;
    }
    Ok(delivered)
}

fn build_call(
    request: &CallerRequest,
    below: &str,
    keys: &CallerKeys,
) -> Result<CallBody, ServiceError> {
    let method = request.method.as_str();
    if !METHODS.contains(&method) {
        return Err(refuse("this method is not passed on"));
    }
    let decoded = decode_percent(below);
    if decoded.split(['/', '\\']).any(|segment| segment == "..") {
        return Err(refuse("the path leads out of the route"));
    }
    if keys.occurs_in(&decoded) || keys.occurs_in(below) {
        return Err(refuse("the path holds the caller's key"));
    }
    let query = request.uri.query().unwrap_or("");
    let query = strip_query(query, keys);
    let path = match query.is_empty() {
        true => format!("/{below}"),
        false => format!("/{below}?{query}"),
    };
    Ok(CallBody {
        method: method.to_owned(),
        path,
        headers: pass_request_headers(&request.headers, keys),
        bytes: request.body.to_vec(),
    })
}

fn refuse(detail: &str) -> ServiceError {
    ServiceError::not_run(ErrorKind::BadRequest, detail)
}
