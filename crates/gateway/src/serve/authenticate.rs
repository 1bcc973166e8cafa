//! Decides whether a request may be served, by the key that its caller sent.

use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Route, Team};
use heatherrun_kernel::site::{CallerHead, Credential, Site};
use heatherrun_ports::http_reply::Reply;
use heatherrun_routing::table::RouteTable;
use heatherrun_routing::teams;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::forward::message::{CHARGED, Terms};
use crate::log_throttle::LineKind;
use crate::reply;
use crate::state::State;

/// `Retry-After` of requests refused because the keys may be outdated: the node
/// reads the changes about each second.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` of requests that no region may serve: only a change of the
/// configuration helps.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Finds the team of a request, and its route with the team's priority and
/// regions; or the reply that refuses it.
pub(super) fn authorize<'a>(
    state: &State,
    table: &'a RouteTable,
    route: &Route,
    head: &CallerHead<'_>,
    now: Time,
) -> Result<(Route, Option<&'a Team>), Box<Reply>> {
    if !table.requires_keys() {
        return Ok((route.clone(), None));
    }
    if !route.is_public && state.is_outdated(now) {
        state.metrics.record_rejection("outdated");
        log_refusal(state, route, head, now, "outdated");
        let refusal = reply::not_run("keys may be outdated", OUTDATED_RETRY_AFTER);
        return Err(Box::new(refusal));
    }
    let team = match head.credential {
        Credential::Key(key) => table.team(key),
        Credential::Missing | Credential::Malformed => None,
    };
    let Some(team) = team else {
        if route.is_public {
            return Ok((route.clone(), None));
        }
        state.metrics.record_rejection("unauthorized");
        log_refusal(state, route, head, now, head.credential.fault());
        return Err(Box::new(reply::unauthorized()));
    };
    let Some(route) = teams::team_route(route, team) else {
        state.metrics.record_rejection("no-region");
        if state.log_throttle.allows(now, LineKind::RejectedRequest) {
            let (id, route, team) = (head.id.unwrap_or_default(), &*route.name, &*team.name);
            log::info!(id, route, team; "request.no-region");
        }
        let reason = "no region is allowed for both the route and the team";
        return Err(Box::new(reply::not_run(reason, NO_REGION_RETRY_AFTER)));
    };
    Ok((route, Some(team)))
}

fn log_refusal(state: &State, route: &Route, head: &CallerHead<'_>, now: Time, cause: &str) {
    if state.log_throttle.allows(now, LineKind::Unauthorized) {
        let (id, route) = (head.id.unwrap_or_default(), &*route.name);
        log::info!(id, route, cause; "request.unauthorized");
    }
}

/// Whether the node that forwarded the request has charged it to its team.
/// Without terms a caller sent the request, whose header means nothing.
#[must_use]
pub(super) fn is_charged(terms: Option<Terms>, headers: &HeaderMap) -> bool {
    terms.is_some() && headers.contains_key(CHARGED)
}

/// The header with the caller's credential, if that may be a key. It is marked as
/// sensitive, so that its `Debug` output does not have it.
pub(super) fn credential(site: &Site, headers: &HeaderMap) -> Option<(HeaderName, HeaderValue)> {
    if !matches!((site.parse_caller)(headers).credential, Credential::Key(_)) {
        return None;
    }
    let mut value = headers.get(&site.credential_header)?.clone();
    value.set_sensitive(true);
    Some((site.credential_header.clone(), value))
}
