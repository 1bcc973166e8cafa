//! The operators' calls that every node serves: [`config`] writes the
//! configuration, [`capacity`] computes the capacity that remains without a
//! failure domain, [`status`] reports the state of the tier.

mod capacity;
mod config;
mod status;

use heatherrun_kernel::NodeId;
use heatherrun_schema::{CallError, v1};

use crate::node::Node;

fn refused(reason: impl std::fmt::Display) -> CallError {
    CallError::Refused(reason.to_string())
}

impl v1::Operator for Node {
    async fn apply(&self, request: v1::ApplyRequest) -> Result<v1::ApplyAnswer, CallError> {
        config::apply(self, request).await
    }

    async fn set_domain(&self, request: v1::DomainRequest) -> Result<v1::ApplyAnswer, CallError> {
        config::set_domain(self, request).await
    }

    async fn drain(&self, request: v1::DrainRequest) -> Result<v1::DrainAnswer, CallError> {
        drain_node(self, &request.node).await
    }

    async fn status(&self, _: v1::StatusRequest) -> Result<v1::StatusAnswer, CallError> {
        Ok(status::tier_status(self).await)
    }

    async fn explain(&self, request: v1::ExplainRequest) -> Result<v1::ExplainAnswer, CallError> {
        let found = self.entry.traces().find(&request.id);
        Ok(found.unwrap_or_default())
    }

    async fn history(&self, request: v1::HistoryRequest) -> Result<v1::HistoryAnswer, CallError> {
        config::history(self, request.from).await
    }

    async fn burn(&self, request: v1::BurnRequest) -> Result<v1::BurnAnswer, CallError> {
        self.burn_answer(&request)
    }

    async fn marks(&self, request: v1::MarksRequest) -> Result<v1::MarksAnswer, CallError> {
        self.marks_answer(&request)
    }
}

/// Starts draining the node called `name`, which may be `node` itself.
async fn drain_node(node: &Node, name: &str) -> Result<v1::DrainAnswer, CallError> {
    if name == node.info.name {
        node.begin_stop();
        return Ok(drain_started(name));
    }
    let member = node
        .view
        .load()
        .nodes
        .get(&NodeId::from_name(name))
        .cloned();
    let Some(member) = member else {
        return Err(refused(format!(
            "no node named {name:?}; `heatherrun status` lists the nodes"
        )));
    };
    if node.control.request_drain(&member.info).await {
        return Ok(drain_started(name));
    }
    Err(refused(format!(
        "no answer from {name}; it is unknown whether its drain began, check `heatherrun status`"
    )))
}

fn drain_started(name: &str) -> v1::DrainAnswer {
    v1::DrainAnswer {
        started: true,
        detail: format!("{name} is no longer offered to callers and hands over its units"),
    }
}
