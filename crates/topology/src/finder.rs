//! What the file says of a machine: by its name, else by a pattern of names,
//! else by the network that its address lies in, the longest prefix first.

use std::collections::HashMap;
use std::net::IpAddr;

use ipnet::IpNet;
use prefix_trie::joint::JointPrefixMap;
use wildmatch::WildMatch;

/// Something that leads to two entries.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NamedTwice {
    /// A machine's name.
    #[error("machine {0:?} is named twice")]
    Machine(String),
    /// A network.
    #[error("network {0} is named twice")]
    Network(IpNet),
}

/// Finds a machine's entry.
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
    /// Names a machine.
    ///
    /// # Errors
    /// The name leads elsewhere already.
    pub fn name(&mut self, name: &str, to: T) -> Result<(), NamedTwice> {
        match self.names.insert(name.to_owned(), to.clone()) {
            Some(before) if before != to => Err(NamedTwice::Machine(name.to_owned())),
            _ => Ok(()),
        }
    }
    /// Names machines by a pattern, `*` for any text and `?` for a character.
    /// Of several that match the first counts.
    pub fn pattern(&mut self, pattern: &str, to: T) {
        self.patterns.push((WildMatch::new(pattern), to));
    }
    /// Names a network.
    ///
    /// # Errors
    /// The network leads elsewhere already.
    pub fn network(&mut self, network: IpNet, to: T) -> Result<(), NamedTwice> {
        match self.networks.insert(network.trunc(), to.clone()) {
            Some(before) if before != to => Err(NamedTwice::Network(network)),
            _ => Ok(()),
        }
    }
    /// What is said of a machine; none if nothing names it.
    pub fn find(&self, name: &str, addr: Option<IpAddr>) -> Option<&T> {
        let pattern = || self.patterns.iter().find(|(p, _)| p.matches(name));
        let network = || self.networks.get_lpm(&IpNet::from(addr?));
        self.names
            .get(name)
            .or_else(|| pattern().map(|(_, to)| to))
            .or_else(|| network().map(|(_, to)| to))
    }
}

/// Whether a machine is among those that an entry names.
#[derive(Debug, Default)]
pub struct Matcher {
    /// By name.
    pub names: Vec<String>,
    /// By pattern.
    pub patterns: Vec<WildMatch>,
    /// By network.
    pub networks: Vec<IpNet>,
}

impl Matcher {
    /// Whether it is.
    pub fn matches(&self, name: &str, addr: Option<IpAddr>) -> bool {
        self.names.iter().any(|n| n == name)
            || self.patterns.iter().any(|p| p.matches(name))
            || addr.is_some_and(|a| self.networks.iter().any(|n| n.contains(&a)))
    }
}
