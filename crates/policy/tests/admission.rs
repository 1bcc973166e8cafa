//! Admission at the entry under load.

use heatherrun_kernel::Time;
use heatherrun_kernel::message::Class;
use heatherrun_policy::admission::Admission;
use heatherrun_policy::answer::Strain;

const PLACES: u32 = 100;

/// Notes `count` requests, of which every `nth` lost a part, one each 10 ms,
/// beside 40 in work.
fn places_after(count: u64, nth: u64) -> u32 {
    let admission = Admission::new(PLACES);
    let _work: Vec<_> = (0..40).map(|_| admission.enter(Class::Urgent)).collect();
    for n in 1..=count {
        let strain = if n % nth == 0 {
            Strain::Part
        } else {
            Strain::None
        };
        admission.note(Time::from_millis(n * 10), strain);
    }
    admission.places()
}

#[test]
fn admission_many_lost_parts_close_places() {
    let left = places_after(100, 2);
    assert!(left < 40, "{left} places past what targets bear");
}

#[test]
fn admission_single_lost_parts_close_nothing() {
    assert_eq!(places_after(100, 20), PLACES, "one slow replica");
}

#[test]
fn admission_refusal_for_load_closes_places_at_once() {
    let admission = Admission::new(PLACES);
    let _work: Vec<_> = (0..40).map(|_| admission.enter(Class::Urgent)).collect();
    admission.note(Time::from_millis(1), Strain::Refused);
    assert!(admission.places() < 40);
}
