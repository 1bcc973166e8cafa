//! `cold`: see [`heatherrun_bench::cold`].
//!
//! `cargo bench -p heatherrun-bench --bench cold -- [--seed N] [--secs N] [CASE]`

use std::time::Duration;

use heatherrun_bench::args::Args;
use heatherrun_bench::{cold, run};

/// Seconds measured by default.
const SECS: u64 = 10;

fn main() {
    let args = Args::read(SECS);
    let span = Duration::from_secs(args.secs);
    let _ = run::experiment("cold", &args, &cold::trials(args.seed, span));
}
