//! The answer to "which address": nodes that serve a service, weighted.

use heatherrun_kernel::View;
use heatherrun_kernel::view::Standing;
use heatherrun_schema::v1;

/// Addresses for callers, without nodes that are leaving or silent.
#[must_use]
pub fn addresses(view: &View, keep_secs: u32) -> v1::AddressesAnswer {
    let mut answer = v1::AddressesAnswer {
        addresses: Vec::new(),
        keep_secs,
    };
    for member in view.nodes.values() {
        if member.standing != Standing::Live || view.out.contains(&member.info.domain) {
            continue;
        }
        let domain = view
            .domains
            .iter()
            .find(|d| heatherrun_kernel::DomainId::of(&d.name) == member.info.domain);
        answer.addresses.push(v1::WeightedAddress {
            address: member.info.callers.to_string(),
            domain: domain.map(|d| d.name.clone()).unwrap_or_default(),
            weight: u32::from(100 - member.load.min(99)),
        });
    }
    answer
}
