//! Why a request over HTTP to another program failed: a controller, another
//! agent, or an origin.

use std::net::SocketAddr;

/// A request that got no whole answer. The text is the cause's own.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// There is no connection.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The request can't be built: its path or a header is not valid.
    #[error(transparent)]
    Build(#[from] hyper::http::Error),
    /// The connection broke, or the other end doesn't speak HTTP.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The answer's body broke off, or is longer than is read.
    #[error(transparent)]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
}

/// A request to a server that failed.
#[derive(Debug, thiserror::Error)]
#[error("{server}: {source}")]
pub struct ServerError {
    /// The server.
    pub server: SocketAddr,
    /// Why.
    pub source: RequestError,
}

impl ServerError {
    /// Adds the server to what went wrong there.
    pub fn at(server: SocketAddr) -> impl Fn(RequestError) -> Self {
        move |source| Self { server, source }
    }
}
