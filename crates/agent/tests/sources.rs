//! Sources of an image that fail in generated ways, in virtual time: a fetch
//! comes to its end if anybody can give it, agents spare the origin, and nobody
//! is asked what he must not be. And by single steps: who is asked next, and when a
//! fetch is given up.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use sorrelhinge_agent::sources::{GiveUpReason, Outcome, Sources, Whom, MAX_ORIGIN_FAILURES};
use sorrelhinge_protocol::types::Time;

const CHUNKS: usize = 12;
const STEP_S: f64 = 0.05;
const ORIGIN_AFTER_S: f64 = 10.0;
const PATIENCE_S: f64 = 60.0;
const LANES: usize = 2;

/// What a source does with every request: after so many seconds, this.
#[derive(Clone, Copy, Debug)]
struct Kind {
    takes_s: f64,
    /// Before this it knows nothing of the image.
    from_s: f64,
    gives: Outcome,
}

impl Kind {
    fn at(&self, now: f64) -> Outcome {
        match self.gives {
            Outcome::Right if now < self.from_s => Outcome::Nothing,
            gives => gives,
        }
    }
    fn good(&self) -> bool {
        self.gives == Outcome::Right
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    let gives = prop_oneof![
        4 => Just(Outcome::Right),
        1 => Just(Outcome::NotYet(1.0)),
        1 => Just(Outcome::Nothing),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Wrong),
    ];
    let from = prop_oneof![Just(0.0), 0.0..20.0_f64];
    (0.05..3.0_f64, from, gives).prop_map(|(takes_s, from_s, gives)| Kind {
        takes_s,
        from_s,
        gives,
    })
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n as u16 + 1))
}

/// A chunk that was asked for.
#[derive(Clone, Copy)]
struct Request {
    whom: Whom,
    chunk: usize,
    /// When its outcome comes, in seconds.
    ends: f64,
}

/// Who was asked, and when, in seconds.
struct Asked {
    whom: Whom,
    at: f64,
}

/// A fetch in virtual time.
struct Fetch {
    agents: Vec<Kind>,
    origin: Kind,
    sources: Sources,
    missing: BTreeSet<usize>,
    lanes: Vec<Option<Request>>,
    asked: Vec<Asked>,
}

impl Fetch {
    fn new(agents: Vec<Kind>, origin: Kind, drawn: f64) -> Self {
        let all = (0..agents.len()).map(address);
        Self {
            sources: Sources::new(all, ORIGIN_AFTER_S, drawn, Time(0.0)),
            agents,
            origin,
            missing: (0..CHUNKS).collect(),
            lanes: vec![None; LANES],
            asked: Vec::new(),
        }
    }

    fn kind(&self, whom: Whom) -> Kind {
        match whom {
            Whom::Agent(agent) => self.agents[usize::from(agent.port()) - 1],
            Whom::Origin => self.origin,
        }
    }

    /// The outcome of a lane's request, if it is there.
    fn receive(&mut self, lane: usize, jitter: f64, now: f64) {
        let Some(request) = self.lanes[lane].filter(|request| request.ends <= now) else {
            return;
        };
        self.lanes[lane] = None;
        let outcome = self.kind(request.whom).at(now);
        if outcome == Outcome::Right {
            self.missing.remove(&request.chunk);
        }
        self.sources.over(request.whom);
        self.sources.came(request.whom, outcome, jitter, Time(now));
    }

    /// A lane that is free asks for the next chunk, if anyone may be asked: nobody is
    /// asked two things at once.
    fn ask(&mut self, lane: usize, now: f64) -> Result<(), TestCaseError> {
        let flying = |c: &usize| self.lanes.iter().flatten().any(|l| l.chunk == *c);
        let Some(chunk) = self.missing.iter().copied().find(|c| !flying(c)) else {
            return Ok(());
        };
        if self.lanes[lane].is_some() {
            return Ok(());
        }
        if let Some(whom) = self.sources.pick(Time(now)) {
            let twice = self.lanes.iter().flatten().any(|l| l.whom == whom);
            prop_assert!(!twice, "{whom:?} is asked two things at once");
            self.asked.push(Asked { whom, at: now });
            let ends = now + self.kind(whom).takes_s;
            self.lanes[lane] = Some(Request { whom, chunk, ends });
        }
        Ok(())
    }

    /// To its end: why it was given up, and when, in seconds.
    fn run(&mut self, jitters: &[f64]) -> Result<(Option<GiveUpReason>, f64), TestCaseError> {
        let (mut now, mut abort_reason, mut steps) = (0.0, None, 0);
        while !self.missing.is_empty() && abort_reason.is_none() {
            for lane in 0..LANES {
                self.receive(lane, jitters[steps % jitters.len()], now);
                self.ask(lane, now)?;
            }
            steps += 1;
            now = steps as f64 * STEP_S;
            abort_reason = self.sources.abort_reason(PATIENCE_S, Time(now));
        }
        Ok((abort_reason, now))
    }

