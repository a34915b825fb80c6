//! The agent's settings (TOML), see `deploy/agent.toml`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use sorrelhinge_protocol::invalid::{InvalidField, MalformedToml};
use sorrelhinge_protocol::types::{Amount, MachineId, TypeName, Zone};

use crate::core::Machine;
use crate::describe::Source;

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// What the file says is wrong.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: Box<SettingsError>,
    },
    /// It is not TOML, or not of the format.
    #[error(transparent)]
    Toml(#[from] MalformedToml),
    /// A field is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

/// A controller.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Controller {
    /// Its name, as in its settings: others call it by that.
    #[garde(length(bytes, min = 1, max = 200))]
    pub node: String,
    /// Where it takes heartbeats.
    #[garde(skip)]
    pub address: SocketAddr,
}

fn cache_gb() -> f64 {
    20.0
}

/// Where job descriptions, or images, come from: one of the two.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Places {
    /// A folder with a file `ID.json` for each job, or `NAME.tar` for each image.
    #[garde(skip)]
    pub folder: Option<PathBuf>,
    /// A server that answers `GET PREFIX/ID`, or `GET PREFIX/NAME`.
    #[garde(skip)]
    pub server: Option<SocketAddr>,
    /// The path before the id.
    #[garde(length(bytes, max = 1000))]
    pub prefix: String,
}

/// Handing images on to other agents, and taking them from them.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct PeerTransferSettings {
    /// Networks that images go to and are taken from.
    #[garde(length(min = 1, max = 256))]
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<IpNet>,
    /// Uploads at once.
    #[serde(default = "uploads")]
    #[garde(range(min = 1, max = 1000))]
    pub uploads: u32,
    /// All uploads together, in MB a second.
    #[serde(default = "upload_mb_per_s")]
    #[garde(range(min = 0.01, max = 1e6))]
    pub upload_mb_per_s: f64,
    /// Chunks of an image that are fetched at once, each from another source.
    #[serde(default = "downloads")]
    #[garde(range(min = 1, max = 64))]
    pub downloads: u32,
    /// Seconds without a chunk from any other agent after which the origin is
    /// asked; up to as long again is drawn at random.
    #[serde(default = "origin_after_s")]
    #[garde(range(min = 0.1, max = 3600.0))]
    pub origin_after_s: f64,
    /// Seconds after which a source that sends nothing is left for the next.
    #[serde(default = "stall_s")]
    #[garde(range(min = 0.1, max = 600.0))]
    pub stall_s: f64,
    /// Seconds without a chunk from anyone after which the fetch has failed.
    #[serde(default = "patience_s")]
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub patience_s: f64,
}

fn uploads() -> u32 {
    4
}

fn upload_mb_per_s() -> f64 {
    500.0
}

fn downloads() -> u32 {
    2
}

fn origin_after_s() -> f64 {
    20.0
}

fn stall_s() -> f64 {
    10.0
}

fn patience_s() -> f64 {
    120.0
}

/// The file.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Version of the format: 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// The machine's name, as the cloud calls it.
    #[garde(length(bytes, min = 1, max = 200))]
    pub name: String,
    /// Its type.
    #[garde(length(bytes, min = 1, max = 200))]
    pub kind: String,
    /// Its zone.
    #[garde(length(bytes, min = 1, max = 200))]
    pub zone: String,
    /// It is a spot machine.
    #[serde(default)]
    #[garde(skip)]
    pub spot: bool,
    /// Where it takes direct commands.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Where controllers reach that, if it is not the same.
    #[serde(default)]
    #[garde(skip)]
    pub advertise: Option<SocketAddr>,
    /// Its own folder: journal, attempts and their output.
    #[garde(skip)]
    pub folder: PathBuf,
    /// CPUs that tasks may take.
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// GPUs that tasks may take.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub cards: f64,
    /// Memory that tasks may take.
    #[garde(range(min = 0.0, max = 1e6))]
    pub ram_gb: f64,
    /// Seconds between heartbeats, as in the controllers' settings.
    #[garde(range(min = 0.5, max = 600.0))]
    pub report_s: f64,
    /// Seconds that a lease lasts, as in the controllers' settings.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub lease_s: f64,
    /// Controllers.
    #[garde(length(min = 1, max = 16), dive)]
    pub controllers: Vec<Controller>,
    /// Job descriptions.
    #[garde(dive)]
    pub jobs: Places,
    /// Images; absent: no job can have one.
    #[serde(default)]
    #[garde(dive)]
    pub images: Option<Places>,
    /// Handing images on; absent: every image comes from its origin, and none
    /// is handed on.
    #[serde(default)]
    #[garde(dive)]
    pub hand_on: Option<PeerTransferSettings>,
    /// Room for images that are kept, in GB of their archives.
    #[serde(default = "cache_gb")]
    #[garde(range(min = 0.001, max = 1e6))]
    pub cache_gb: f64,
}

impl Places {
    /// The folder or server of the settings; none if neither is set.
    fn source(&self) -> Option<Source> {
        match (&self.folder, self.server) {
            (_, Some(server)) => {
                let prefix = self.prefix.trim_end_matches('/');
                let prefix = prefix.to_owned();
                Some(Source::Http { server, prefix })
            }
            (folder, None) => folder.clone().map(Source::Folder),
        }
    }
}

impl Settings {
    /// Reads and checks the file; the error names the line or the field.
    ///
    /// # Errors
    /// The file can't be read, or what it says is wrong.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Io {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|why| SettingsError::File {
            path: path.to_owned(),
            source: Box::new(why),
        })
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    /// It is not TOML, not of the format, or a field is not valid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| MalformedToml::new(text, &e))?;
        settings
            .validate()
            .map_err(|report| InvalidField::first(&report, "agent"))?;
        let jobs = Some(("jobs", &settings.jobs));
        let images = settings.images.as_ref().map(|i| ("images", i));
        for (name, places) in jobs.into_iter().chain(images) {
            if places.folder.is_some() == places.server.is_some() {
                let reason = "either folder or server says where they are";
                return Err(InvalidField::value(format!("agent.{name}"), reason).into());
            }
        }
        if settings.listen.port() == 0 || settings.listen.ip().is_unspecified() {
            let reason = "controllers need an address and a port";
            return Err(InvalidField::value("agent.listen", reason).into());
        }
        Ok(settings)
    }

    /// The machine.
    pub fn machine(&self) -> Machine {
        Machine {
            name: MachineId::from(self.name.as_str()),
            addr: self.advertise.unwrap_or(self.listen),
            kind: TypeName::from(self.kind.as_str()),
            zone: Zone::from(self.zone.as_str()),
            spot: self.spot,
            total: Amount::new(self.cpus, self.cards, self.ram_gb),
            report_s: self.report_s,
            lease_s: self.lease_s,
            controllers: self.controllers.iter().map(|c| c.node.clone()).collect(),
        }
    }

    /// Where descriptions come from.
    pub fn source(&self) -> Source {
        let none = || Source::Folder(PathBuf::new());
        self.jobs.source().unwrap_or_else(none)
    }

    /// Where images come from.
    pub fn image_source(&self) -> Option<Source> {
        self.images.as_ref().and_then(Places::source)
    }

    /// Room for images, in bytes.
    pub fn cache_bytes(&self) -> u64 {
        (self.cache_gb * 1e9) as u64
    }
}
