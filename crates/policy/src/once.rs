//! Records of once-only requests: who was granted which id, and how it ended.
//! One partition of a pooled service is kept by one holder at a time.

use std::collections::{BTreeSet, HashMap};

use heatherrun_kernel::control::{Claim, ClaimAnswer, Ending, Settle};
use heatherrun_kernel::message::{OnceRecord, OnceRecords, OnceState};
use heatherrun_kernel::{Epoch, TargetId};

/// Largest difference between the clocks of callers and nodes, in
/// milliseconds.
pub const SKEW_MS: u64 = 1_000;

/// Records kept of one partition.
const MOST_RECORDS: usize = 20_000;

/// Bytes of answers kept of one partition.
const MOST_BYTES: usize = 4 << 20;

/// Times that bound a claim, in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// The present.
    pub now: u64,
    /// Since when the holder keeps records without a gap.
    pub since: u64,
    /// Window in which an id is remembered, in milliseconds.
    pub window: u64,
}

/// Records of one partition.
#[derive(Debug, Default)]
pub struct Records {
    by_id: HashMap<String, OnceRecord>,
    by_age: BTreeSet<(u64, String)>,
    bytes: usize,
    floor: u64,
}

impl Records {
    /// Answers a claim.
    pub fn claim(&mut self, times: Times, claim: &Claim) -> ClaimAnswer {
        self.forget(times.now.saturating_sub(times.window + SKEW_MS));
        if claim.issued + times.window < times.now || claim.issued > times.now + SKEW_MS {
            return ClaimAnswer::TooOld;
        }
        let Some(known) = self.by_id.get_mut(&claim.id) else {
            return self.grant_new(times, claim);
        };
        if known.print != claim.print {
            return ClaimAnswer::Conflict;
        }
        match &known.state {
            OnceState::Ran(answer) => ClaimAnswer::Ran(answer.clone()),
            OnceState::Granted if known.by == claim.by => ClaimAnswer::Granted,
            OnceState::Granted | OnceState::Unknown => ClaimAnswer::Unknown,
            OnceState::NotRun => {
                known.by = claim.by;
                known.state = OnceState::Granted;
                ClaimAnswer::Granted
            }
        }
    }

    /// An id without a record was not granted before, if it was issued after
    /// the records began.
    fn grant_new(&mut self, times: Times, claim: &Claim) -> ClaimAnswer {
        let began = times.since.max(self.floor);
        if claim.issued <= began + SKEW_MS && began > 0 {
            return ClaimAnswer::Unknown;
        }
        self.add(OnceRecord {
            id: claim.id.clone(),
            issued: claim.issued,
            print: claim.print,
            by: claim.by,
            state: OnceState::Granted,
        });
        ClaimAnswer::Granted
    }

    /// Notes how a granted request ended; an end told by another than the
    /// last claimer is passed over.
    pub fn settle(&mut self, settle: &Settle) {
        let Some(known) = self.by_id.get_mut(&settle.id) else {
            return;
        };
        if known.by != settle.by || known.state != OnceState::Granted {
            return;
        }
        known.state = match &settle.end {
            Ending::Ran(answer) => {
                self.bytes += answer.len();
                OnceState::Ran(answer.clone())
            }
            Ending::NotRun => OnceState::NotRun,
            Ending::Unknown => OnceState::Unknown,
        };
        self.bound();
    }

    fn add(&mut self, record: OnceRecord) {
        self.bytes += answer_bytes(&record);
        self.by_age.insert((record.issued, record.id.clone()));
        self.by_id.insert(record.id.clone(), record);
        self.bound();
    }

    /// Drops the oldest records past the bounds; ids as old as these are
    /// unknown from then on.
    fn bound(&mut self) {
        while self.by_id.len() > MOST_RECORDS || self.bytes > MOST_BYTES {
            let Some((issued, id)) = self.by_age.pop_first() else {
                return;
            };
            self.drop_record(&id);
            self.floor = self.floor.max(issued);
        }
    }

    /// Forgets records of ids issued before `oldest`; these ids stay unknown
    /// also when the window is made longer.
    fn forget(&mut self, oldest: u64) {
        if self
            .by_age
            .first()
            .is_none_or(|(issued, _)| *issued >= oldest)
        {
            return;
        }
        self.floor = self.floor.max(oldest);
        while let Some((issued, _)) = self.by_age.first() {
            if *issued >= oldest {
                return;
            }
            if let Some((_, id)) = self.by_age.pop_first() {
                self.drop_record(&id);
            }
        }
    }

    fn drop_record(&mut self, id: &str) {
        if let Some(record) = self.by_id.remove(id) {
            self.bytes -= answer_bytes(&record);
        }
    }

    /// Copies the records for the next holder.
    #[must_use]
    pub fn export(&self, unit: TargetId, epoch: Epoch, since: u64) -> OnceRecords {
        OnceRecords {
            unit,
            epoch,
            since: since.max(self.floor),
            records: self.by_id.values().cloned().collect(),
        }
    }

    /// Takes records of an earlier holder; what is known here stays.
    pub fn import(&mut self, records: Vec<OnceRecord>) {
        for record in records {
            if !self.by_id.contains_key(&record.id) {
                self.add(record);
            }
        }
    }

    /// Records kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no record is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

fn answer_bytes(record: &OnceRecord) -> usize {
    match &record.state {
        OnceState::Ran(answer) => answer.len(),
        _ => 0,
    }
}
