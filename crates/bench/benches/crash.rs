//! `crash`: see [`heatherrun_bench::crash`].
//!
//! `cargo bench -p heatherrun-bench --bench crash -- [--seed N] [--secs N] [CASE]`

use std::time::Duration;

use heatherrun_bench::args::Args;
use heatherrun_bench::{crash, run};

/// Seconds measured by default.
const SECS: u64 = 10;

fn main() {
    let args = Args::read(SECS);
    let span = Duration::from_secs(args.secs);
    let _ = run::experiment("crash", &args, &crash::trials(args.seed, span));
}
