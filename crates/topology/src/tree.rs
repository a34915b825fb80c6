//! Failure domains as a tree, numbered in depth-first order: a domain and all
//! that lies within it are one range of numbers, so an index ordered by number
//! skips a whole domain at once.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// A domain's number. Everything lies in [`ROOT`]; a machine there is somewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain(pub u32);

impl Domain {
    /// Above all domains' numbers.
    pub const END: Self = Self(u32::MAX);

    /// The next number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// All domains together, and the place of a machine of which nothing is known.
pub const ROOT: Domain = Domain(0);

/// A level of the tree, outermost first. The zone is level 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(pub u8);

impl Level {
    /// The next level inwards.
    #[must_use]
    pub fn inner(self) -> Self {
        Self(self.0 + 1)
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }

    /// A domain's depth at this level; the root has 0.
    fn depth(self) -> u8 {
        self.0 + 1
    }
}

#[derive(Clone, Debug)]
struct Node {
    path: String,
    /// 0 for the root, 1 for zones.
    depth: u8,
    parent: Domain,
    /// The first number that is not within it.
    end: Domain,
}

/// All failure domains. Domains are numbered depth first, so a domain and what lies
/// within it are one range of numbers.
#[derive(Clone, Debug)]
pub struct Tree {
    levels: Vec<String>,
    nodes: Vec<Node>,
    by_path: HashMap<String, Domain>,
}

/// A domain by names, before it has a number.
#[derive(Default)]
struct Branch {
    inner: BTreeMap<String, Branch>,
}

impl Branch {
    /// Adds a domain and all that it lies in; `levels` counts the machine.
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

    /// Numbers it and what lies within it, depth first.
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

/// Why a path names no domain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// It has as many names as there are levels, or more.
    #[error("{path:?} names {named} levels; above the machine there are {above}")]
    TooDeep {
        /// The path.
        path: String,
        /// How many levels it names.
        named: usize,
        /// How many there are above the machine.
        above: usize,
    },
    /// A name in it is empty or has spaces.
    #[error("{0:?} has a name that is empty or has spaces")]
    Name(String),
}

impl Tree {
    /// A tree of the named levels, outermost first, the last one being the
    /// machine itself, with these domains and all that they lie in. A path
    /// names one domain of each level from the outermost on, `zone/rack`.
    ///
    /// # Errors
    /// A path with an empty name or with more names than there are levels.
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

    /// The level of this name. The innermost is the machine, see
    /// [`Tree::is_machine`].
    pub fn level(&self, name: &str) -> Option<Level> {
        let at = self.levels.iter().position(|l| l == name)?;
        Some(Level(at as u8))
    }
    /// A level's name.
    pub fn level_name(&self, level: Level) -> &str {
        self.levels.get(level.index()).map_or("?", |l| l)
    }
    /// All levels' names, outermost first.
    pub fn levels(&self) -> &[String] {
        &self.levels
    }
    /// Whether this level's domains are the machines themselves.
    pub fn is_machine(&self, level: Level) -> bool {
        level.index() + 1 >= self.levels.len()
    }
    /// The domain of this path; the empty path is the root's.
    pub fn find(&self, path: &str) -> Option<Domain> {
        self.by_path.get(path).copied()
    }
    /// A domain's path.
    pub fn path(&self, domain: Domain) -> &str {
        &self.node(domain).path
    }
    /// The numbers within a domain, itself included.
    pub fn range(&self, domain: Domain) -> Range<Domain> {
        domain..self.node(domain).end
    }
    /// Whether `inner` is `outer` or lies within it.
    pub fn covers(&self, outer: Domain, inner: Domain) -> bool {
        self.range(outer).contains(&inner)
    }
    /// The domain of a level that a place lies in; none if that is not known.
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
    /// All domains of a level.
    pub fn domains(&self, level: Level) -> impl Iterator<Item = Domain> + '_ {
        self.nodes
            .iter()
            .enumerate()
            .filter(move |(_, n)| n.depth == level.depth())
            .map(|(i, _)| Domain(i as u32))
    }
    /// A domain's level; none for the root.
    pub fn level_of(&self, domain: Domain) -> Option<Level> {
        self.node(domain).depth.checked_sub(1).map(Level)
    }
    /// How many domains there are, with the root.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
    /// Whether there is none but the root.
    pub fn is_empty(&self) -> bool {
        self.nodes.len() <= 1
    }
}
