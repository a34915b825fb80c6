//! Job descriptions: what a task runs. Users upload them; the agent fetches one
//! by the job's id, from a folder (`ID.json`) or over HTTP (`GET PREFIX/ID`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use garde::Validate;
use http_body_util::{BodyExt, Limited};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_protocol::types::Amount;
use sorrelhinge_protocol::users::job_id;
use sorrelhinge_protocol::worker::ExitReason;
use tokio::time::timeout;

use crate::client::{self, ServerError};
use crate::core::Needs;
use crate::images::Image;

/// Bytes of a description, at the most.
const MAX_DESCRIPTION_BYTES: usize = 256 << 10;
/// How long a server may take to answer with a description.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a description can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionError {
    /// It has more bytes than are read.
    #[error("longer than {} bytes", MAX_DESCRIPTION_BYTES)]
    TooLong,
    /// Something follows it.
    #[error(transparent)]
    Trailing(serde_json::Error),
    /// A field is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

/// Why a job's description can't be had from its source.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// Its file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Its file has more bytes than are read.
    #[error("{}: longer than {MAX_DESCRIPTION_BYTES} bytes", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// The server can't be asked, or its answer broke off.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// The server answered with neither 200 nor 404.
    #[error("{server}: status {status}")]
    Status {
        /// The server.
        server: SocketAddr,
        /// The answer's status.
        status: u16,
    },
    /// The server gave no answer in time.
    #[error("no answer in time")]
    NoAnswer,
}

/// How a task saves when it is told to stop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Save {
    /// Seconds that it takes at the most, as in the job's `stash_s`.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub seconds: f64,
    /// A command to run instead of the signal TERM, with the task's process
    /// group in `TASK_GROUP`.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub command: Vec<String>,
}

/// Limits that the operating system keeps for each process of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Address space, megabytes.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub address_mb: Option<u64>,
    /// Largest file, megabytes.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub file_mb: Option<u64>,
    /// Open files.
    #[garde(range(min = 8, max = 1_000_000))]
    pub open_files: Option<u64>,
    /// Processor time, seconds.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub cpu_s: Option<u64>,
}

fn log_kb() -> u64 {
    1024
}

/// What a job's tasks run. `TASK` (`run-000412/3`), `TASK_INDEX`, `TASK_ATTEMPT`
/// and, for devices, `TASK_UNITS` (`encoder:enc0,...`) are added to `env`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Version of the format: 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Program and arguments.
    #[garde(length(min = 1, max = 1024), inner(length(bytes, max = 65_536)))]
    pub command: Vec<String>,
    /// Environment, beside `PATH`, which is the agent's.
    #[serde(default)]
    #[garde(length(max = 1024))]
    pub env: BTreeMap<String, String>,
    /// Working directory; a folder of the attempt's own if absent.
    #[serde(default)]
    #[garde(length(bytes, min = 1, max = 4096))]
    pub cwd: Option<String>,
    /// CPUs of a task.
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// GPUs of a task.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub cards: f64,
    /// Memory of a task.
    #[garde(range(min = 0.0, max = 1e6))]
    pub ram_gb: f64,
    /// Image, unpacked before the task runs; its folder is in `TASK_IMAGE`.
    #[serde(default)]
    #[garde(dive)]
    pub image: Option<Image>,
    /// How it saves; absent: it never does.
    #[serde(default)]
    #[garde(dive)]
    pub save: Option<Save>,
    /// Limits.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Kilobytes of output that are kept, of each of the two streams.
    #[serde(default = "log_kb")]
    #[garde(range(min = 1, max = 1_048_576))]
    pub log_kb: u64,
}