    fn count(&self, whom: Whom) -> usize {
        self.asked.iter().filter(|a| a.whom == whom).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn a_fetch_ends_well_if_anybody_has_it(
        agents in prop::collection::vec(kind(), 0..5),
        origin in kind(),
        drawn in 0.0..1.0_f64,
        jitters in prop::collection::vec(0.0..1.0_f64, 7),
    ) {
        // The origin has an image from the beginning or not at all.
        let origin = Kind { from_s: 0.0, ..origin };
        let mut fetch = Fetch::new(agents, origin, drawn);
        let (abort_reason, now) = fetch.run(&jitters)?;
        let agents = &fetch.agents;
        let good = origin.good() || agents.iter().any(Kind::good);
        prop_assert_eq!(fetch.missing.is_empty(), good, "{:?} after {} s", abort_reason, now);
        for (n, kind) in agents.iter().enumerate() {
            let times = fetch.count(Whom::Agent(address(n)));
            prop_assert!(kind.gives != Outcome::Wrong || times <= 1, "wrong, asked {times} times");
        }
        // One that gives from the beginning leaves the origin alone, whatever
        // the others do.
        if agents.iter().any(|k| k.good() && k.from_s == 0.0) {
            prop_assert_eq!(fetch.count(Whom::Origin), 0);
        }
        // With agents that may still have it the origin is not asked at once.
        let first = fetch.asked.iter().find(|a| a.whom == Whom::Origin);
        let others = agents.iter().any(|k| k.gives != Outcome::Wrong);
        if let Some(Asked { at, .. }) = first.filter(|_| others) {
            prop_assert!(*at >= ORIGIN_AFTER_S * (1.0 + drawn) - STEP_S, "at {at} s");
        }
        if agents.is_empty() {
            prop_assert_eq!(fetch.asked.first().map(|a| a.whom), Some(Whom::Origin));
        }
    }
}

fn at(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn came_at_once(sources: &mut Sources, whom: Whom, outcome: Outcome, now: Time) {
    sources.over(whom);
    sources.came(whom, outcome, 0.5, now);
}

#[test]
fn the_next_is_asked_and_the_origin_only_when_agents_give_nothing() {
    let mut s = Sources::new([at(1), at(2)], 10.0, 0.5, Time(0.0));
    let one = Whom::Agent(at(1));
    let two = Whom::Agent(at(2));
    assert_eq!(s.pick(Time(0.0)), Some(one));
    assert_eq!(s.pick(Time(0.0)), Some(two));
    assert_eq!(s.pick(Time(0.0)), None, "each is asked one thing at a time");
    came_at_once(&mut s, one, Outcome::Right, Time(1.0));
    assert_eq!(s.pick(Time(1.0)), Some(one), "the best again");
    came_at_once(&mut s, one, Outcome::Failed, Time(2.0));
    came_at_once(&mut s, two, Outcome::Wrong, Time(2.0));
    assert_eq!(s.pick(Time(2.1)), None, "it rests, the other is dropped");
    assert_eq!(s.pick(Time(2.5)), Some(one));
    came_at_once(&mut s, one, Outcome::NotYet(100.0), Time(3.0));
    assert_eq!(s.pick(Time(15.9)), None, "the origin is not due");
    assert_eq!(s.pick(Time(16.0)), Some(Whom::Origin));
    came_at_once(&mut s, Whom::Origin, Outcome::Right, Time(17.0));
    assert_eq!(s.pick(Time(17.9)), Some(Whom::Origin));
    assert_eq!(s.pick(Time(18.0)), Some(one));
    came_at_once(&mut s, one, Outcome::Right, Time(18.5));
    came_at_once(&mut s, Whom::Origin, Outcome::Right, Time(18.5));
    assert_eq!(s.pick(Time(19.0)), Some(one));
    assert_eq!(
        s.pick(Time(19.0)),
        None,
        "agents give again: not the origin"
    );
}

#[test]
fn a_fetch_ends_when_nobody_is_left_or_nothing_comes() {
    let mut s = Sources::new([at(1)], 10.0, 0.0, Time(0.0));
    came_at_once(&mut s, Whom::Origin, Outcome::Nothing, Time(1.0));
    assert_eq!(s.abort_reason(60.0, Time(1.0)), None);
    assert!(s.abort_reason(60.0, Time(61.0)).is_some(), "nothing came");
    came_at_once(&mut s, Whom::Agent(at(1)), Outcome::Nothing, Time(1.0));
    assert_eq!(
        s.abort_reason(60.0, Time(2.0)),
        None,
        "it may have it later"
    );
    came_at_once(&mut s, Whom::Agent(at(1)), Outcome::Wrong, Time(2.0));
    assert!(s.abort_reason(60.0, Time(2.0)).is_some(), "nobody is left");
    s.add([at(2)], Time(3.0));
    assert_eq!(s.abort_reason(60.0, Time(3.0)), None);
    assert_eq!(s.pick(Time(3.0)), Some(Whom::Agent(at(2))));
    let mut s = Sources::new([], 10.0, 0.0, Time(0.0));
    for n in 0..MAX_ORIGIN_FAILURES {
        assert_eq!(s.abort_reason(60.0, Time(0.0)), None, "{n} failures");
        came_at_once(&mut s, Whom::Origin, Outcome::Failed, Time(0.0));
    }
    assert!(s.abort_reason(60.0, Time(0.0)).is_some());
}
