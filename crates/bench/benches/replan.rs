//! `replan`: see [`heatherrun_bench::replan`].
//!
//! `cargo bench -p heatherrun-bench --bench replan -- [--seed N] [--secs N] [CASE]`

use std::time::Duration;

use heatherrun_bench::args::Args;
use heatherrun_bench::{replan, run};

/// Seconds measured by default.
const SECS: u64 = 10;

fn main() {
    let args = Args::read(SECS);
    let span = Duration::from_secs(args.secs);
    let _ = run::experiment("replan", &args, &replan::trials(args.seed, span));
}
