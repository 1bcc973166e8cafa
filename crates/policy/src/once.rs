//! Records of once-only requests: to which query each request id was granted
//! and how the request ended. Each partition of a pooled service has one holder
//! at a time, which keeps the records of that partition.

use std::collections::{BTreeSet, HashMap};

use heatherrun_kernel::control::{Claim, ClaimAnswer, Ending, OutcomeReport};
use heatherrun_kernel::message::{OnceRecord, OnceRecords, OnceState};
use heatherrun_kernel::{Epoch, TargetId};

/// Maximum clock difference between callers and nodes, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 1_000;

/// Maximum number of records of one partition.
const MAX_RECORDS: usize = 20_000;

/// Maximum total size of the answers recorded for one partition, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Times against which a claim is checked, in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTimes {
    /// Current time.
    pub now: u64,
    /// Start of the period for which the holder has records without a gap.
    pub recorded_since: u64,
    /// Time for which an id is remembered, in milliseconds.
    pub window: u64,
}

/// Records of one partition.
#[derive(Debug, Default)]
pub struct Records {
    by_id: HashMap<String, OnceRecord>,
    by_issued: BTreeSet<(u64, String)>,
    answer_bytes: usize,
    forgotten_until: u64,
}

impl Records {
    /// Decides whether the claiming query may run the request. A claim repeated
    /// by the same query is granted again.
    pub fn claim(&mut self, times: ClaimTimes, claim: &Claim) -> ClaimAnswer {
        self.forget_before(times.now.saturating_sub(times.window + MAX_CLOCK_SKEW_MS));
        if claim.issued + times.window < times.now || claim.issued > times.now + MAX_CLOCK_SKEW_MS {
            return ClaimAnswer::TooOld;
        }
        let Some(record) = self.by_id.get_mut(&claim.id) else {
            return self.grant_new(times, claim);
        };
        if record.fingerprint != claim.fingerprint {
            return ClaimAnswer::Conflict;
        }
        match &record.state {
            OnceState::Ran(answer) => ClaimAnswer::Ran(answer.clone()),
            OnceState::Granted if record.claimer == claim.claimer => ClaimAnswer::Granted,
            OnceState::Granted | OnceState::Unknown => ClaimAnswer::Unknown,
            OnceState::NotRun => {
                record.claimer = claim.claimer;
                record.state = OnceState::Granted;
                ClaimAnswer::Granted
            }
        }
    }

    /// Grants an id without a record, provided that no record can be missing:
    /// the id was issued after the start of the records and after any id whose
    /// record was dropped, with a margin for the clock difference.
    fn grant_new(&mut self, times: ClaimTimes, claim: &Claim) -> ClaimAnswer {
        let complete_since = times.recorded_since.max(self.forgotten_until);
        if claim.issued <= complete_since + MAX_CLOCK_SKEW_MS && complete_since > 0 {
            return ClaimAnswer::Unknown;
        }
        self.insert(OnceRecord {
            id: claim.id.clone(),
            issued: claim.issued,
            fingerprint: claim.fingerprint,
            claimer: claim.claimer,
            state: OnceState::Granted,
        });
        ClaimAnswer::Granted
    }

    /// Records how a granted request ended. A report is ignored unless it comes
    /// from the query that holds the grant.
    pub fn record_outcome(&mut self, report: &OutcomeReport) {
        let Some(record) = self.by_id.get_mut(&report.id) else {
            return;
        };
        if record.claimer != report.claimer || record.state != OnceState::Granted {
            return;
        }
        record.state = match &report.end {
            Ending::Ran(answer) => {
                self.answer_bytes += answer.len();
                OnceState::Ran(answer.clone())
            }
            Ending::NotRun => OnceState::NotRun,
            Ending::Unknown => OnceState::Unknown,
        };
        self.evict_excess();
    }

    fn insert(&mut self, record: OnceRecord) {
        self.answer_bytes += answer_len(&record);
        self.by_issued.insert((record.issued, record.id.clone()));
        self.by_id.insert(record.id.clone(), record);
        self.evict_excess();
    }

    /// Drops the oldest records until the rest is within the limits. From then
    /// on, ids issued no later than the dropped ones are answered with
    /// `Unknown`.
    fn evict_excess(&mut self) {
        while self.by_id.len() > MAX_RECORDS || self.answer_bytes > MAX_ANSWER_BYTES {
            let Some((issued, id)) = self.by_issued.pop_first() else {
                return;
            };
            self.remove(&id);
            self.forgotten_until = self.forgotten_until.max(issued);
        }
    }

    /// Drops the records of ids issued before `oldest`. These ids are still
    /// answered with `Unknown` if the window is extended later.
    fn forget_before(&mut self, oldest: u64) {
        if self
            .by_issued
            .first()
            .is_none_or(|(issued, _)| *issued >= oldest)
        {
            return;
        }
        self.forgotten_until = self.forgotten_until.max(oldest);
        while let Some((issued, _)) = self.by_issued.first() {
            if *issued >= oldest {
                return;
            }
            if let Some((_, id)) = self.by_issued.pop_first() {
                self.remove(&id);
            }
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(record) = self.by_id.remove(id) {
            self.answer_bytes -= answer_len(&record);
        }
    }

    /// Copies the records for the next holder of the partition.
    #[must_use]
    pub fn export(&self, unit: TargetId, epoch: Epoch, since: u64) -> OnceRecords {
        OnceRecords {
            unit,
            epoch,
            since: since.max(self.forgotten_until),
            records: self.by_id.values().cloned().collect(),
        }
    }

    /// Adds the records of an earlier holder; existing records are kept.
    pub fn import(&mut self, records: Vec<OnceRecord>) {
        for record in records {
            if !self.by_id.contains_key(&record.id) {
                self.insert(record);
            }
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

fn answer_len(record: &OnceRecord) -> usize {
    match &record.state {
        OnceState::Ran(answer) => answer.len(),
        _ => 0,
    }
}