impl Description {
    /// Reads a description; the error names what is wrong.
    ///
    /// # Errors
    /// It is too long, not JSON, not of the format, or a field is not valid.
    pub fn read(bytes: &[u8]) -> Result<Self, DescriptionError> {
        if bytes.len() > MAX_DESCRIPTION_BYTES {
            return Err(DescriptionError::TooLong);
        }
        let mut json = serde_json::Deserializer::from_slice(bytes);
        let description: Self =
            serde_path_to_error::deserialize(&mut json).map_err(|e| InvalidField::Malformed {
                path: format!("job.{}", e.path()),
                reason: e.inner().to_string(),
            })?;
        json.end().map_err(DescriptionError::Trailing)?;
        description
            .validate()
            .map_err(|report| InvalidField::first(&report, "job"))?;
        if description
            .env
            .keys()
            .any(|k| k.is_empty() || k.contains(['=', '\0']))
        {
            return Err(InvalidField::value("job.env", "a name is empty, or has = in it").into());
        }
        let texts = description.command.iter().chain(description.env.values());
        if texts.into_iter().any(|t| t.contains('\0')) {
            return Err(InvalidField::value("job", "a text has a zero byte").into());
        }
        Ok(description)
    }

    /// The format's JSON Schema.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Description);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }

    /// What a task takes of the machine.
    pub fn needs(&self) -> Needs {
        Needs {
            each: Amount::new(self.cpus, self.cards, self.ram_gb),
            save_s: self.save.as_ref().map(|s| s.seconds),
            image: self.image.is_some(),
        }
    }
}

/// Where descriptions come from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A folder with a file for each job.
    Folder(PathBuf),
    /// A server.
    Http {
        /// Where it is.
        server: SocketAddr,
        /// The path before the id.
        prefix: String,
    },
}

impl Source {
    /// The description of the job of a task. `no_such` if there is none; a
    /// description that can't be used is the job's mistake, and `error`. The
    /// reason goes into the log.
    ///
    /// # Errors
    /// Why the task ends: there is no such job, or its description is of no use.
    pub async fn find(&self, task_name: &str) -> Result<Description, ExitReason> {
        let job = task_name.rsplit_once('/').and_then(|(job, index)| {
            index.parse::<u32>().ok()?;
            job_id(job)
        });
        let Some(job) = job else {
            tracing::error!(task = task_name, "malformed task name");
            return Err(ExitReason::NoSuch);
        };
        let bytes = match self {
            Self::Folder(folder) => read_file(&folder.join(format!("{job}.json"))),
            Self::Http { server, prefix } => {
                let path = format!("{prefix}/{job}");
                let got = timeout(FETCH_TIMEOUT, get(*server, &path)).await;
                got.unwrap_or(Err(SourceError::NoAnswer))
            }
        };
        let bytes = bytes.map_err(|error| {
            tracing::error!(
                task = task_name,
                error = error.to_string(),
                "job description unusable"
            );
            ExitReason::Error
        })?;
        let Some(bytes) = bytes else {
            tracing::info!(task = task_name, "job description not found");
            return Err(ExitReason::NoSuch);
        };
        Description::read(&bytes).map_err(|error| {
            tracing::error!(
                task = task_name,
                error = error.to_string(),
                "job description unusable"
            );
            ExitReason::Error
        })
    }
}

/// A description's bytes, or none if there is no such file.
fn read_file(path: &Path) -> Result<Option<Vec<u8>>, SourceError> {
    let failed = |source| SourceError::File {
        path: path.to_owned(),
        source,
    };
    match std::fs::metadata(path) {
        Ok(meta) if meta.len() > MAX_DESCRIPTION_BYTES as u64 => Err(SourceError::TooLong {
            path: path.to_owned(),
        }),
        Ok(_) => std::fs::read(path).map(Some).map_err(failed),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(failed(error)),
    }
}

/// The body of a 200; none of a 404.
async fn get(server: SocketAddr, path: &str) -> Result<Option<Vec<u8>>, SourceError> {
    let failed = ServerError::at(server);
    let mut sender = client::connect(server).await?;
    let response = client::send_get(&mut sender, server, path, None)
        .await
        .map_err(&failed)?;
    match response.status().as_u16() {
        200 => {}
        404 => return Ok(None),
        status => return Err(SourceError::Status { server, status }),
    }
    let body = Limited::new(response.into_body(), MAX_DESCRIPTION_BYTES).collect();
    let body = body.await.map_err(|error| failed(error.into()))?;
    Ok(Some(body.to_bytes().to_vec()))
}
