//! One run: a cell, the load on it, and a script of what goes wrong.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::port::{AsyncFn, async_fn};
use tokio::task::JoinSet;

use crate::cell::Cell;
use crate::load::{Load, Phase, Server, offer};
use crate::plan::{Plan, ServicePlan};
use crate::run::paused;
use crate::table::{Row, Strain};
use crate::tally::{Kind, Tally};

/// Time in which targets grow warm before anything is measured.
pub const WARM_UP: Duration = Duration::from_secs(3);

/// Deadline of requests where a case names none.
pub const DEADLINE: Duration = Duration::from_millis(400);

/// One run.
#[derive(Clone)]
pub struct Trial {
    /// Name of the case.
    pub name: String,
    /// Sizes.
    pub plan: Plan,
    /// Load.
    pub loads: Vec<Load>,
    /// Measured time, after [`WARM_UP`].
    pub span: Duration,
    /// What happens meanwhile; it starts after [`WARM_UP`].
    pub script: AsyncFn<(Arc<Cell>, Server), ()>,
}

impl Trial {
    /// Trial at `load` per cent of each service's capacity, in which nothing
    /// goes wrong.
    #[must_use]
    pub fn steady(name: impl Into<String>, plan: &Plan, load: u32, span: Duration) -> Self {
        let offered = |service: &ServicePlan| Load {
            service: service.name,
            kind: kind(service.shards),
            deadline: DEADLINE,
            phases: vec![Phase {
                rate: service.capacity() * f64::from(load) / 100.0,
                span: WARM_UP + span,
            }],
        };
        Self {
            name: name.into(),
            plan: plan.clone(),
            loads: plan.services.iter().map(offered).collect(),
            span,
            script: async_fn(|_| async {}),
        }
    }

    /// The same trial with this script.
    #[must_use]
    pub fn with<F>(mut self, script: impl Fn(Arc<Cell>) -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.script = async_fn(move |(cell, _)| script(cell));
        self
    }

    /// The same trial with this script, which asks the server too.
    #[must_use]
    pub fn hostile<F>(
        mut self,
        script: impl Fn(Arc<Cell>, Server) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.script = async_fn(move |(cell, server)| script(cell, server));
        self
    }

    /// Runs the trial; one row for each kind of request.
    #[must_use]
    pub fn run(&self, name: &str, server: &Server) -> Vec<Row> {
        paused(self.play(name, server))
    }

    async fn play(&self, name: &str, server: &Server) -> Vec<Row> {
        let cell = Cell::new(self.plan.clone());
        let tally = Tally::new(WARM_UP, WARM_UP + self.span);
        let mut loads = JoinSet::new();
        for load in self.loads.iter().cloned() {
            let kind = load.kind;
            let offered = offer(Arc::clone(&cell), server.clone(), load, tally.clone());
            loads.spawn(async move { (kind, offered.await) });
        }
        cell.clock.sleep_until(Time::default() + WARM_UP).await;
        (self.script)((Arc::clone(&cell), server.clone())).await;
        let mut totals: BTreeMap<Kind, Tally> = BTreeMap::new();
        while let Some(Ok((kind, part))) = loads.join_next().await {
            totals
                .entry(kind)
                .or_insert_with(|| tally.clone())
                .add(&part);
        }
        let strain = Strain::of(&cell);
        let notes = cell.notes.lock().unwrap_or_else(PoisonError::into_inner);
        let row = |(kind, tally)| Row {
            case: format!("{} {}", self.name, label(kind)),
            server: name.to_owned(),
            tally,
            strain,
            notes: notes.clone(),
            worst: cell.worst.load(Ordering::Relaxed),
        };
        totals.into_iter().map(row).collect()
    }
}

/// How a service with this many shards is asked.
#[must_use]
pub const fn kind(shards: u16) -> Kind {
    if shards == 0 {
        Kind::Repeatable
    } else {
        Kind::Search
    }
}

const fn label(kind: Kind) -> &'static str {
    match kind {
        Kind::Search => "search",
        Kind::Repeatable => "request",
        Kind::Once => "once",
    }
}
