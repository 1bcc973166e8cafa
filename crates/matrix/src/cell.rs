//! Steps, faults, and the cells that cannot occur, read from the case files.

/// Steps with their kinds.
const STEPS: &str = include_str!("../cases/steps.txt");

/// Cells that cannot occur, with the reason.
const NEVER: &str = include_str!("../cases/never.txt");

/// One step of a request or of a control action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// A caller asks which addresses to use.
    AddressAsked,
    /// An entry accepts the request.
    Accepted,
    /// The request passed admission.
    Admitted,
    /// The calls are planned.
    Planned,
    /// A batch goes to an owner.
    SentToOwner,
    /// A call goes to a target.
    SentToTarget,
    /// A target runs the call.
    Running,
    /// A target's reply is on its way to the owner.
    Replied,
    /// An owner's reply is on its way to the entry.
    Returned,
    /// The replies are merged.
    Merged,
    /// The answer is on its way to the caller.
    Answered,
    /// An operator's write is on its way to the store.
    Written,
    /// The store's answer to a write is on its way back.
    Acknowledged,
    /// A change is on its way to a watcher.
    Watched,
    /// A change is on its way to a node.
    Relayed,
    /// A node has a change in force.
    Adopted,
    /// A first grant is on its way to a node.
    RightTaken,
    /// A later grant is on its way to a node.
    RightRenewed,
    /// A release is on its way to the leader.
    RightReleased,
}

impl Step {
    /// All steps, in the order in which they happen.
    pub const ALL: [Self; 19] = [
        Self::AddressAsked,
        Self::Accepted,
        Self::Admitted,
        Self::Planned,
        Self::SentToOwner,
        Self::SentToTarget,
        Self::Running,
        Self::Replied,
        Self::Returned,
        Self::Merged,
        Self::Answered,
        Self::Written,
        Self::Acknowledged,
        Self::Watched,
        Self::Relayed,
        Self::Adopted,
        Self::RightTaken,
        Self::RightRenewed,
        Self::RightReleased,
    ];

    /// Name as in the case files.
    #[must_use]
    pub fn name(self) -> &'static str {
        let line = rows(STEPS).nth(self as usize);
        line.and_then(|row| row.first().copied()).unwrap_or("?")
    }

    /// Whether the step is part of a control action.
    #[must_use]
    pub fn is_control(self) -> bool {
        self >= Self::Written
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// The message is lost and its connection closed.
    Lost,
    /// The message arrives after the deadline.
    Late,
    /// The message is delivered twice.
    Doubled,
    /// The reply of another request arrives.
    Crossed,
    /// Half of the message arrives.
    Cut,
    /// A target crashes and restarts cold.
    TargetCrash,
    /// A target turns cold without a restart.
    ColdTurn,
    /// A node ends without notice.
    NodeKill,
    /// A node stands still for longer than its rights last.
    NodePause,
    /// The store is down.
    StoreDown,
    /// The store's answers are lost after their calls took effect.
    AnswerLost,
    /// Operators take a failure domain out.
    DomainOut,
    /// A node is shut down gracefully.
    Drain,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 13] = [
        Self::Lost,
        Self::Late,
        Self::Doubled,
        Self::Crossed,
        Self::Cut,
        Self::TargetCrash,
        Self::ColdTurn,
        Self::NodeKill,
        Self::NodePause,
        Self::StoreDown,
        Self::AnswerLost,
        Self::DomainOut,
        Self::Drain,
    ];

    /// Name as in the case files.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Late => "late",
            Self::Doubled => "doubled",
            Self::Crossed => "crossed",
            Self::Cut => "cut",
            Self::TargetCrash => "target-crash",
            Self::ColdTurn => "cold-turn",
            Self::NodeKill => "node-kill",
            Self::NodePause => "node-pause",
            Self::StoreDown => "store-down",
            Self::AnswerLost => "answer-lost",
            Self::DomainOut => "domain-out",
            Self::Drain => "drain",
        }
    }

    /// Whether the fault happens to the message of the step itself.
    #[must_use]
    pub fn is_message(self) -> bool {
        self <= Self::Cut
    }
}

/// One fault at one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// Step.
    pub step: Step,
    /// Fault.
    pub fault: Fault,
}

impl Cell {
    /// Why the cell cannot occur; none when it can.
    #[must_use]
    pub fn never(self) -> Option<&'static str> {
        let names = [self.step.name(), self.fault.name()];
        let row = rows(NEVER).find(|row| row.starts_with(&names))?;
        row.get(2).copied()
    }
}

/// All cells, in the order of the steps.
pub fn cells() -> impl Iterator<Item = Cell> {
    let row = |step| {
        Fault::ALL
            .into_iter()
            .map(move |fault| Cell { step, fault })
    };
    Step::ALL.into_iter().flat_map(row)
}

/// Rows of a case file, split at the bars.
fn rows(text: &'static str) -> impl Iterator<Item = Vec<&'static str>> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(|line| line.split('|').map(str::trim).collect())
}
