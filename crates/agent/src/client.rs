//! Requests over HTTP to another program - a controller, another agent, or an
//! origin - and why they fail.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A connection that requests without a body go out on.
pub(crate) type Line = SendRequest<Empty<Bytes>>;

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

/// A connection to a server.
///
/// # Errors
/// It can't be reached, or doesn't speak HTTP.
pub(crate) async fn connect(server: SocketAddr) -> Result<Line, ServerError> {
    open_connection(server)
        .await
        .map_err(ServerError::at(server))
}

/// A connection, with a routine that carries it.
async fn open_connection(server: SocketAddr) -> Result<Line, RequestError> {
    let stream = TcpStream::connect(server).await?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(connection);
    Ok(sender)
}

/// Asks for a path, or for a range of it.
///
/// # Errors
/// The path is none, or the connection broke.
pub(crate) async fn send_get(
    line: &mut Line,
    server: SocketAddr,
    path: &str,
    range: Option<&str>,
) -> Result<Response<Incoming>, RequestError> {
    let mut request = Request::get(path).header("host", server.to_string());
    if let Some(range) = range {
        request = request.header("range", range);
    }
    Ok(line.send_request(request.body(Empty::new())?).await?)
}
