//! `tail`: see [`heatherrun_bench::tail`].
//!
//! `cargo bench -p heatherrun-bench --bench tail -- [--seed N] [--secs N] [CASE]`

use std::time::Duration;

use heatherrun_bench::args::Args;
use heatherrun_bench::{run, tail};

/// Seconds measured by default.
const SECS: u64 = 10;

fn main() {
    let args = Args::read(SECS);
    let span = Duration::from_secs(args.secs);
    let _ = run::experiment("tail", &args, &tail::trials(args.seed, span));
}
