//! Validates callers' requests.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::message::{CallKind, Class};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{Time, View};
use heatherrun_schema::v1;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::refuse;

/// Time to the deadline when neither the caller nor the service sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(1);

/// Lots (listings) returned when the caller sets no limit.
const DEFAULT_LOT_LIMIT: usize = 10;

/// A validated request.
pub(crate) struct Request {
    /// Id that identifies the request in logs and traces.
    pub trace_id: String,
    /// Service as configured when the request arrived.
    pub service: Arc<Service>,
    /// Kind of its calls, which decides whether they may be repeated.
    pub kind: CallKind,
    /// Priority class for admission control.
    pub class: Class,
    /// When it arrived.
    pub start: Time,
    /// Time at which the caller gives up.
    pub deadline: Time,
    /// Most lots to return.
    pub limit: usize,
    /// Lowest coverage with which the search is answered, in per cent.
    pub min_coverage: u8,
    /// Hash of service and body.
    pub fingerprint: u64,
    /// Query text or request body.
    pub body: Arc<[u8]>,
}

type CheckedRequest = Result<Request, Box<v1::Refusal>>;

/// Validates a search.
pub(crate) fn check_search(view: &View, now: Time, message: v1::SearchRequest) -> CheckedRequest {
    let service = find_service(view, &message.service, true)?;
    let limit = match message.limit {
        0 => DEFAULT_LOT_LIMIT,
        requested => usize::try_from(requested).unwrap_or(usize::MAX),
    };
    let body: Arc<[u8]> = message.query.as_bytes().into();
    Ok(Request {
        kind: CallKind::Search,
        class: request_class(message.class()),
        start: now,
        deadline: now + time_to_deadline(&service, message.deadline_ms)?,
        limit,
        min_coverage: u8::try_from(message.min_coverage.min(100)).unwrap_or(100),
        fingerprint: fingerprint(&service, &body),
        trace_id: message.id,
        body,
        service,
    })
}

/// Validates a request to a pooled service.
pub(crate) fn check_pooled(view: &View, now: Time, message: v1::PoolRequest) -> CheckedRequest {
    let service = find_service(view, &message.service, false)?;
    let kind = if message.once {
        CallKind::Once
    } else {
        CallKind::Repeatable
    };
    let body: Arc<[u8]> = message.body.as_bytes().into();
    Ok(Request {
        kind,
        class: request_class(message.class()),
        start: now,
        deadline: now + time_to_deadline(&service, message.deadline_ms)?,
        limit: 0,
        min_coverage: 100,
        fingerprint: fingerprint(&service, &body),
        trace_id: message.id,
        body,
        service,
    })
}

/// Hash of service and body.
fn fingerprint(service: &Service, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, service.id.0)
}

fn find_service(view: &View, name: &str, sharded: bool) -> Result<Arc<Service>, Box<v1::Refusal>> {
    let Some(service) = view.service(name) else {
        let detail = format!("no service named {name:?}");
        return Err(refuse::not_run("unknown-service", detail, "check the name"));
    };
    if service.sharded != sharded {
        let detail = format!("{name:?} does not serve this kind of request");
        let remedy = "use search for sharded services and request for pooled ones";
        return Err(refuse::not_run("wrong-kind", detail, remedy));
    }
    Ok(Arc::clone(service))
}

const fn request_class(class: v1::Class) -> Class {
    match class {
        v1::Class::Batch => Class::Batch,
        v1::Class::Normal => Class::Normal,
        v1::Class::Urgent => Class::Urgent,
    }
}

fn time_to_deadline(service: &Service, requested_ms: u32) -> Result<Duration, Box<v1::Refusal>> {
    let default = match service.limits.deadline_ms {
        0 => DEFAULT_DEADLINE,
        ms => Duration::from_millis(u64::from(ms)),
    };
    let max_ms = service.limits.deadline_max;
    if max_ms > 0 && requested_ms > max_ms {
        let detail = format!("deadline_ms {requested_ms} exceeds {max_ms}");
        let remedy = "set a shorter deadline";
        return Err(refuse::not_run("bad-deadline", detail, remedy));
    }
    Ok(match requested_ms {
        0 => default,
        ms => Duration::from_millis(u64::from(ms)),
    })
}
