//! Commands to try while the tier stays up.

use heatherrun_standins::local::LocalTier;

use crate::{DOMAIN, POOLED, SHARDED};

/// Prints commands that name the ports in use.
pub fn print(tier: &LocalTier) {
    let (one, two) = (&tier.nodes[0], &tier.nodes[1]);
    println!("\nThe tier stays up until Ctrl-C. As a caller:");
    println!(
        "  curl -s 'http://{}/addresses?service={SHARDED}'",
        one.callers
    );
    println!(
        "  curl -s http://{}/search -d '{{\"service\":\"{SHARDED}\",\"query\":\"kernels\",\"id\":\"try-1\"}}'",
        one.callers
    );
    println!(
        "  curl -s http://{}/request -d '{{\"service\":\"{POOLED}\",\"body\":\"lot 4711\"}}'",
        two.callers
    );
    println!(
        "  curl -s http://{}/request -d \"{{\\\"service\\\":\\\"{POOLED}\\\",\\\"body\\\":\\\"receipt\\\",\\\"once\\\":true,\\\"id\\\":\\\"$(date +%s%3N)-a1\\\"}}\"",
        two.callers
    );
    println!(
        "  curl -s http://{}/search -d '{{\"service\":\"{SHARDED}\",\"deadline_ms\":0}}'",
        one.callers
    );
    println!("As an operator:");
    let run = format!(
        "cargo run -q --release --bin heatherrun -- --node {}",
        one.operators
    );
    for command in [
        "status".to_owned(),
        "targets".to_owned(),
        "explain try-1".to_owned(),
        format!("domain out {DOMAIN} --dry-run"),
        format!("domain out {DOMAIN}"),
        format!("domain in {DOMAIN}"),
        "history".to_owned(),
        "drain entry-2".to_owned(),
    ] {
        println!("  {run} {command}");
    }
}
