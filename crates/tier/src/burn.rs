//! Burn rates of the service-level objectives, as counted by one node.

use heatherrun_schema::{CallError, v1};

use crate::node::Node;

impl Node {
    /// Burn rates of the service named in the request, or of all services.
    ///
    /// # Errors
    /// [`CallError::Refused`] when no service has the requested name.
    pub fn burn_answer(&self, request: &v1::BurnRequest) -> Result<v1::BurnAnswer, CallError> {
        let now = self.clock.now();
        let view = self.view.load();
        let mut answer = v1::BurnAnswer {
            nodes: vec![v1::BurnNode {
                name: self.info.name.clone(),
                covered_secs: now.0 / 1_000_000,
            }],
            ..v1::BurnAnswer::default()
        };
        let other_nodes = view.nodes.values().filter(|m| m.info.id != self.info.id);
        answer.uncounted = other_nodes.map(|m| m.info.name.clone()).collect();
        for service in view.services.values() {
            if !request.service.is_empty() && request.service != service.name {
                continue;
            }
            let recorder = self.entry.outcomes().recorder();
            answer.services.push(recorder.burn(now, service));
        }
        if answer.services.is_empty() && !request.service.is_empty() {
            let reason = format!(
                "no service named {:?}; see `heatherrun services`",
                request.service
            );
            return Err(CallError::Refused(reason));
        }
        answer.services.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(answer)
    }
}
