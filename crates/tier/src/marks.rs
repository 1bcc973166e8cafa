//! The operators' view of requests suspected of crashing targets.

use heatherrun_schema::{CallError, v1};

use crate::node::Node;

/// Digits of a fingerprint are hexadecimal.
const RADIX: u32 = 16;

impl Node {
    /// Lists the marks that count, after clearing the one asked for.
    ///
    /// # Errors
    /// [`CallError::Refused`] when the fingerprint is malformed.
    pub fn marks_answer(&self, request: &v1::MarksRequest) -> Result<v1::MarksAnswer, CallError> {
        let suspects = self.owner.suspects();
        let cleared = match request.clear.as_str() {
            "" => false,
            text => {
                let print = parse(text)?;
                let known = suspects.list().iter().any(|m| m.print == print);
                // An unknown fingerprint is cleared too: its marks may be on the way here.
                suspects.clear(print);
                known
            }
        };
        let mark = |m: heatherrun_policy::marks::Marked| v1::Mark {
            fingerprint: format!("{:016x}", m.print),
            crashes: u32::try_from(m.crashes).unwrap_or(u32::MAX),
            age_ms: u64::try_from(m.age.as_millis()).unwrap_or(u64::MAX),
        };
        Ok(v1::MarksAnswer {
            marks: suspects.list().into_iter().map(mark).collect(),
            cleared,
        })
    }
}

fn parse(text: &str) -> Result<u64, CallError> {
    u64::from_str_radix(text, RADIX).map_err(|_| {
        CallError::Refused(format!(
            "{text:?} is no fingerprint; copy it from `heatherrun marks`"
        ))
    })
}
