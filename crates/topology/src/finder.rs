//! Lookup of a machine's entry in the topology file.
//!
//! A machine's name has precedence over patterns of names, and patterns have precedence
//! over networks. Among networks, the longest prefix that contains the machine's address
//! matches.

use std::collections::HashMap;
use std::net::IpAddr;

use ipnet::IpNet;
use prefix_trie::joint::JointPrefixMap;
use wildmatch::WildMatch;

/// A name or a network that the topology file assigns to two different entries.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DuplicateEntry {
    /// A machine's name has two entries.
    #[error("machine {0:?} has two different entries")]
    Machine(String),
    /// The topology file assigns a network to two different entries.
    #[error("network {0} has two different entries")]
    Network(IpNet),
}

/// Index of the topology file's entries by machine name, name pattern and network.
#[derive(Debug)]
pub struct Finder<T> {
    names: HashMap<String, T>,
    patterns: Vec<(WildMatch, T)>,
    networks: JointPrefixMap<IpNet, T>,
}

impl<T> Default for Finder<T> {
    fn default() -> Self {
        Self {
            names: HashMap::new(),
            patterns: Vec::new(),
            networks: JointPrefixMap::default(),
        }
    }
}

impl<T: Clone + PartialEq> Finder<T> {
    /// Assigns an entry to a machine's name.
    ///
    /// # Errors
    ///
    /// Fails if the name already has a different entry.
    pub fn name(&mut self, name: &str, to: T) -> Result<(), DuplicateEntry> {
        match self.names.insert(name.to_owned(), to.clone()) {
            Some(before) if before != to => Err(DuplicateEntry::Machine(name.to_owned())),
            _ => Ok(()),
        }
    }
    /// Assigns an entry to a pattern of machine names, where `*` matches any text and `?`
    /// matches one character.
    ///
    /// If several patterns match a name, the first one counts.
    pub fn pattern(&mut self, pattern: &str, to: T) {
        self.patterns.push((WildMatch::new(pattern), to));
    }
    /// Assigns an entry to a network of machine addresses.
    ///
    /// # Errors
    ///
    /// Fails if the network already has a different entry.
    pub fn network(&mut self, network: IpNet, to: T) -> Result<(), DuplicateEntry> {
        match self.networks.insert(network.trunc(), to.clone()) {
            Some(before) if before != to => Err(DuplicateEntry::Network(network)),
            _ => Ok(()),
        }
    }
    /// Returns the entry for a machine, or `None` if no name, pattern or network matches.
    pub fn find(&self, name: &str, addr: Option<IpAddr>) -> Option<&T> {
        let pattern = || self.patterns.iter().find(|(p, _)| p.matches(name));
        let network = || self.networks.get_lpm(&IpNet::from(addr?));
        self.names
            .get(name)
            .or_else(|| pattern().map(|(_, to)| to))
            .or_else(|| network().map(|(_, to)| to))
    }
}

/// Set of machines that one entry of the topology file names.
#[derive(Debug, Default)]
pub struct Matcher {
    /// Names of machines in the set.
    pub names: Vec<String>,
    /// Patterns of machine names. A machine with a matching name is in the set.
    pub patterns: Vec<WildMatch>,
    /// Networks whose machines are in the set.
    pub networks: Vec<IpNet>,
}

impl Matcher {
    /// Returns whether a machine is in the set, by its name or its address.
    pub fn matches(&self, name: &str, addr: Option<IpAddr>) -> bool {
        self.names.iter().any(|n| n == name)
            || self.patterns.iter().any(|p| p.matches(name))
            || addr.is_some_and(|a| self.networks.iter().any(|n| n.contains(&a)))
    }
}
