//! Tree of a YAML document with the line of each node.

use std::collections::HashMap;

use serde_saphyr::granit_parser::{Event, Parser, ScalarStyle, Span};

use crate::yaml::LocatedFault;

/// Maximum nesting depth.
const MAX_DEPTH: usize = 32;
/// Maximum number of nodes; an alias counts as many as it expands to.
const MAX_NODES: usize = 1_000_000;

/// One node with its line.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Line number, starting at 1.
    pub line: usize,
    /// Content.
    pub node: Node,
}

/// Content of a node.
#[derive(Clone, Debug)]
pub enum Node {
    /// Scalar with its text as written.
    Scalar {
        /// Text without quotes.
        text: String,
        /// Whether it was written without quotes.
        plain: bool,
    },
    /// Elements in order.
    List(Vec<Tree>),
    /// Keys, each with its line, and values, in order.
    Map(Vec<(String, usize, Tree)>),
    /// Placeholder for a missing or rejected value.
    Absent,
}

impl Tree {
    /// Parses a text that holds one document.
    ///
    /// # Errors
    ///
    /// The first syntax fault, since the text after it cannot be parsed reliably.
    pub fn parse(text: &str) -> Result<Self, LocatedFault> {
        let mut builder = Builder {
            parser: Parser::new_from_str(text),
            anchors: HashMap::new(),
            nodes: 0,
            line: 1,
        };
        builder.document()
    }

    /// Returns the line of a path such as `classes[2].select`.
    ///
    /// If the last field of the path is absent, this is the line of the node
    /// that should contain it.
    pub fn line_of(&self, path: &str) -> usize {
        let mut current = self;
        let mut line = self.line;
        for segment in path.split(['.', '[']).filter(|s| !s.is_empty()) {
            let found = match (&current.node, segment.strip_suffix(']')) {
                (Node::List(list), Some(index)) => {
                    index.parse().ok().and_then(|i: usize| list.get(i)).map(|t| (t.line, t))
                }
                (Node::Map(map), _) => {
                    map.iter().find(|(key, ..)| key == segment).map(|(_, at, t)| (*at, t))
                }
                _ => None,
            };
            let Some((at, next)) = found else { return line };
            (line, current) = (at, next);
        }
        line
    }

    /// Describes the node for an error message.
    pub fn describe(&self) -> String {
        match &self.node {
            Node::Scalar { text, .. } => format!("`{text}`"),
            Node::List(_) => "a list".to_owned(),
            Node::Map(_) => "a map".to_owned(),
            Node::Absent => "nothing".to_owned(),
        }
    }
}

struct Builder<'t> {
    parser: Parser<'t, serde_saphyr::granit_parser::StrInput<'t>>,
    anchors: HashMap<usize, Tree>,
    nodes: usize,
    line: usize,
}

impl<'t> Builder<'t> {
    fn fault<T>(&self, text: impl Into<String>) -> Result<T, LocatedFault> {
        Err(LocatedFault { line: self.line, path: String::new(), text: text.into() })
    }

    fn next(&mut self) -> Result<(Event<'t>, usize), LocatedFault> {
        loop {
            let (event, span): (Event<'t>, Span) = match self.parser.next() {
                Some(Ok(found)) => found,
                Some(Err(e)) => {
                    let line = e.marker().line();
                    let text = format!("{}; fix the YAML here", e.info());
                    return Err(LocatedFault { line, path: String::new(), text });
                }
                None => return Ok((Event::StreamEnd, self.line)),
            };
            self.line = span.start.line().max(1);
            if !matches!(event, Event::StreamStart | Event::DocumentStart(..) | Event::Comment(..))
            {
                return Ok((event, self.line));
            }
        }
    }

    fn document(&mut self) -> Result<Tree, LocatedFault> {
        let (event, line) = self.next()?;
        if matches!(event, Event::StreamEnd | Event::DocumentEnd) {
            return Ok(Tree { line: 1, node: Node::Map(Vec::new()) });
        }
        let tree = self.node(event, line, 0)?;
        loop {
            match self.next()?.0 {
                Event::DocumentEnd => {}
                Event::StreamEnd => return Ok(tree),
                _ => return self.fault("a second YAML document begins; write only one"),
            }
        }
    }

    fn node(&mut self, event: Event<'t>, line: usize, depth: usize) -> Result<Tree, LocatedFault> {
        self.nodes += 1;
        if depth > MAX_DEPTH || self.nodes > MAX_NODES {
            return self.fault("nesting is too deep or the document has too many nodes");
        }
        let (node, anchor) = match event {
            Event::Scalar(text, style, anchor, _) => {
                let plain = style == ScalarStyle::Plain;
                (Node::Scalar { text: text.into_owned(), plain }, anchor)
            }
            Event::SequenceStart(_, anchor, _) => (self.list(depth)?, anchor),
            Event::MappingStart(_, anchor, _) => (self.map(depth)?, anchor),
            Event::Alias(id) => return self.alias(id, line),
            _ => return self.fault("a value is expected here"),
        };
        let tree = Tree { line, node };
        if anchor > 0 {
            self.anchors.insert(anchor, tree.clone());
        }
        Ok(tree)
    }

    fn alias(&mut self, id: usize, line: usize) -> Result<Tree, LocatedFault> {
        let Some(tree) = self.anchors.get(&id) else {
            return self.fault("this alias refers to an anchor that contains it");
        };
        let node = tree.node.clone();
        self.nodes += count_nodes(&node);
        Ok(Tree { line, node })
    }

    fn list(&mut self, depth: usize) -> Result<Node, LocatedFault> {
        let mut list = Vec::new();
        loop {
            match self.next()? {
                (Event::SequenceEnd, _) => return Ok(Node::List(list)),
                (event, line) => list.push(self.node(event, line, depth + 1)?),
            }
        }
    }

    fn map(&mut self, depth: usize) -> Result<Node, LocatedFault> {
        let mut map: Vec<(String, usize, Tree)> = Vec::new();
        loop {
            let (key, at) = match self.next()? {
                (Event::MappingEnd, _) => return Ok(Node::Map(map)),
                (Event::Scalar(key, ..), at) => (key.into_owned(), at),
                _ => return self.fault("a key must be a scalar"),
            };
            let (event, line) = self.next()?;
            let value = self.node(event, line, depth + 1)?;
            map.push((key, at, value));
        }
    }
}

fn count_nodes(node: &Node) -> usize {
    match node {
        Node::Scalar { .. } | Node::Absent => 1,
        Node::List(list) => list.iter().map(|t| count_nodes(&t.node)).sum::<usize>() + 1,
        Node::Map(map) => map.iter().map(|(_, _, t)| count_nodes(&t.node)).sum::<usize>() + 1,
    }
}
