//! A caller's request after its checks.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::message::{CallKind, Class};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{Time, View};
use heatherrun_schema::v1;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::refuse;

/// Deadline used when neither the caller nor the service names one.
const DEADLINE: Duration = Duration::from_secs(1);

/// Lots returned when the caller names no limit.
const LOTS: usize = 10;

/// A request after its checks.
pub(crate) struct Request {
    /// Name that follows the request through logs.
    pub trace: String,
    /// Service as pinned.
    pub service: Arc<Service>,
    /// How its calls may be treated.
    pub kind: CallKind,
    /// Class.
    pub class: Class,
    /// When it came in.
    pub start: Time,
    /// Point at which the caller gives up.
    pub deadline: Time,
    /// Lots wanted.
    pub limit: usize,
    /// Least coverage that makes an answer, in per cent.
    pub least: u8,
    /// Fingerprint of service and body.
    pub print: u64,
    /// Query text or request body.
    pub body: Arc<[u8]>,
}

type Checked = Result<Request, Box<v1::Refusal>>;

/// Checks a search.
pub(crate) fn search(view: &View, now: Time, ask: v1::SearchRequest) -> Checked {
    let service = find(view, &ask.service, true)?;
    let limit = match ask.limit {
        0 => LOTS,
        asked => usize::try_from(asked).unwrap_or(usize::MAX),
    };
    let body: Arc<[u8]> = ask.query.as_bytes().into();
    Ok(Request {
        kind: CallKind::Search,
        class: class(ask.class()),
        start: now,
        deadline: now + deadline(&service, ask.deadline_ms)?,
        limit,
        least: u8::try_from(ask.min_coverage.min(100)).unwrap_or(100),
        print: print(&service, &body),
        trace: ask.id,
        body,
        service,
    })
}

/// Checks a request to a pooled service.
pub(crate) fn pooled(view: &View, now: Time, ask: v1::PoolRequest) -> Checked {
    let service = find(view, &ask.service, false)?;
    let kind = if ask.once {
        CallKind::Once
    } else {
        CallKind::Repeatable
    };
    let body: Arc<[u8]> = ask.body.as_bytes().into();
    Ok(Request {
        kind,
        class: class(ask.class()),
        start: now,
        deadline: now + deadline(&service, ask.deadline_ms)?,
        limit: 0,
        least: 100,
        print: print(&service, &body),
        trace: ask.id,
        body,
        service,
    })
}

/// Fingerprint of service and body.
fn print(service: &Service, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, service.id.0)
}

fn find(view: &View, name: &str, sharded: bool) -> Result<Arc<Service>, Box<v1::Refusal>> {
    let Some(service) = view.service(name) else {
        let detail = format!("no service named {name:?}");
        return Err(refuse::not_run("unknown-service", detail, "check the name"));
    };
    if service.sharded != sharded {
        let detail = format!("{name:?} is of the other kind");
        let remedy = "use search for sharded services and request for pooled ones";
        return Err(refuse::not_run("wrong-kind", detail, remedy));
    }
    Ok(Arc::clone(service))
}

const fn class(class: v1::Class) -> Class {
    match class {
        v1::Class::Batch => Class::Batch,
        v1::Class::Normal => Class::Normal,
        v1::Class::Urgent => Class::Urgent,
    }
}

fn deadline(service: &Service, asked_ms: u32) -> Result<Duration, Box<v1::Refusal>> {
    let default = match service.limits.deadline_ms {
        0 => DEADLINE,
        ms => Duration::from_millis(u64::from(ms)),
    };
    let most = service.limits.deadline_max;
    if most > 0 && asked_ms > most {
        let detail = format!("deadline_ms {asked_ms} exceeds {most}");
        let remedy = "name a shorter deadline";
        return Err(refuse::not_run("bad-deadline", detail, remedy));
    }
    Ok(match asked_ms {
        0 => default,
        ms => Duration::from_millis(u64::from(ms)),
    })
}
