//! Wire formats that differ between deployments (sites), as a struct of
//! functions: names of keys and headers, parsing and formatting. Decisions are
//! made elsewhere.

use std::{fmt, net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, StatusCode};

use crate::routes::{RolloutStatus, StoreItem};

/// What a caller's request says of who sent it. Its `Debug` output never has the
/// key.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential<'a> {
    /// It has no credential.
    #[default]
    Missing,
    /// It has something that cannot be a key.
    Malformed,
    /// It has this key, which may be unknown.
    Key(&'a str),
}

impl Credential<'_> {
    /// Reason in logs for which it does not authenticate a request.
    #[must_use]
    pub const fn fault(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Key(_) => "unknown",
        }
    }
}

impl fmt::Debug for Credential<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "Missing",
            Self::Malformed => "Malformed",
            Self::Key(_) => "Key(..)",
        })
    }
}

/// Values from the headers of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerHead<'a> {
    /// Id of the request.
    pub id: Option<&'a str>,
    /// Time for which the caller still waits.
    pub time_left: Option<Duration>,
    /// Key with which the caller authenticates.
    pub credential: Credential<'a>,
}

/// What a reply says of the rate of calls that its target takes from all nodes
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// It names no limit: the target takes what its slots allow.
    #[default]
    None,
    /// Calls per second; finite and not negative.
    PerSec(f64),
    /// It names something that is no rate, which neither sets nor ends a limit.
    Invalid,
}

/// Load of a target as one of its replies reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of calls that are running.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub waiting: u32,
    /// Number of calls that run at the same time.
    pub slots: u32,
    /// How long work takes on the target's machine now, in percent of the usual;
    /// 1 to [`MAX_PACE_PERCENT`]. `None` if the target does not measure it.
    pub pace: Option<u16>,
}

/// Largest pace that is taken for a measurement, in percent of the usual.
pub const MAX_PACE_PERCENT: u16 = 10_000;

impl TargetLoad {
    /// Number of running and waiting calls.
    #[must_use]
    pub const fn call_count(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Values from the status and headers of a target's reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplyHead<'a> {
    /// Id of the request that the reply belongs to, if given.
    pub id: Option<&'a str>,
    /// Signature of the target on the reply.
    pub signature: Option<&'a str>,
    /// Whether the target reports that it did not run the request.
    pub not_run: bool,
    /// Whether an instance other than the expected one answered at the address.
    pub misdirected: bool,
    /// Load of the target, if the reply reports it.
    pub load: Option<TargetLoad>,
    /// Whether the target reports that it is leaving.
    pub is_leaving: bool,
    /// Time for which a target that refused the request wants none from this
    /// node.
    pub quiet_for: Option<Duration>,
    /// Rate of calls that the target takes from all nodes together.
    pub limit: StatedLimit,
}

/// A request to the directory, which lists the nodes for a caller to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Region of the caller.
    pub region: String,
    /// Failure domain of the caller.
    pub domain: String,
}

/// Error: an item of the platform's store cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("store item {key} cannot be parsed ({reason}); correct the value written to the store")]
pub struct BadItem {
    /// Key of the item.
    pub key: String,
    /// Reason why the item cannot be parsed.
    pub reason: String,
}

/// Wire formats of one deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name of the plug-in.
    pub name: &'static str,
    /// Common prefix of all keys in the store that the tier uses.
    pub prefix: &'static str,
    /// Prefix of the keys under which nodes register.
    pub node_prefix: &'static str,
    /// Prefix of the keys of the states of roll-outs.
    pub rollout_prefix: &'static str,
    /// Key of the node that decides on roll-outs.
    pub decider_key: &'static str,
    /// HTTP path of the readiness check.
    pub ready_path: &'static str,
    /// HTTP path of the directory.
    pub directory_path: &'static str,
    /// Parses one item of the store from its key and value; no value means that
    /// the item was deleted.
    pub parse_item: fn(&str, Option<&[u8]>) -> Result<StoreItem, BadItem>,
    /// Formats the status of a service's roll-out: its key and value.
    pub encode_rollout: fn(&str, &RolloutStatus) -> (String, Vec<u8>),
    /// Parses the headers of a caller's request.
    pub parse_caller: fn(&HeaderMap) -> CallerHead<'_>,
    /// Whether the tier sets this header of a call itself, so that the caller's
    /// value is not forwarded. The second argument says whether requests need
    /// keys.
    pub is_reserved: fn(&str, bool) -> bool,
    /// Name of the header that has the credential.
    pub credential_header: HeaderName,
    /// Sets the headers of a call: the time left, the name of the expected
    /// target instance, and the name of the caller's team.
    pub write_call: fn(&mut HeaderMap, Duration, &str, Option<&str>),
    /// Parses the status and headers of a target's reply.
    pub parse_reply: fn(StatusCode, &HeaderMap) -> ReplyHead<'_>,
    /// Sets the headers of a merged answer: the signatures of the merged
    /// replies and the number of missing shards.
    pub write_merged: fn(&mut HeaderMap, &[String], usize),
    /// Parses the query string of a request to the directory.
    pub parse_query: fn(&str) -> DirectoryQuery,
    /// Formats the body of a directory's answer: the addresses, and how long
    /// they may be cached.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
}

inventory::collect!(Site);

/// Error: there is no site plug-in with the requested name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no site named {name:?}; use one of {known}")]
pub struct UnknownSite {
    /// Requested name.
    pub name: String,
    /// Names of all sites, separated by commas.
    pub known: String,
}

/// Looks up the site called `name`.
///
/// # Errors
/// [`UnknownSite`] when there is none.
pub fn find(name: &str) -> Result<&'static Site, UnknownSite> {
    let sites = || inventory::iter::<Site>.into_iter();
    sites().find(|s| s.name == name).ok_or_else(|| UnknownSite {
        name: name.to_owned(),
        known: sites().map(|s| s.name).collect::<Vec<_>>().join(", "),
    })
}
