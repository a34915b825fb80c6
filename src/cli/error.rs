//! Why a command failed. The texts are what operators and their scripts see.

use std::net::SocketAddr;

use sorrelhinge_protocol::invalid::InvalidField;

use crate::http::CallError;
use crate::operator_file::OperatorFileError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file can't be used.
    #[error(transparent)]
    File(#[from] OperatorFileError),
    /// An argument is not valid; nothing was sent.
    #[error(transparent)]
    Argument(#[from] InvalidField),
    /// What is asked, or was answered, can't be written as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// No controller did what was asked.
    #[error(transparent)]
    Ask(#[from] AskError),
}

/// Why no controller did what was asked; of several the last one's answer.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// There is none to ask.
    #[error("no controller is named")]
    NoController,
    /// It gave no answer.
    #[error("{address}: {source}")]
    NoAnswer {
        /// The controller.
        address: SocketAddr,
        /// Why not.
        source: CallError,
    },
    /// It refused.
    #[error("{address}: {why}")]
    Refused {
        /// The controller.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What it says.
        why: String,
    },
    /// Its answer can't be read.
    #[error("{address}: malformed answer: {source}")]
    Malformed {
        /// The controller.
        address: SocketAddr,
        /// What is wrong with the answer.
        source: serde_json::Error,
    },
}

impl AskError {
    /// Whether another controller, or the same one later, may do it: this one gave no
    /// answer, does not own what it is about (421), or can't decide now (503).
    pub(super) fn may_pass(&self) -> bool {
        match self {
            Self::NoController | Self::NoAnswer { .. } => true,
            Self::Refused { status, .. } => matches!(status, 421 | 503),
            Self::Malformed { .. } => false,
        }
    }
}

/// Why a text is no deadline.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeadlineError {
    /// It is not a number and a unit.
    #[error("{0:?} is not a time like 90s, 10m or 2h")]
    NotATime(String),
    /// It is too long, or negative.
    #[error("{0:?} is not within 0 and 7 days")]
    OutOfRange(String),
}
