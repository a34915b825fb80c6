//! From whom the next chunk of an image is taken: other agents, the best first,
//! and the origin when they don't get on. Pure: times come in, in seconds.

use std::net::SocketAddr;

use sorrelhinge_protocol::types::Time;

/// The first wait after a failure, in seconds; each further one doubles it.
const FIRST_RETRY_S: f64 = 0.5;
/// The longest wait after a failure, in seconds.
const MAX_RETRY_S: f64 = 15.0;
/// The wait where a source said that it has none of it, in seconds: its own
/// fetch has not begun, since its start is still on its way.
const NOT_YET_THERE_RETRY_S: f64 = 1.0;
/// Failures in a row after which the origin counts as gone if nobody else is.
pub const MAX_ORIGIN_FAILURES: u32 = 8;

/// Who is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// Another agent.
    Agent(SocketAddr),
    /// The origin.
    Origin,
}

/// What became of a request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It came, and was right.
    Right,
    /// Not there yet, or no slot free: again after so many seconds.
    NotYet(f64),
    /// The source knows nothing of the image.
    Nothing,
    /// It was cut, too slow, or no answer came.
    Failed,
    /// The bytes were not the chunk's, or the source refuses us.
    Wrong,
}

/// Why a fetch is given up.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum GiveUpReason {
    /// Everyone was dropped.
    #[error("nobody has it: not the origin, and no agent that was named")]
    NobodyLeft,
    /// Only the origin is left, and it failed again and again.
    #[error("the origin failed {MAX_ORIGIN_FAILURES} times in a row")]
    OriginFailed,
    /// Nobody has given anything for too long.
    #[error("nobody has given a chunk for {patience_s} s")]
    NothingCame {
        /// How long, in seconds.
        patience_s: f64,
    },
}

#[derive(Clone, Debug)]
struct Source {
    whom: Whom,
    busy: bool,
    rests_until: Time,
    failures: u32,
    /// How often in a row it gave nothing, for whatever reason.
    empty: u32,
    dropped: bool,
}

/// The sources of one fetch.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Agents in their order, then the origin.
    all: Vec<Source>,
    /// When a chunk last came from an agent.
    agents_gave: Time,
    /// When one last came from anyone.
    gave: Time,
    /// How long agents may give nothing before the origin is asked.
    origin_after_s: f64,
    /// The part of that wait which is drawn: hundreds that lose the same seed
    /// must not ask the origin at the same moment.
    drawn: f64,
}

impl Sources {
    /// The agents of a start, the best first; the origin is asked once they
    /// have given nothing for `origin_after_s` and up to as long again (`drawn`,
    /// from 0 to 1), or at once if there are none.
    pub fn new(
        agents: impl IntoIterator<Item = SocketAddr>,
        origin_after_s: f64,
        drawn: f64,
        now: Time,
    ) -> Self {
        let mut sources = Self {
            all: vec![Source::new(Whom::Origin, now)],
            agents_gave: now,
            gave: now,
            origin_after_s,
            drawn,
        };
        sources.add(agents, now);
        sources
    }

    /// More agents, of a later start: behind those that are known.
    pub fn add(&mut self, agents: impl IntoIterator<Item = SocketAddr>, now: Time) {
        for agent in agents {
            let whom = Whom::Agent(agent);
            if !self.all.iter().any(|s| s.whom == whom) {
                let last = self.all.len() - 1;
                self.all.insert(last, Source::new(whom, now));
            }
        }
    }

    /// All agents in their order, also those that are dropped.
    pub fn all_agents(&self) -> Vec<SocketAddr> {
        let agents = self.all.iter().filter_map(Source::agent);
        agents.collect()
    }

    /// Agents that are not dropped, in their order.
    pub fn agents(&self) -> Vec<SocketAddr> {
        let agents = self.all.iter().filter(|s| !s.dropped);
        agents.filter_map(Source::agent).collect()
    }

    /// Who is to be asked next, if anyone may be now. Each has one request at a
    /// time.
    pub fn pick(&mut self, now: Time) -> Option<Whom> {
        let origin = self.origin_is_due(now);
        let free = |s: &&mut Source| !s.busy && !s.dropped && now >= s.rests_until;
        let may = self.all.iter_mut().filter(free);
        let may = may.filter(|s| origin || s.whom != Whom::Origin);
        // In their order, but for those that gave nothing lately: two that say
        // `not yet` after a wait, again and again, would keep all lanes busy,
        // and one behind them that has everything would never be asked.
        let picked = may.min_by_key(|s| s.empty)?;
        picked.busy = true;
        Some(picked.whom)
    }

    /// Whether the origin may be asked: agents have given nothing for long enough.
    fn origin_is_due(&self, now: Time) -> bool {
        let waited = now.since(self.agents_gave);
        self.agents().is_empty() || waited >= self.origin_after_s * (1.0 + self.drawn)
    }

    /// A request is over, and its source may be asked again: before what came is
    /// checked and written, so that its line never idles meanwhile. What became
    /// of it follows in [`Self::came`].
    pub fn over(&mut self, whom: Whom) {
        if let Some(source) = self.all.iter_mut().find(|s| s.whom == whom) {
            source.busy = false;
        }
    }

    /// What became of a request; `jitter`, from 0 to 1, spreads what is asked
    /// again.
    pub fn came(&mut self, whom: Whom, outcome: Outcome, jitter: f64, now: Time) {
        let Some(source) = self.all.iter_mut().find(|s| s.whom == whom) else {
            return;
        };
        source.empty += 1;
        let spread = 0.5 + jitter;
        let rest = match outcome {
            Outcome::Right => {
                source.failures = 0;
                source.empty = 0;
                self.gave = now;
                if whom != Whom::Origin {
                    self.agents_gave = now;
                }
                return;
            }
            Outcome::Wrong => {
                source.dropped = true;
                return;
            }
            Outcome::NotYet(after_s) => after_s.clamp(0.05, MAX_RETRY_S) * spread,
            Outcome::Nothing if whom != Whom::Origin => NOT_YET_THERE_RETRY_S * spread,
            Outcome::Nothing => {
                source.dropped = true;
                return;
            }
            Outcome::Failed => {
                source.failures += 1;
                let doubled = FIRST_RETRY_S * f64::from(1 << (source.failures - 1).min(10));
                doubled.min(MAX_RETRY_S) * spread
            }
        };
        source.rests_until = now.after(rest);
    }

    /// Why the fetch is to be given up, if it is: nobody is left, or nobody has
    /// given anything for `patience_s`.
    pub fn abort_reason(&self, patience_s: f64, now: Time) -> Option<GiveUpReason> {
        if self.all.iter().all(|s| s.dropped) {
            return Some(GiveUpReason::NobodyLeft);
        }
        let origin = self.all.last();
        let tried = origin.is_some_and(|o| o.failures >= MAX_ORIGIN_FAILURES);
        if tried && self.agents().is_empty() {
            return Some(GiveUpReason::OriginFailed);
        }
        (now.since(self.gave) > patience_s).then_some(GiveUpReason::NothingCame { patience_s })
    }
}

impl Source {
    fn agent(&self) -> Option<SocketAddr> {
        match self.whom {
            Whom::Agent(agent) => Some(agent),
            Whom::Origin => None,
        }
    }

    fn new(whom: Whom, now: Time) -> Self {
        Self {
            whom,
            busy: false,
            rests_until: now,
            failures: 0,
            empty: 0,
            dropped: false,
        }
    }
}
