//! `overload`: see [`heatherrun_bench::overload`].
//!
//! `cargo bench -p heatherrun-bench --bench overload -- [--seed N] [--secs N] [CASE]`

use std::time::Duration;

use heatherrun_bench::args::Args;
use heatherrun_bench::{overload, run};

/// Seconds that each phase takes by default.
const SECS: u64 = 4;

fn main() {
    let args = Args::read(SECS);
    let span = Duration::from_secs(args.secs);
    let rows = run::experiment("overload", &args, &overload::trials(args.seed, span));
    overload::print_goodput(&rows, span);
}
