//! Extensible messages between nodes: credit of teams and evidence about
//! versions under test.
//!
//! The messages are protobuf, so a node ignores fields that it does not know.
//! An older node does not know the call and closes the connection on which it
//! receives it. The connections here carry nothing else, and such a node is
//! left alone for up to [`MAX_RETRY_DELAY`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_schema::v1::{PeerReply, PeerRequest};
use prost::Message;

use crate::peer_clients::PeerClients;
use crate::state::State;

/// Time for which a node is not asked after it did not reply, doubled with each
/// further failure in a row. A single lost message must not end the contact with
/// a granter, while an older node never replies.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of nodes remembered as unresponsive.
const MAX_UNRESPONSIVE: usize = 1_024;

/// Client of the extensible messages.
#[derive(Default)]
pub struct Exchange {
    clients: PeerClients,
    /// Nodes that did not reply, until when they are not asked, and that delay.
    unresponsive: Mutex<HashMap<SocketAddr, (Time, Duration)>>,
}

impl Exchange {
    /// Sends a message to the node at `address`; `None` when it does not reply
    /// within `timeout`, or did not reply recently.
    pub async fn send(
        &self,
        state: &State,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Option<PeerReply> {
        if self.is_unresponsive(state.clock.now(), address) {
            return None;
        }
        let reply = self
            .clients
            .exchange(address, request.encode_to_vec(), timeout)
            .await;
        let reply = reply.and_then(|bytes| PeerReply::decode(&*bytes).ok());
        self.record_reply(state.clock.now(), address, reply.is_some());
        reply
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, (Time, Duration)>> {
        self.unresponsive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_unresponsive(&self, now: Time, address: SocketAddr) -> bool {
        let unresponsive = self.lock();
        let entry = unresponsive.get(&address);
        entry.is_some_and(|(until, _)| now < *until)
    }

    fn record_reply(&self, now: Time, address: SocketAddr, has_replied: bool) {
        let mut unresponsive = self.lock();
        if has_replied {
            unresponsive.remove(&address);
            return;
        }
        unresponsive.retain(|_, (until, _)| now.since(*until) < MAX_RETRY_DELAY);
        let old = unresponsive.get(&address);
        let delay = old.map_or(MIN_RETRY_DELAY, |(_, d)| (*d * 2).min(MAX_RETRY_DELAY));
        if unresponsive.len() < MAX_UNRESPONSIVE {
            unresponsive.insert(address, (now + delay, delay));
        }
    }
}

/// Replies to a message of another node. A message that cannot be decoded gets
/// an empty reply.
#[must_use]
pub fn handle(state: &Arc<State>, message: &[u8]) -> Vec<u8> {
    let reply = match PeerRequest::decode(message) {
        Ok(request) => PeerReply {
            quota: request
                .quota
                .map(|quota| state.quota.handle(state, &request.node, &quota)),
            rollout: request
                .rollout
                .map(|report| state.receive_rollout(&request.node, report)),
        },
        Err(e) => {
            log::warn!(reason:% = e; "exchange.malformed");
            PeerReply::default()
        }
    };
    reply.encode_to_vec()
}
