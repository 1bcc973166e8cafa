//! Operator call that lists and clears the marks of requests suspected of
//! crashing targets.

use heatherrun_schema::{CallError, v1};

use crate::node::Node;

/// Fingerprints are written in hexadecimal.
const FINGERPRINT_RADIX: u32 = 16;

impl Node {
    /// Lists the marks that have not expired, after clearing the fingerprint
    /// in the request, if there is one.
    ///
    /// # Errors
    /// [`CallError::Refused`] when the fingerprint is malformed.
    pub fn marks_answer(&self, request: &v1::MarksRequest) -> Result<v1::MarksAnswer, CallError> {
        let suspects = self.owner.suspects();
        let cleared = match request.clear.as_str() {
            "" => false,
            text => {
                let fingerprint = parse_fingerprint(text)?;
                let known = suspects.list().iter().any(|m| m.fingerprint == fingerprint);
                // An unknown fingerprint is cleared too: peers may know its
                // marks and not have propagated them to this node yet.
                suspects.clear(fingerprint);
                known
            }
        };
        let mark = |m: heatherrun_policy::marks::MarkedFingerprint| v1::Mark {
            fingerprint: format!("{:016x}", m.fingerprint),
            crashes: u32::try_from(m.crashes).unwrap_or(u32::MAX),
            age_ms: u64::try_from(m.age.as_millis()).unwrap_or(u64::MAX),
        };
        Ok(v1::MarksAnswer {
            marks: suspects.list().into_iter().map(mark).collect(),
            cleared,
        })
    }
}

fn parse_fingerprint(text: &str) -> Result<u64, CallError> {
    u64::from_str_radix(text, FINGERPRINT_RADIX).map_err(|_| {
        CallError::Refused(format!(
            "{text:?} is not a fingerprint; copy it from `heatherrun marks`"
        ))
    })
}
