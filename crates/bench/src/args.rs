//! Arguments of the experiments: `--seed N`, `--secs N`, `--alone` to leave
//! the baselines out, and words that pick the cases whose name contains them.

/// Arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Seed.
    pub seed: u64,
    /// Seconds of virtual time measured in each run.
    pub secs: u64,
    /// Whether the baselines are left out.
    pub alone: bool,
    /// Only cases that contain this.
    pub only: String,
}

impl Args {
    /// Arguments of this process; what is not known is passed over, since
    /// cargo adds some of its own.
    #[must_use]
    pub fn read(secs: u64) -> Self {
        let mut args = Self {
            seed: 1,
            secs,
            alone: false,
            only: String::new(),
        };
        let mut words = std::env::args().skip(1);
        while let Some(word) = words.next() {
            match word.as_str() {
                "--seed" => args.seed = number(words.next(), args.seed),
                "--secs" => args.secs = number(words.next(), args.secs),
                "--alone" => args.alone = true,
                other if other.starts_with('-') => {}
                other => other.clone_into(&mut args.only),
            }
        }
        args
    }

    /// Whether the case is wanted.
    #[must_use]
    pub fn wants(&self, case: &str) -> bool {
        case.contains(&self.only)
    }
}

fn number(word: Option<String>, otherwise: u64) -> u64 {
    word.and_then(|w| w.parse().ok()).unwrap_or(otherwise)
}
