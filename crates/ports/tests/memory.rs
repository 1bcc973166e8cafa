//! The division of a process's memory and descriptors, and what is counted.

use heatherrun_ports::memory::{Division, MemoryBudget, MemoryGrant};
use proptest::prelude::*;

/// Memory that one connection may take besides what is counted, in bytes.
const CONNECTION_BYTES: usize = 48 * 1_024;

/// Descriptors that are kept free of sockets.
const RESERVED_FDS: usize = 200;

proptest! {
    /// A third of the memory and a sixth of the descriptors stay for the rest.
    #[test]
    fn division_fits_the_process(memory_mb in 64_u32..100_000, max_fds in 256_u32..1_000_000) {
        let division = Division::new(memory_mb, max_fds);
        let memory = memory_mb as usize * 1_000_000;
        let held = division.bodies + division.replies + division.callers * CONNECTION_BYTES;
        prop_assert!(held * 3 <= memory * 2);
        let sockets = division.callers + division.peers + division.lookups + 2 * division.checks;
        prop_assert!(sockets * 6 <= (max_fds as usize - RESERVED_FDS) * 5);
        prop_assert!(division.checks >= 1);
    }

    /// What is granted never exceeds the limit, and returns when it is dropped.
    #[test]
    fn budget_grants_no_more_than_its_limit(limit in 0_usize..1 << 20, sizes in prop::collection::vec(1_usize..1 << 18, 1..40)) {
        let budget = MemoryBudget::new(limit);
        let mut grants = Vec::new();
        for bytes in sizes {
            let mut grant = MemoryGrant::new(&budget);
            let covers = grant.cover(bytes);
            prop_assert_eq!(covers, grant.bytes() >= bytes);
            grants.push(grant);
            prop_assert!(budget.granted() <= limit);
            let granted: usize = grants.iter().map(MemoryGrant::bytes).sum();
            prop_assert_eq!(budget.granted(), granted);
        }
        drop(grants);
        prop_assert_eq!(budget.granted(), 0);
    }
}

#[test]
fn grant_is_held_until_the_last_copy() {
    let budget = MemoryBudget::new(1 << 20);
    let mut grant = MemoryGrant::new(&budget);
    assert!(grant.cover(100_000));
    let granted = grant.bytes();
    let body = grant.hold(vec![1; 100_000]);
    let part = body.slice(5..7);
    drop(body);
    assert_eq!(budget.granted(), granted);
    drop(part);
    assert_eq!(budget.granted(), 0);
}

#[test]
fn grant_under_a_lower_limit_stays_and_does_not_grow() {
    let budget = MemoryBudget::new(1 << 20);
    let mut grant = MemoryGrant::new(&budget);
    assert!(grant.cover(1 << 19));
    budget.set_limit(1 << 18);
    assert!(grant.cover(1 << 19));
    assert!(!grant.cover(1 << 20));
    assert_eq!(grant.bytes(), 1 << 19);
    grant.shrink(1);
    assert_eq!(budget.granted(), grant.bytes());
    assert!(grant.bytes() < 1 << 18);
}
