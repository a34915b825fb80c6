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
//! shows the raised token, because a command with an unknown outcome is on the way. The raise for a
//! forget command does not, because the outcomes of all earlier commands are known.

use sorrelhinge_protocol::types::FencingToken;

/// Number of raises of a grant's fencing token that are left for commands with an unknown outcome.
/// Forget commands don't use them.
pub const RESERVED_RAISES: u64 = 1024;

/// Whether forget commands may go in the next message to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForgetDecision {
    /// The next message may carry forget commands. Its fencing token is above those of all
    /// messages that started a task.
    Send,
    /// The message has to wait for a raise of the fencing token.
    Wait,
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

    /// Records that the next message starts a task.
    pub fn start_sent(&mut self) {
        self.last_start = Some(self.token);
    }

    /// Decides whether the next message may carry forget commands. Raises the token for it if
    /// `may_raise` allows that and the token does not yet fence all messages that started a task.
    pub fn decide_forget(&mut self, may_raise: bool) -> ForgetDecision {
        if self.last_start.is_none_or(|start| start < self.token) {
            return ForgetDecision::Send;
        }
        if self.token.raises_left() <= RESERVED_RAISES {
            return ForgetDecision::Exhausted;
        }
        if !may_raise {
            return ForgetDecision::Wait;
        }
        self.token = self.token.raised();
        ForgetDecision::Send
    }
}
