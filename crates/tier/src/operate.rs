//! The operators' calls as one node serves them.

use heatherrun_kernel::Revision;
use heatherrun_kernel::port::{StoreCall, StoreReply};
use heatherrun_schema::{CallError, v1};

use crate::node::{DOMAINS, Node, SERVICES};

fn refused(reason: impl std::fmt::Display) -> CallError {
    CallError::Refused(reason.to_string())
}

impl Node {
    async fn revision_of(&self, key: &str) -> Result<Revision, CallError> {
        let call = StoreCall::Get {
            key: key.to_owned(),
        };
        match (self.platform.call)(call).await {
            Ok(StoreReply::Value(found)) => Ok(found.map(|kv| kv.revision).unwrap_or_default()),
            Ok(_) => Err(refused("the store answered another call")),
            Err(e) => Err(refused(e)),
        }
    }

    async fn write(&self, key: String, value: Vec<u8>) -> Result<Revision, CallError> {
        let expect = self.revision_of(&key).await?;
        let call = StoreCall::Swap {
            key,
            expect,
            value: Some(value),
            lease: 0,
        };
        match (self.platform.call)(call).await {
            Ok(StoreReply::Swapped(revision)) => Ok(revision),
            Ok(_) => Err(refused(
                "another operator wrote meanwhile; read and apply again",
            )),
            Err(e) => Err(refused(e)),
        }
    }

    async fn write_domains(&self, domains: Vec<v1::FailureDomain>) -> Result<Revision, CallError> {
        let config = v1::TierConfig {
            domains,
            services: Vec::new(),
        };
        self.write(DOMAINS.to_owned(), heatherrun_schema::encode(&config)?)
            .await
    }
}

impl v1::Operator for Node {
    async fn apply(&self, request: v1::ApplyRequest) -> Result<v1::ApplyAnswer, CallError> {
        let config = request.config.unwrap_or_default();
        let mut revision = self.write_domains(config.domains).await?;
        for service in &config.services {
            let key = format!("{SERVICES}{}", service.name);
            revision = self.write(key, heatherrun_schema::encode(service)?).await?;
        }
        Ok(v1::ApplyAnswer {
            accepted: true,
            revision: revision.0,
            ..v1::ApplyAnswer::default()
        })
    }

    async fn set_domain(&self, request: v1::DomainRequest) -> Result<v1::ApplyAnswer, CallError> {
        let mut domains = self.view.load().domains.clone();
        let Some(domain) = domains.iter_mut().find(|d| d.name == request.domain) else {
            return Err(refused(format!(
                "no failure domain named {:?}",
                request.domain
            )));
        };
        domain.out = request.out;
        let revision = self.write_domains(domains).await?;
        Ok(v1::ApplyAnswer {
            accepted: true,
            revision: revision.0,
            ..v1::ApplyAnswer::default()
        })
    }

    async fn drain(&self, _: v1::DrainRequest) -> Result<v1::DrainAnswer, CallError> {
        Err(refused(
            "drain is not served by this version; stop the daemon with SIGTERM",
        ))
    }

    async fn status(&self, _: v1::StatusRequest) -> Result<v1::StatusAnswer, CallError> {
        let view = self.view.load();
        let node = |m: &heatherrun_kernel::view::Member| v1::NodeStatus {
            name: m.info.name.clone(),
            callers: m.info.callers.to_string(),
            state: format!("{:?}", m.standing).to_ascii_lowercase(),
            ..v1::NodeStatus::default()
        };
        Ok(v1::StatusAnswer {
            node: self.info.name.clone(),
            revision: view.revision.0,
            domains: view.domains.clone(),
            nodes: view.nodes.values().map(node).collect(),
            ..v1::StatusAnswer::default()
        })
    }

    async fn explain(&self, request: v1::ExplainRequest) -> Result<v1::ExplainAnswer, CallError> {
        let found = self.entry.traces().find(&request.id);
        Ok(found.unwrap_or_default())
    }

    async fn history(&self, _: v1::HistoryRequest) -> Result<v1::HistoryAnswer, CallError> {
        Err(refused("history is not served by this version"))
    }

    async fn burn(&self, request: v1::BurnRequest) -> Result<v1::BurnAnswer, CallError> {
        self.burn_answer(&request)
    }

    async fn marks(&self, _: v1::MarksRequest) -> Result<v1::MarksAnswer, CallError> {
        Err(refused("marks are not served by this version"))
    }
}
