//! How a world is laid out.

use std::path::PathBuf;

use crate::ZONES;

/// How a world is laid out.
pub struct Plan {
    /// Second part of all machines' addresses is this and the zone.
    pub net: u8,
    /// Switches in each of three zones.
    pub switches: u8,
    /// Machines behind each switch at the start.
    pub machines: u8,
    /// The operator's file, if the feature is on.
    pub topology: Option<String>,
    /// How many controllers there are.
    pub controllers: usize,
    /// Whether controllers can be cut off from the state service and each other.
    pub lines: bool,
    /// How many sockets each controller may have; the operating system refuses
    /// more. None: as many as it likes.
    pub sockets: Option<usize>,
    /// More of the operators' own settings.
    pub properties: &'static str,
    /// The limits that the state service will have from some moment on, as the settings
    /// tell them; empty: they don't. See [`Store::set_limits`](crate::store::Store).
    pub state_next: &'static str,
    /// The controllers' program.
    pub program: PathBuf,
    /// For files and logs.
    pub folder: PathBuf,
}

impl Plan {
    /// So many machines behind one switch in each zone, and nothing special:
    /// `program` is what to run, and `folder` where each plan has one of its own.
    pub fn plain(name: &str, net: u8, machines: u8, (program, folder): (&str, &str)) -> Self {
        Self {
            net,
            switches: 1,
            machines,
            topology: None,
            controllers: 3,
            lines: false,
            sockets: None,
            properties: "",
            state_next: "",
            program: program.into(),
            folder: PathBuf::from(folder).join(name),
        }
    }
}

/// The operator's file for a world: each switch is a network of its own.
pub fn file(net: u8, switches: u8, more: &str) -> String {
    let mut text = String::from("version = 1\n");
    for (zone, name) in ZONES.iter().enumerate() {
        for switch in 0..switches {
            let second = net as usize + zone;
            text += &format!(
                "[[place]]\ndomain = \"{name}/r{}/s{switch}\"\nnetworks = [\"127.{second}.{switch}.0/24\"]\n",
                switch / 2
            );
        }
    }
    text + more
}
