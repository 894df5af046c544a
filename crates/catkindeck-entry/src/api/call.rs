//! `ANY /r/{route}/{rest}`: calls to plain services.

use {
    super::{
        service::{EndpointFields, EntryService, RequestLabels, digest_work},
        sinks::{FirstByteTimer, PlainSink},
    },
    crate::{
        credentials::{CallerKeys, decode_percent, strip_query},
        forward::{DeliveredResponse, ForwardError},
        headers::filter_request_headers,
        http::{CallerRequest, ResponseWriter},
    },
    catkindeck::{
        ErrorKind, ServiceError,
        config::ServiceKind,
        id::ObjectName,
        message::{CallBody, WorkBody},
    },
};

/// The HTTP methods that are forwarded.
const FORWARDED_METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

pub(super) fn handle(
    service: &EntryService,
    request: &CallerRequest,
    rest: &str,
    writer: &mut dyn ResponseWriter,
    labels: &mut RequestLabels,
) -> Result<DeliveredResponse, ForwardError> {
    let forwarder = service.forwarder();
    let snapshot = forwarder.source().current();
    let keys = CallerKeys::collect(&request.headers);
    let (name, subpath) = rest.split_once('/').unwrap_or((rest, ""));
    let name = ObjectName::try_from(name).ok();
    let route = name.as_ref().and_then(|name| snapshot.route(name));
    let (route, identity) = service.authenticate_for_route(&snapshot, route, &keys, labels)?;
    let kind = snapshot.service(&route.service).map(|record| record.kind);
    if kind != Some(ServiceKind::Plain) {
        return Err(bad_request_error(
            "this route does not accept plain HTTP calls; send completions to /v1/completions",
        )
        .into());
    }

    // The request to the upstream is built from allow-listed parts only.
    let body = build_call(request, subpath, &keys)?;
    let digest = digest_work(
        (route, identity.as_ref()),
        &[body.method.as_bytes(), body.path.as_bytes(), &body.bytes],
    );
    let fields = EndpointFields {
        priority: 0,
        digest,
        prefix: None,
        body: WorkBody::Call(body),
    };
    let work = service.build_work(request, (route, identity), fields)?;
    let now = || forwarder.now();
    let mut sink = PlainSink {
        writer,
        timer: FirstByteTimer {
            metrics: forwarder.metrics(),
            route: work.route.name.clone(),
            started: now(),
            now: &now,
            is_recorded: false,
        },
        status: 200,
        headers: Vec::new(),
    };
    let delivered = forwarder.forward(&work, &mut sink)?;
    if sink.writer.headers_sent() {
        sink.writer.finish();
    } else {
        let (status, headers) = (sink.status, std::mem::take(&mut sink.headers));
        let result = sink.writer.send(status, &headers, Vec::new());
        result.map_err(|_| ForwardError::CallerDisconnected)?;
    }
    Ok(delivered)
}

fn build_call(
    request: &CallerRequest,
    subpath: &str,
    keys: &CallerKeys,
) -> Result<CallBody, ServiceError> {
    let method = request.method.as_str();
    if !FORWARDED_METHODS.contains(&method) {
        return Err(bad_request_error(
            "unsupported method; use DELETE, GET, HEAD, OPTIONS, PATCH, POST or PUT",
        ));
    }
    let decoded = decode_percent(subpath);
    if decoded.split(['/', '\\']).any(|segment| segment == "..") {
        return Err(bad_request_error("the path contains a `..` segment"));
    }
    if keys.occurs_in(&decoded) || keys.occurs_in(subpath) {
        return Err(bad_request_error("the path contains the caller's key"));
    }
    let query = request.uri.query().unwrap_or("");
    let query = strip_query(query, keys);
    let path = match query.is_empty() {
        true => format!("/{subpath}"),
        false => format!("/{subpath}?{query}"),
    };
    Ok(CallBody {
        method: method.to_owned(),
        path,
        headers: filter_request_headers(&request.headers, keys),
        bytes: request.body.to_vec(),
    })
}

fn bad_request_error(detail: &str) -> ServiceError {
    ServiceError::not_run(ErrorKind::BadRequest, detail)
}
