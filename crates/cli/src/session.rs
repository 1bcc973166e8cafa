//! Calls to the nodes named on the command line, over any transport.

use std::time::Duration;

use heatherrun_schema::CallError;
use heatherrun_schema::v1::OperatorClient;

/// Calls that change something; such a call is not repeated at another node
/// once it may have been seen.
const WRITES: [&str; 4] = ["Apply", "SetDomain", "Drain", "Marks"];

/// JSON of an answer.
pub type Answer = Result<Vec<u8>, CallError>;

/// Sends to a node the name of a call and its JSON.
pub type SendFn = Box<dyn Fn(&str, &str, &[u8]) -> Answer>;

/// Carries the calls of a generated client.
type CallFn<'a> = Box<dyn Fn(&str, Vec<u8>) -> Answer + 'a>;

/// The nodes to call and how.
pub struct Session {
    /// Operator addresses, tried in turn.
    pub nodes: Vec<String>,
    /// Sends a call.
    pub send: SendFn,
    /// Waits.
    pub pause: Box<dyn Fn(Duration)>,
}

impl Session {
    /// Client of the first node that can be reached.
    #[must_use]
    pub fn client(&self) -> OperatorClient<CallFn<'_>> {
        OperatorClient {
            send: Box::new(|call, body| self.try_nodes(call, &body)),
        }
    }

    /// Client of one node.
    #[must_use]
    pub fn client_of<'a>(&'a self, node: &'a str) -> OperatorClient<CallFn<'a>> {
        OperatorClient {
            send: Box::new(move |call, body| (self.send)(node, call, &body)),
        }
    }

    fn try_nodes(&self, call: &str, body: &[u8]) -> Answer {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match (self.send)(node, call, body) {
                Err(CallError::Unreached(reason)) => failures.push(reason),
                Err(CallError::Transport(reason)) if !WRITES.contains(&call) => {
                    failures.push(reason);
                }
                answer => return answer,
            }
        }
        Err(CallError::Unreached(failures.join(", ")))
    }
}
