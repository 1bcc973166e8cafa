//! Lookup of the team of a key, and what a team changes about the route of its
//! requests.

use std::collections::HashMap;

use heatherrun_kernel::routes::{ApiKey, Name, Route, Team};

/// Index of a team within its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamIx(pub usize);

/// Teams of one configuration by key.
#[derive(Debug, Default)]
pub struct KeyIndex {
    by_key: HashMap<ApiKey, TeamIx>,
    /// Teams of which one has a key that an earlier one has too, in the order
    /// (earlier, later).
    shared: Vec<(TeamIx, TeamIx)>,
}

impl KeyIndex {
    /// Indexes the keys of `teams`. A key of two teams belongs to the first.
    #[must_use]
    pub fn new(teams: &[Team]) -> Self {
        let mut index = Self::default();
        for (ix, team) in teams.iter().enumerate() {
            for key in &team.keys {
                let owner = *index.by_key.entry(key.clone()).or_insert(TeamIx(ix));
                let pair = (owner, TeamIx(ix));
                if owner != TeamIx(ix) && !index.shared.contains(&pair) {
                    index.shared.push(pair);
                }
            }
        }
        index
    }

    /// Team that the key belongs to.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<TeamIx> {
        self.by_key.get(key).copied()
    }

    /// Pairs of teams that share a key.
    #[must_use]
    pub fn shared(&self) -> &[(TeamIx, TeamIx)] {
        &self.shared
    }
}

/// The route for requests of `team`: the team's priority takes precedence, and
/// the regions are those that both allow. `None` if they have none in common.
#[must_use]
pub fn team_route(route: &Route, team: &Team) -> Option<Route> {
    let regions = common_regions(&route.regions, &team.regions)?;
    Some(Route {
        priority: team.priority.unwrap_or(route.priority),
        regions,
        ..route.clone()
    })
}

/// Regions in both lists, of which an empty one allows all; `None` if there are
/// none, since an empty result would allow all.
fn common_regions(a: &[Name], b: &[Name]) -> Option<Vec<Name>> {
    match (a, b) {
        ([], rest) | (rest, []) => Some(rest.to_vec()),
        _ => {
            let common: Vec<_> = a.iter().filter(|r| b.contains(r)).cloned().collect();
            (!common.is_empty()).then_some(common)
        }
    }
}
