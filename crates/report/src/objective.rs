//! The kinds of service-level objective for which events are counted.

use heatherrun_schema::v1;

/// Kind of a service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Objective {
    /// Share of answers within the latency bound.
    Latency,
    /// Share of answers that cover every shard.
    Coverage,
    /// Share of requests that are not refused.
    Served,
}

impl Objective {
    /// All objectives, in display order.
    pub const ALL: [Self; 3] = [Self::Latency, Self::Coverage, Self::Served];

    /// Name in answers of nodes and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Coverage => "coverage",
            Self::Served => "served",
        }
    }

    /// Share of good events that the objective requires, in parts per million;
    /// zero when the objective is not declared.
    #[must_use]
    pub const fn target_ppm(self, objectives: &v1::Objectives) -> u32 {
        match self {
            Self::Latency => objectives.latency_ppm,
            Self::Coverage => objectives.coverage_ppm,
            Self::Served => objectives.served_ppm,
        }
    }
}
