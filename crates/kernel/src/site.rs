//! What differs from one deployment's wire to another's, as a struct of
//! functions: names, formats and nothing that decides.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, StatusCode};

use crate::routes::Fact;

/// What a caller's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerHead<'a> {
    /// Name of the request.
    pub id: Option<&'a str>,
    /// Time the caller still waits.
    pub left: Option<Duration>,
}

/// What the head of a target's reply says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHead<'a> {
    /// Request that it names, if any.
    pub id: Option<&'a str>,
    /// Signature of the reply.
    pub signature: Option<&'a str>,
    /// Whether it says that the request was not run.
    pub not_run: bool,
    /// Whether another instance answered at the address.
    pub moved: bool,
    /// Calls running and waiting at the target.
    pub busy: Option<u32>,
}

/// What the directory is asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryAsk {
    /// Region of the caller.
    pub region: String,
    /// Failure domain of the caller.
    pub domain: String,
}

/// An item of the store cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("item {key} of the store cannot be read ({why}); whoever writes it must mend it")]
pub struct BadItem {
    /// Key.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

/// What the wire of one deployment looks like.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Name of the plug-in.
    pub name: &'static str,
    /// Prefix of all keys of the store that concern the tier.
    pub prefix: &'static str,
    /// Prefix below which nodes register.
    pub nodes: &'static str,
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Path of the directory.
    pub directory: &'static str,
    /// Reads one item of the store; no value means that it was deleted.
    pub fact: fn(&str, Option<&[u8]>) -> Result<Fact, BadItem>,
    /// Reads a caller's head.
    pub caller: fn(&HeaderMap) -> CallerHead<'_>,
    /// Whether a header of a caller is not passed on as it came.
    pub is_own: fn(&str) -> bool,
    /// Writes the time left and the expected instance into a call.
    pub call: fn(&mut HeaderMap, Duration, &str),
    /// Reads the head of a target's reply.
    pub reply: fn(StatusCode, &HeaderMap) -> ReplyHead<'_>,
    /// Writes the signatures of the merged parts and the number of missing
    /// ones.
    pub merged: fn(&mut HeaderMap, &[String], usize),
    /// Reads the query of a directory request.
    pub ask: fn(&str) -> DirectoryAsk,
    /// Writes an answer of the directory.
    pub addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
}

inventory::collect!(Site);

/// No deployment's wire has the name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no wire named {name:?}; use one of {known}")]
pub struct UnknownSite {
    /// Name looked for.
    pub name: String,
    /// Names there are.
    pub known: String,
}

/// The wire called `name`.
///
/// # Errors
/// [`UnknownSite`] when there is none.
pub fn find(name: &str) -> Result<&'static Site, UnknownSite> {
    let all = || inventory::iter::<Site>.into_iter();
    all().find(|s| s.name == name).ok_or_else(|| UnknownSite {
        name: name.to_owned(),
        known: all().map(|s| s.name).collect::<Vec<_>>().join(", "),
    })
}
