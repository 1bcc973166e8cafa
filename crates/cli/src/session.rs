//! Calls to the nodes named on the command line, over any transport.

use std::time::Duration;

use heatherrun_schema::CallError;
use heatherrun_schema::v1::OperatorClient;

/// Calls that change the tier. Such a call isn't retried at another node once
/// a node may have received it, as it could then take effect twice.
const WRITE_CALLS: [&str; 4] = ["Apply", "SetDomain", "Drain", "Marks"];

/// JSON body of an answer.
pub type CallResult = Result<Vec<u8>, CallError>;

/// Sends a call to a node: operator address, name of the call, JSON body.
pub type SendFn = Box<dyn Fn(&str, &str, &[u8]) -> CallResult>;

/// Send function of a generated client: name of the call, JSON body.
type CallFn<'a> = Box<dyn Fn(&str, Vec<u8>) -> CallResult + 'a>;

/// The nodes to call, and the functions for calling and waiting, which tests
/// replace.
pub struct Session {
    /// Operator addresses, tried in turn.
    pub nodes: Vec<String>,
    /// Sends a call to a node.
    pub send: SendFn,
    /// Sleeps between polls.
    pub sleep: Box<dyn Fn(Duration)>,
}

impl Session {
    /// Client that calls the first node that can be reached.
    #[must_use]
    pub fn client(&self) -> OperatorClient<CallFn<'_>> {
        OperatorClient {
            send: Box::new(|call, body| self.try_nodes(call, &body)),
        }
    }

    /// Client that calls only `node`.
    #[must_use]
    pub fn client_for<'a>(&'a self, node: &'a str) -> OperatorClient<CallFn<'a>> {
        OperatorClient {
            send: Box::new(move |call, body| (self.send)(node, call, &body)),
        }
    }

    fn try_nodes(&self, call: &str, body: &[u8]) -> CallResult {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match (self.send)(node, call, body) {
                Err(CallError::Unreached(reason)) => failures.push(reason),
                Err(CallError::Transport(reason)) if !WRITE_CALLS.contains(&call) => {
                    failures.push(reason);
                }
                result => return result,
            }
        }
        Err(CallError::Unreached(failures.join(", ")))
    }
}
