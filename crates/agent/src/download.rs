//! An image's archive in one piece from its origin: a folder, or a server.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::client::{self, RequestError, ServerError};
use crate::describe::Source;
use crate::images::Image;

/// A server that sends nothing for so long is given up on.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an image's archive did not come.
#[derive(Debug, thiserror::Error)]
#[error("{image}: {exit_reason}")]
pub struct FetchError {
    /// The image's name.
    pub image: String,
    /// What is wrong.
    #[source]
    pub exit_reason: ArchiveError,
    /// It may come another time: nothing is wrong with it, or with the disk.
    pub again: bool,
}

/// What is wrong with an archive's source, or with the disk.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// It can't be copied or written.
    #[error(transparent)]
    Disk(#[from] std::io::Error),
    /// The copy did not come to its end.
    #[error(transparent)]
    Copy(#[from] tokio::task::JoinError),
    /// The origin can't be connected to.
    #[error(transparent)]
    Connect(#[from] ServerError),
    /// The request failed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The origin answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// Nothing came for too long.
    #[error(transparent)]
    Stalled(#[from] tokio::time::error::Elapsed),
    /// It has more bytes than there is disk space for.
    #[error("larger than the cache")]
    TooLarge,
}

impl ArchiveError {
    /// Whether it may come another time, as only the connection failed, or the
    /// origin was busy.
    fn may_pass(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Stalled(_) => true,
            Self::Request(error) => !matches!(error, RequestError::Build(_)),
            Self::Status(status) => {
                status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS
            }
            Self::Disk(_) | Self::Copy(_) | Self::TooLarge => false,
        }
    }
}

/// Fetches an image's archive into a file, `max` bytes at the most.
///
/// # Errors
/// The source doesn't have it or doesn't answer, or it can't be written.
pub async fn fetch(source: &Source, image: &Image, to: &Path, max: u64) -> Result<(), FetchError> {
    let fetched = match source {
        Source::Folder(folder) => copy_archive(folder, image, to).await,
        Source::Http { server, prefix } => {
            let path = format!("{prefix}/{}", image.name);
            download_archive(*server, &path, to, max).await
        }
    };
    fetched.map_err(|exit_reason| FetchError {
        image: image.name.clone(),
        again: exit_reason.may_pass(),
        exit_reason,
    })
}

/// Copies an image's archive from a folder.
async fn copy_archive(folder: &Path, image: &Image, to: &Path) -> Result<(), ArchiveError> {
    let from = folder.join(format!("{}.tar", image.name));
    let to = to.to_owned();
    tokio::task::spawn_blocking(move || std::fs::copy(from, to)).await??;
    Ok(())
}

/// Reads an archive from a server, `max` bytes at the most.
async fn download_archive(
    server: SocketAddr,
    path: &str,
    to: &Path,
    max: u64,
) -> Result<(), ArchiveError> {
    let mut sender = client::connect(server).await?;
    let response = client::send_get(&mut sender, server, path, None).await?;
    if response.status() != StatusCode::OK {
        return Err(ArchiveError::Status(response.status()));
    }
    let mut file = std::fs::File::create(to)?;
    let mut body = response.into_body();
    let mut left = max;
    // A server that stops in the middle must not keep tasks waiting for ever.
    while let Some(frame) = timeout(STALL_TIMEOUT, body.frame()).await? {
        if let Ok(data) = frame.map_err(RequestError::from)?.into_data() {
            let length = data.len() as u64;
            left = left.checked_sub(length).ok_or(ArchiveError::TooLarge)?;
            file.write_all(&data)?;
        }
    }
    Ok(())
}
