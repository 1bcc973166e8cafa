//! Tests of admission control at the entry under load.

use heatherrun_kernel::Time;
use heatherrun_kernel::message::Class;
use heatherrun_policy::admission::Admission;
use heatherrun_policy::answer::LoadImpact;

const PLACES: u32 = 100;

/// Returns the open places after `count` requests, 10 ms apart, of which every
/// `nth` got a partial answer, while 40 others are in progress.
fn open_places_after(count: u64, nth: u64) -> u32 {
    let admission = Admission::new(PLACES);
    let _occupied: Vec<_> = (0..40)
        .map(|_| admission.try_enter(Class::Urgent))
        .collect();
    for n in 1..=count {
        let impact = if n % nth == 0 {
            LoadImpact::Partial
        } else {
            LoadImpact::None
        };
        admission.record_impact(Time::from_millis(n * 10), impact);
    }
    admission.open_places()
}

#[test]
fn admission_frequent_partial_answers_close_places() {
    let places = open_places_after(100, 2);
    assert!(places < 40, "{places} places despite overloaded targets");
}

#[test]
fn admission_rare_partial_answers_close_none() {
    assert_eq!(
        open_places_after(100, 20),
        PLACES,
        "a single slow replica must close no places"
    );
}

#[test]
fn admission_overload_refusal_closes_places_immediately() {
    let admission = Admission::new(PLACES);
    let _occupied: Vec<_> = (0..40)
        .map(|_| admission.try_enter(Class::Urgent))
        .collect();
    admission.record_impact(Time::from_millis(1), LoadImpact::Refused);
    assert!(admission.open_places() < 40);
}
