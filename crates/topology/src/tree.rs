//! Tree of failure domains, numbered in depth-first order.
//!
//! A domain and everything inside it form one contiguous range of numbers. An index sorted
//! by these numbers can therefore skip a whole domain at once.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Number of a failure domain. Every domain is inside [`ROOT`]. A machine whose domain is
/// [`ROOT`] has no known place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain(pub u32);

impl Domain {
    /// Upper bound that is greater than the number of every domain.
    pub const END: Self = Self(u32::MAX);

    /// Returns the number that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Domain that contains all others. A machine whose place is not known has this domain.
pub const ROOT: Domain = Domain(0);

/// Level of the tree of failure domains, outermost first. Zones are level 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(pub u8);

impl Level {
    /// Returns the next level inwards.
    #[must_use]
    pub fn inner(self) -> Self {
        Self(self.0 + 1)
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the depth of domains at this level. The root has depth 0.
    fn depth(self) -> u8 {
        self.0 + 1
    }
}

#[derive(Clone, Debug)]
struct Node {
    path: String,
    /// Depth of the domain in the tree: 0 for the root and 1 for zones.
    depth: u8,
    parent: Domain,
    /// First number that is no longer inside the domain.
    end: Domain,
}

/// All failure domains. Domains are numbered depth first, so a domain and everything inside
/// it form one range of numbers.
#[derive(Clone, Debug)]
pub struct Tree {
    levels: Vec<String>,
    nodes: Vec<Node>,
    by_path: HashMap<String, Domain>,
}

/// A domain by name, before it has a number.
#[derive(Default)]
struct Branch {
    inner: BTreeMap<String, Branch>,
}

impl Branch {
    /// Adds the domain of a path and all domains that contain it. `levels` includes the machine
    /// level.
    fn add(&mut self, path: &str, levels: usize) -> Result<(), PathError> {
        let names: Vec<&str> = path.split('/').collect();
        if names.len() >= levels {
            return Err(PathError::TooDeep {
                path: path.to_owned(),
                named: names.len(),
                above: levels.saturating_sub(1),
            });
        }
        let mut branch = self;
        for name in names {
            if name.is_empty() || name.chars().any(char::is_whitespace) {
                return Err(PathError::Name(path.to_owned()));
            }
            branch = branch.inner.entry(name.to_owned()).or_default();
        }
        Ok(())
    }

    /// Numbers this domain and everything inside it, depth first.
    fn number(&self, nodes: &mut Vec<Node>, path: &str, depth: u8, parent: Domain) {
        let at = nodes.len();
        nodes.push(Node {
            path: path.to_owned(),
            depth,
            parent,
            end: ROOT,
        });
        for (name, inner) in &self.inner {
            let path = if depth == 0 {
                name.clone()
            } else {
                format!("{path}/{name}")
            };
            inner.number(nodes, &path, depth + 1, Domain(at as u32));
        }
        nodes[at].end = Domain(nodes.len() as u32);
    }
}

/// Reason why a path does not name a domain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// The path has a name for the machine level or for levels below it, and domains are only
    /// above the machine level.
    #[error("path {path:?} names {named} levels, but only {above} levels are above the machine")]
    TooDeep {
        /// Path that has too many names.
        path: String,
        /// Number of levels that the path names.
        named: usize,
        /// Number of levels above the machine level.
        above: usize,
    },
    /// A name in the path is empty or contains whitespace.
    #[error("path {0:?} has a name that is empty or has spaces")]
    Name(String),
}

impl Tree {
    /// Builds a tree of the given levels and domains.
    ///
    /// `levels` lists the level names, outermost first, and the last one is the machine itself.
    /// A path such as `zone/rack` names one domain of each level from the outermost on. The
    /// tree also gets all domains that contain a listed one.
    ///
    /// # Errors
    ///
    /// Returns an error for a path that has an empty name, a name with whitespace, or a name
    /// for the machine level.
    pub fn new<'a>(
        levels: &[String],
        paths: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self, PathError> {
        let mut root = Branch::default();
        for path in paths {
            root.add(path, levels.len())?;
        }
        let mut nodes = Vec::new();
        root.number(&mut nodes, "", 0, ROOT);
        let by_path = nodes
            .iter()
            .enumerate()
            .map(|(i, n)| (n.path.clone(), Domain(i as u32)))
            .collect();
        Ok(Self {
            levels: levels.to_vec(),
            nodes,
            by_path,
        })
    }

    fn node(&self, domain: Domain) -> &Node {
        &self.nodes[domain.index().min(self.nodes.len() - 1)]
    }

    /// Returns the level with this name. The innermost level is the machine, see
    /// [`Tree::is_machine`].
    pub fn level(&self, name: &str) -> Option<Level> {
        let at = self.levels.iter().position(|l| l == name)?;
        Some(Level(at as u8))
    }
    /// Returns the name of a level, or `?` if the tree has no such level.
    pub fn level_name(&self, level: Level) -> &str {
        self.levels.get(level.index()).map_or("?", |l| l)
    }
    /// Returns the names of all levels, outermost first.
    pub fn levels(&self) -> &[String] {
        &self.levels
    }
    /// Returns whether the domains of this level are the machines themselves.
    pub fn is_machine(&self, level: Level) -> bool {
        level.index() + 1 >= self.levels.len()
    }
    /// Returns the domain with this path. The empty path is the root's.
    pub fn find(&self, path: &str) -> Option<Domain> {
        self.by_path.get(path).copied()
    }
    /// Returns the path of a domain.
    pub fn path(&self, domain: Domain) -> &str {
        &self.node(domain).path
    }
    /// Returns the range of numbers of a domain and everything inside it.
    pub fn range(&self, domain: Domain) -> Range<Domain> {
        domain..self.node(domain).end
    }
    /// Returns whether `inner` is `outer` or is inside it.
    pub fn covers(&self, outer: Domain, inner: Domain) -> bool {
        self.range(outer).contains(&inner)
    }
    /// Returns the domain of a level that contains a place, or `None` if it is not known.
    pub fn at(&self, place: Domain, level: Level) -> Option<Domain> {
        let mut domain = place;
        let mut node = self.node(domain);
        if node.depth < level.depth() {
            return None;
        }
        while node.depth > level.depth() {
            domain = node.parent;
            node = self.node(domain);
        }
        Some(domain)
    }
    /// Returns all domains of a level.
    pub fn domains(&self, level: Level) -> impl Iterator<Item = Domain> + '_ {
        self.nodes
            .iter()
            .enumerate()
            .filter(move |(_, n)| n.depth == level.depth())
            .map(|(i, _)| Domain(i as u32))
    }
    /// Returns the level of a domain, or `None` for the root.
    pub fn level_of(&self, domain: Domain) -> Option<Level> {
        self.node(domain).depth.checked_sub(1).map(Level)
    }
    /// Returns the number of domains, including the root.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
    /// Returns whether the tree has no domain besides the root.
    pub fn is_empty(&self) -> bool {
        self.nodes.len() <= 1
    }
}
