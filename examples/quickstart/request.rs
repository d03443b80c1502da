//! Requests of the quickstart, and whether their outcomes are right.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Body;
use ureq::http::Response;

use crate::fleet::Instance;
use crate::process::agent;

/// Looks at the reasons of a request, at most.
const EXPLAINS: usize = 5;
/// Time between two such looks.
const PAUSE: Duration = Duration::from_millis(20);

/// Outcome that a request should have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Want {
    /// A whole answer with status 200.
    Whole,
    /// A refusal with this status that says that nothing ran.
    NotRun(u16),
    /// A stream that visibly breaks off.
    Broken,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Ask {
    name: &'static str,
    path: String,
    workspace: &'static str,
    body: String,
    stream: bool,
    tokens: Option<u64>,
    id: Option<&'static str>,
    want: Want,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What was asked.
    pub name: &'static str,
    /// Availability zone of the instance that took it.
    pub zone: &'static str,
    /// Target that served it.
    pub target: String,
    /// Time to first token.
    pub first: Option<Duration>,
    /// Whole time.
    pub whole: Duration,
    /// Outcome in a few words.
    pub outcome: String,
    /// Why it went there.
    pub why: String,
    /// Whether the outcome is the wanted one.
    pub right: bool,
}

impl Ask {
    /// Builds a chat of `prompt` tokens that asks for `answer` tokens.
    pub fn chat(name: &'static str, prompt: usize, answer: u64) -> Self {
        let text = "abcd".repeat(prompt);
        let body = format!(
            r#"{{"model":"chat","stream":STREAM,"max_tokens":{answer},"messages":[{{"role":"user","content":"{text}"}}]}}"#
        );
        let path = "v1/chat/completions".to_owned();
        let tokens = Some(answer);
        Self { tokens, ..Self::new(name, path, body) }
    }

    /// Builds a call to a plain service.
    pub fn service(name: &'static str, path: &str, body: &str) -> Self {
        Self::new(name, format!("services/{path}"), body.to_owned())
    }

    fn new(name: &'static str, path: String, body: String) -> Self {
        let want = Want::Whole;
        Self { name, path, workspace: "atlas", body, stream: false, tokens: None, id: None, want }
    }

    /// States the caller's identifier of the request.
    pub fn id(mut self, id: &'static str) -> Self {
        self.id = Some(id);
        self
    }

    /// Asks for a streamed answer.
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Sends it as another workspace.
    pub fn of(mut self, workspace: &'static str) -> Self {
        self.workspace = workspace;
        self
    }

    /// States the outcome that is right.
    pub fn wants(mut self, want: Want) -> Self {
        self.want = want;
        self
    }

    /// Sends it and follows the answer to its end.
    pub fn send(&self, instance: &Instance) -> Result<Seen, Box<dyn Error>> {
        let open = self.open(instance)?;
        Ok(open.finish())
    }

    /// Sends it and reads a streamed answer up to its first event.
    pub fn open(&self, instance: &Instance) -> Result<Open, Box<dyn Error>> {
        let start = Instant::now();
        let stream = if self.stream { "true" } else { "false" };
        let mut request = agent().post(instance.url(&self.path));
        request = request.header("mimosapass-workspace", self.workspace);
        if let Some(id) = self.id {
            request = request.header("mimosapass-request-id", id);
        }
        let response = request.send(self.body.replacen("STREAM", stream, 1))?;
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let (id, not_run) = (header("mimosapass-request-id"), header("mimosapass-not-run"));
        let status = response.status().as_u16();
        let (instance, ask) = (instance.clone(), self.clone());
        let mut open = Open::new(ask, instance, response, start);
        open.status = status;
        open.not_run = not_run == "true";
        if open.ask.stream {
            open.line();
            open.first = Some(start.elapsed());
        }
        open.id = id;
        Ok(open)
    }
}

/// A request whose answer is still coming.
pub struct Open {
    ask: Ask,
    instance: Instance,
    reader: BufReader<ureq::BodyReader<'static>>,
    text: String,
    broken: bool,
    status: u16,
    not_run: bool,
    story: Value,
    id: String,
    start: Instant,
    first: Option<Duration>,
}

impl Open {
    fn new(ask: Ask, instance: Instance, response: Response<Body>, start: Instant) -> Self {
        Self {
            ask,
            instance,
            reader: BufReader::new(response.into_body().into_reader()),
            text: String::new(),
            broken: false,
            status: 0,
            not_run: false,
            story: Value::Null,
            id: String::new(),
            start,
            first: None,
        }
    }

    /// Reads one line; returns whether there may be more.
    fn line(&mut self) -> bool {
        let read = self.reader.read_line(&mut self.text);
        self.broken |= read.is_err();
        read.is_ok_and(|bytes| bytes > 0)
    }

    /// Asks the instance for its reasons, which it keeps once the request has ended.
    fn explain(&mut self) {
        for _ in 0..EXPLAINS {
            if let Some(story) = self.instance.page(&format!("explain/{}", self.id)) {
                self.story = story;
                return;
            }
            thread::sleep(PAUSE);
        }
    }

    /// Reads the answer to its end.
    pub fn finish(mut self) -> Seen {
        while self.line() {}
        let whole = self.start.elapsed();
        self.explain();
        let told = self.story["first_ms"].as_u64().map(Duration::from_millis);
        Seen {
            name: self.ask.name,
            zone: self.instance.zone,
            target: text(&self.story["target"]),
            first: self.first.or(told),
            whole,
            right: self.right(),
            outcome: self.outcome(),
            why: self.why(),
        }
    }

    fn right(&self) -> bool {
        match self.ask.want {
            Want::Whole => self.status == 200 && !self.broken && self.complete(),
            Want::NotRun(status) => self.status == status && self.not_run && !self.broken,
            Want::Broken => self.broken && !self.text.contains("data: [DONE]"),
        }
    }

    /// Returns whether every token came, in order, with the end mark.
    ///
    /// A service tells how often it ran the call: just once.
    fn complete(&self) -> bool {
        let Some(tokens) = self.ask.tokens else { return self.text.contains("\"runs\":1,") };
        let answer: String = if self.ask.stream {
            let events = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
            let parsed = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
            parsed.map(|e| text(&e["choices"][0]["delta"]["content"])).collect()
        } else {
            let whole: Value = serde_json::from_str(&self.text).unwrap_or_default();
            text(&whole["choices"][0]["message"]["content"])
        };
        let wanted = (0..tokens).map(|n| format!("t{n}"));
        answer.split_whitespace().eq(wanted)
            && (!self.ask.stream || self.text.contains("data: [DONE]"))
    }

    fn outcome(&self) -> String {
        match (self.broken, self.not_run) {
            (true, _) => "broken off, and seen as such".to_owned(),
            (false, true) => format!("{}, not run", self.status),
            (false, false) => format!("{} whole", self.status),
        }
    }

    fn why(&self) -> String {
        let steps = self.story["steps"].as_array().cloned().unwrap_or_default();
        let told: Vec<String> = steps.iter().map(text).collect();
        match (told.is_empty(), self.broken, self.not_run) {
            (false, _, _) => told.join("; "),
            (true, true, _) => "the instance that knew is gone".to_owned(),
            (true, false, true) => format!("refused: {}", text(&self.story["outcome"])),
            (true, false, false) => String::new(),
        }
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
