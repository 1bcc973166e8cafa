//! The operators' calls as one node serves them: [`config`] writes the
//! configuration, [`capacity`] tells what a failure domain leaves behind,
//! [`status`] shows the state.

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
        drain(self, &request.node).await
    }

    async fn status(&self, _: v1::StatusRequest) -> Result<v1::StatusAnswer, CallError> {
        Ok(status::status(self).await)
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

async fn drain(node: &Node, name: &str) -> Result<v1::DrainAnswer, CallError> {
    if name == node.info.name {
        node.begin_stop();
        return Ok(started(name));
    }
    let known = node.view.load().nodes.get(&NodeId::of(name)).cloned();
    let Some(member) = known else {
        return Err(refused(format!(
            "no node named {name:?}; `heatherrun status` lists the nodes"
        )));
    };
    if node.control.drain(&member.info).await {
        return Ok(started(name));
    }
    Err(refused(format!(
        "no answer from {name}; whether its drain began is unknown, look at `heatherrun status`"
    )))
}

fn started(name: &str) -> v1::DrainAnswer {
    v1::DrainAnswer {
        started: true,
        detail: format!("{name} is not offered any more and hands its units over"),
    }
}
