//! Fences the commands to one machine by fencing tokens.
//!
//! A direct command may be executed minutes after it was sent, and a command that was executed and
//! answered may arrive again at any later time. The agent executes it as long as its fencing token
//! is not below the highest one that the agent has taken and the incarnation matches. A repeated
//! start does nothing while the agent knows the attempt, but it runs the attempt again once the
//! agent was told to forget it. So a message that makes the agent forget an attempt has to carry a
//! token above those of all messages that started a task on the machine. How late a copy arrives
//! does not matter then.
//!
//! Two tokens are kept apart. [`CommandFence::raise`] also makes heartbeats prove nothing until one
//! shows the raised token, because a command with an unknown outcome is on the way. The other
//! raises do not, because the outcomes of all earlier commands are known.
//!
//! Agents send a heartbeat when they take a higher token. So the token is raised with the messages
//! that start tasks, after which a heartbeat follows anyway: each start fences those before it.
//! Only what the last of these messages started needs a raise of its own.

use sorrelhinge_protocol::types::{FencingToken, Time};

/// Number of raises of a grant's fencing token that are left for commands with an unknown outcome.
/// Starts and forget commands don't use them.
pub const RESERVED_RAISES: u64 = 1024;

/// Outcome of a raise of the fencing token for forget commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForgetRaise {
    /// The next message fences all messages that started a task.
    Raised,
    /// The last raise was too short a time ago.
    TooEarly,
    /// The grant has no fencing token left to raise to.
    Exhausted,
}

/// Fencing tokens of the commands to one machine, under one grant.
#[derive(Clone, Debug)]
pub struct CommandFence {
    /// Token that the next message carries.
    token: FencingToken,
    /// Lowest token with which a heartbeat proves what is on the machine.
    proof_token: FencingToken,
    /// Token in the agent's last heartbeat.
    reported: FencingToken,
    /// Token of the last message that started a task on the machine.
    last_start: Option<FencingToken>,
    /// Time of that message, or of a later raise for forget commands.
    last_raise: Time,
}

impl CommandFence {
    /// Returns the fence of a machine to which no command was sent under this grant. `token` is the
    /// first one of the grant.
    pub fn new(token: FencingToken) -> Self {
        Self {
            token,
            proof_token: token,
            reported: FencingToken(0),
            last_start: None,
            last_raise: Time(f64::NEG_INFINITY),
        }
    }

    /// Returns the fencing token that the next message carries.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns whether a heartbeat with this fencing token proves what is on the machine.
    pub fn proves(&self, reported: FencingToken) -> bool {
        reported >= self.proof_token
    }

    /// Returns whether the agent's last heartbeat proves what is on the machine.
    pub fn is_proven(&self) -> bool {
        self.proves(self.reported)
    }

    /// Records the fencing token in a heartbeat that is newer than the last one. Returns whether
    /// the agent has adopted a token of this grant since.
    ///
    /// An agent whose token is lower than before has lost its memory, and with it the attempts that
    /// made repeated starts harmless. So all earlier commands are fenced.
    pub fn reported(&mut self, reported: FencingToken) -> bool {
        let adopted = reported > self.reported && reported.grant() == self.token.grant();
        if reported < self.reported {
            self.raise();
        }
        self.reported = reported;
        adopted
    }

    /// Fences all commands that were sent so far. No heartbeat proves anything until it shows the
    /// raised token.
    pub fn raise(&mut self) {
        self.token = self.token.raised();
        self.proof_token = self.token;
    }

    /// Records that the next message starts a task. Its token fences all earlier messages that
    /// started one.
    pub fn start_sent(&mut self, now: Time) {
        if !self.fences(self.last_start()) {
            self.raise_known();
        }
        self.last_start = Some(self.token);
        self.last_raise = now;
    }

    /// Returns the token of the last message that started a task on the machine under this grant,
    /// or 0 if none did. No message that started an attempt which a heartbeat already names
    /// carries a higher one.
    pub fn last_start(&self) -> FencingToken {
        self.last_start.unwrap_or_default()
    }

    /// Returns whether the agent refuses all messages with a token up to `start` once it has taken
    /// the token of the next message.
    pub fn fences(&self, start: FencingToken) -> bool {
        start < self.token
    }

    /// Raises the token for forget commands, unless it was raised less than `pause_s` seconds ago.
    pub fn raise_for_forgets(&mut self, pause_s: f64, now: Time) -> ForgetRaise {
        if now.since(self.last_raise) < pause_s {
            return ForgetRaise::TooEarly;
        }
        if !self.raise_known() {
            return ForgetRaise::Exhausted;
        }
        self.last_raise = now;
        ForgetRaise::Raised
    }

    /// Raises the token while the outcomes of all commands are known. Returns `false` if the
    /// remaining tokens are reserved.
    fn raise_known(&mut self) -> bool {
        let raises = self.token.raises_left() > RESERVED_RAISES;
        if raises {
            self.token = self.token.raised();
        }
        raises
    }
}
