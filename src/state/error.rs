//! Outcomes and errors of requests to the state service.

use crate::http::TransportError;
use crate::types::Revision;

/// Outcome of a transaction that the service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The service committed the transaction at this revision.
    Done(Revision),
    /// A condition did not hold at this revision of the store, so the service committed
    /// nothing.
    Failed(Revision),
}

/// Reason why a request to the state service has no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The request was certainly not carried out: the service refused it, the budget did not
    /// allow it, or there was no connection.
    #[error("not carried out: {0}")]
    Refused(#[source] RefusedCause),
    /// The request was not carried out because all controllers together send too many.
    #[error("too many requests")]
    TooMany,
    /// The request may have been carried out, or may still be.
    #[error("unknown outcome: {0}")]
    Unknown(#[source] UnknownCause),
    /// The request was not carried out because the service does not accept its content. A
    /// retry of the same request is useless.
    #[error("rejected: {0}")]
    Rejected(ErrorReply),
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The service no longer has the changes since the revision of the watch. All keys must
    /// be read again.
    #[error("too old to follow")]
    TooOld,
}

/// Reason why a request was certainly not carried out, or why the answer to a read is
/// unusable.
#[derive(Debug, thiserror::Error)]
pub enum RefusedCause {
    /// The request was not sent because this controller's share of the requests or changes is
    /// used up.
    #[error("over this controller's share")]
    OverBudget,
    /// The request was not sent because it cannot be encoded as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// The request was not sent because there is no connection.
    #[error(transparent)]
    NotSent(TransportError),
    /// The service answered that it serves no request now (503).
    #[error("unavailable")]
    Unavailable,
    /// The service answered with a status that this kind of request does not have.
    #[error("status {0}")]
    Status(u16),
    /// The service answered a transaction with an unexpected status, and its answer states
    /// the reason.
    #[error(transparent)]
    Reply(ErrorReply),
    /// The answer to a request that reads keys or creates a lease cannot be decoded.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Reason why a request may have been carried out, or may still be.
#[derive(Debug, thiserror::Error)]
pub enum UnknownCause {
    /// The request was sent, and no complete answer arrived.
    #[error(transparent)]
    NoAnswer(TransportError),
    /// The answer to a transaction cannot be decoded.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Answer that describes what is wrong with a request.
#[derive(Debug, thiserror::Error)]
#[error("status {status}: {text}")]
pub struct ErrorReply {
    /// HTTP status of the answer.
    pub status: u16,
    /// First characters of the body.
    pub text: String,
}

/// Maximum number of characters of an answer's body that an error keeps.
const MAX_REPLY_CHARS: usize = 200;

impl ErrorReply {
    /// Returns the error for an answer's status and body.
    pub(super) fn new(status: u16, body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        Self {
            status,
            text: text.chars().take(MAX_REPLY_CHARS).collect(),
        }
    }
}
