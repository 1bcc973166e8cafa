//! Writes the burn page of one made-up day to the file named, or to standard
//! output: `cargo run -p heatherrun-report --example burn_page -- burn.html`.

use std::time::Duration;

use heatherrun_kernel::registry;
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ServiceId, Time};
use heatherrun_report::{Blame, Event, Objective, Recorder};
use heatherrun_schema::v1;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 11;

/// Minutes that the made-up node has been counting.
const MINUTES: u64 = 26 * 60;

/// Requests of one service in one minute.
const REQUESTS: u32 = 60;

fn service(name: &str, sharded: bool) -> Service {
    Service {
        id: ServiceId::from_name(name),
        name: name.to_owned(),
        sharded,
        shards: Vec::new(),
        map: MapRev(1),
        limits: v1::Limits::default(),
        objectives: v1::Objectives {
            latency_ms: 110,
            latency_ppm: 990_000,
            coverage_ppm: 999_000,
            served_ppm: 999_000,
        },
    }
}

/// Time of the request in the middle of a minute.
const fn at(minute: u64) -> Time {
    Time::from_millis(minute * 60_000 + 30_000)
}

fn blame(objective: Objective, domain: &str, target: &str, cause: &str) -> Blame {
    Blame {
        objective,
        domain: domain.to_owned(),
        target: target.to_owned(),
        cause: cause.to_owned(),
    }
}

/// One minute of requests, of which `slow` and `holes` per thousand are bad.
fn minute(recorder: &Recorder, service: &Service, now: Time, bad: (u32, u32), rng: &mut SmallRng) {
    let (slow, holes) = bad;
    for _ in 0..REQUESTS {
        let is_slow = rng.random_range(0..1_000) < slow;
        let whole = rng.random_range(0..1_000) >= holes;
        let millis = if is_slow {
            180
        } else {
            rng.random_range(20..100)
        };
        let took = Duration::from_millis(millis);
        recorder.record(now, service, Event::Answered { took, whole });
        let target = format!("{}-{}-ticino", service.name, rng.random_range(0..3));
        if is_slow {
            let missed = blame(Objective::Latency, "ticino", &target, "straggler");
            recorder.blame(now, service, missed);
        }
        if !whole && service.sharded {
            let target = target.replace("ticino", "zurich");
            let missed = blame(Objective::Coverage, "zurich", &target, "connection-lost");
            recorder.blame(now, service, missed);
        }
    }
    if rng.random_range(0..1_000) < 30 {
        recorder.record(now, service, Event::Refused);
        let missed = blame(Objective::Served, "", "", "overloaded");
        recorder.blame(now, service, missed);
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let recorder = Recorder::default();
    let services = [
        service("buyer-desk", true),
        service("grower-portal", true),
        service("lot-viewer", false),
    ];
    for now in 0..MINUTES {
        // A failure domain is slow for the last hour, another one lost shards in the night.
        let slow = if now + 70 > MINUTES { 260 } else { 4 };
        let holes = if (600..660).contains(&now) { 60 } else { 0 };
        minute(&recorder, &services[0], at(now), (slow, holes), &mut rng);
        minute(&recorder, &services[1], at(now), (3, holes / 2), &mut rng);
        minute(&recorder, &services[2], at(now), (2, 0), &mut rng);
    }
    let now = at(MINUTES - 1);
    let burn = v1::BurnAnswer {
        services: services.iter().map(|s| recorder.burn(now, s)).collect(),
        nodes: vec![v1::BurnNode {
            name: "entry-1".to_owned(),
            covered_secs: MINUTES * 60,
        }],
        uncounted: Vec::new(),
    };
    match std::env::args().nth(1) {
        Some(file) => std::fs::write(file, registry::report("html")?(&burn))?,
        None => print!("{}", registry::report("table")?(&burn)),
    }
    Ok(())
}
