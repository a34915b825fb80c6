//! How requests to the state service end: outcomes and errors.

use crate::http::TransportError;
use crate::types::Revision;

/// A transaction's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Carried out, as this revision.
    Done(Revision),
    /// A condition failed; the service's revision was this.
    Failed(Revision),
}

/// Why the state service gave no answer of use.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// Certainly not carried out: refused, out of budget, or no connection.
    #[error("not carried out: {0}")]
    Refused(#[source] RefusedCause),
    /// Not carried out: all controllers together ask too much.
    #[error("too many requests")]
    TooMany,
    /// May have been carried out, or may still be.
    #[error("unknown outcome: {0}")]
    Unknown(#[source] UnknownCause),
    /// Not carried out: the service does not take it as it is, so trying the same again is
    /// of no use.
    #[error("rejected: {0}")]
    Rejected(ErrorReply),
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The watch is too old; everything has to be read again.
    #[error("too old to follow")]
    TooOld,
}

/// Why a request was certainly not carried out, or gave nothing that can be read.
#[derive(Debug, thiserror::Error)]
pub enum RefusedCause {
    /// Not sent: this controller's share of the requests or changes is used up.
    #[error("over this controller's share")]
    OverBudget,
    /// Not sent: the request cannot be written as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// Not sent: there is no connection.
    #[error(transparent)]
    NotSent(TransportError),
    /// The service answered that it serves nobody now (503).
    #[error("unavailable")]
    Unavailable,
    /// The service answered with a status that the request does not have.
    #[error("status {0}")]
    Status(u16),
    /// The same of a transaction, whose answer says why.
    #[error(transparent)]
    Reply(ErrorReply),
    /// The answer to a request that reads or makes a lease cannot be read.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Why a request may have been carried out, or may still be.
#[derive(Debug, thiserror::Error)]
pub enum UnknownCause {
    /// It was sent, and no complete answer came.
    #[error(transparent)]
    NoAnswer(TransportError),
    /// The answer to a transaction cannot be read.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// An answer that says what is wrong with a request.
#[derive(Debug, thiserror::Error)]
#[error("status {status}: {text}")]
pub struct ErrorReply {
    /// HTTP status.
    pub status: u16,
    /// How the body begins.
    pub text: String,
}

/// Characters of an answer's body that an error keeps.
const MAX_REPLY_CHARS: usize = 200;

impl ErrorReply {
    /// Of an answer's status and body.
    pub(super) fn new(status: u16, body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        Self {
            status,
            text: text.chars().take(MAX_REPLY_CHARS).collect(),
        }
    }
}
