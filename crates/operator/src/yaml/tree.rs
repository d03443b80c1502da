//! Tree of a YAML document that knows the line of each node.

use std::collections::HashMap;

use serde_saphyr::granit_parser::{Event, Parser, ScalarStyle, Span};

use crate::yaml::LocatedFault;

/// Deepest nesting.
const DEEPEST: usize = 32;
/// Most nodes; aliases count for what they stand for.
const MOST: usize = 1_000_000;

/// One node with its line.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Line, from 1.
    pub line: usize,
    /// Content.
    pub node: Node,
}

/// Content of a node.
#[derive(Clone, Debug)]
pub enum Node {
    /// Text as written; `plain` when it stands without quotes.
    Scalar {
        /// Text.
        text: String,
        /// Whether it stands without quotes.
        plain: bool,
    },
    /// Elements in order.
    List(Vec<Tree>),
    /// Keys, each with its line, and values, in order.
    Map(Vec<(String, usize, Tree)>),
    /// Stands in for a field that is missing.
    Absent,
}

impl Tree {
    /// Parses the one document of a text.
    ///
    /// # Errors
    ///
    /// The first fault in the syntax, since nothing behind it is sure.
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
    /// Where the path ends in a field that is absent, it is the line of the
    /// node that should have it.
    pub fn line_of(&self, path: &str) -> usize {
        let mut here = self;
        let mut line = self.line;
        for step in path.split(['.', '[']).filter(|s| !s.is_empty()) {
            let found = match (&here.node, step.strip_suffix(']')) {
                (Node::List(list), Some(index)) => {
                    index.parse().ok().and_then(|i: usize| list.get(i)).map(|t| (t.line, t))
                }
                (Node::Map(map), _) => {
                    map.iter().find(|(key, ..)| key == step).map(|(_, at, t)| (*at, t))
                }
                _ => None,
            };
            let Some((at, next)) = found else { return line };
            (line, here) = (at, next);
        }
        line
    }

    /// Returns what kind of node it is, for people.
    pub fn kind(&self) -> String {
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
                    let text = format!("{}; mend the YAML here", e.info());
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
                _ => return self.fault("a second document begins; write just one"),
            }
        }
    }

    fn node(&mut self, event: Event<'t>, line: usize, depth: usize) -> Result<Tree, LocatedFault> {
        self.nodes += 1;
        if depth > DEEPEST || self.nodes > MOST {
            return self.fault("this is nested too deeply or holds too much");
        }
        let (node, anchor) = match event {
            Event::Scalar(text, style, anchor, _) => {
                let plain = style == ScalarStyle::Plain;
                (Node::Scalar { text: text.into_owned(), plain }, anchor)
            }
            Event::SequenceStart(_, anchor, _) => (self.list(depth)?, anchor),
            Event::MappingStart(_, anchor, _) => (self.map(depth)?, anchor),
            Event::Alias(id) => return self.alias(id, line),
            _ => return self.fault("a value is wanted here"),
        };
        let tree = Tree { line, node };
        if anchor > 0 {
            self.anchors.insert(anchor, tree.clone());
        }
        Ok(tree)
    }

    fn alias(&mut self, id: usize, line: usize) -> Result<Tree, LocatedFault> {
        let Some(tree) = self.anchors.get(&id) else {
            return self.fault("this alias names an anchor that encloses it");
        };
        let node = tree.node.clone();
        self.nodes += count(&node);
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
                _ => return self.fault("a key must be a plain word"),
            };
            let (event, line) = self.next()?;
            let value = self.node(event, line, depth + 1)?;
            map.push((key, at, value));
        }
    }
}

fn count(node: &Node) -> usize {
    match node {
        Node::Scalar { .. } | Node::Absent => 1,
        Node::List(list) => list.iter().map(|t| count(&t.node)).sum::<usize>() + 1,
        Node::Map(map) => map.iter().map(|(_, _, t)| count(&t.node)).sum::<usize>() + 1,
    }
}
