//! Requests of the quickstart and checks of their outcomes.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Body;
use ureq::http::Response;

use crate::fleet::Instance;
use crate::process::agent;

/// Most attempts to read the explanation of a request.
const EXPLAIN_ATTEMPTS: usize = 5;
/// Time between two of these attempts.
const EXPLAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Expected outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// A complete answer with status 200.
    Complete,
    /// An error with this status and the header `mimosapass-not-run`.
    NotRun(u16),
    /// A stream that ends with a read error, before its end marker.
    CutOff,
}

/// One request and its expected outcome.
#[derive(Clone, Debug)]
pub struct Request {
    name: &'static str,
    path: String,
    workspace: &'static str,
    body: String,
    stream: bool,
    tokens: Option<u64>,
    id: Option<&'static str>,
    expected: Expected,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the request.
    pub name: &'static str,
    /// Availability zone of the instance that received it.
    pub zone: &'static str,
    /// Target that served it.
    pub target: String,
    /// Time to first token.
    pub first: Option<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Text for the outcome column.
    pub summary: String,
    /// Text for the column that explains the choice of the target.
    pub why: String,
    /// Whether the outcome is the expected one.
    pub as_expected: bool,
}

impl Request {
    /// Builds a chat with `prompt_tokens` tokens that asks for `answer_tokens` tokens.
    pub fn chat(name: &'static str, prompt_tokens: usize, answer_tokens: u64) -> Self {
        let text = "abcd".repeat(prompt_tokens);
        let body = format!(
            r#"{{"model":"chat","stream":STREAM,"max_tokens":{answer_tokens},"messages":[{{"role":"user","content":"{text}"}}]}}"#
        );
        let path = "v1/chat/completions".to_owned();
        let tokens = Some(answer_tokens);
        Self { tokens, ..Self::new(name, path, body) }
    }

    /// Builds a call to a service.
    pub fn service(name: &'static str, path: &str, body: &str) -> Self {
        Self::new(name, format!("services/{path}"), body.to_owned())
    }

    fn new(name: &'static str, path: String, body: String) -> Self {
        let expected = Expected::Complete;
        Self {
            name,
            path,
            workspace: "atlas",
            body,
            stream: false,
            tokens: None,
            id: None,
            expected,
        }
    }

    /// Sets the caller's identifier of the request.
    pub fn id(mut self, id: &'static str) -> Self {
        self.id = Some(id);
        self
    }

    /// Asks for a streamed answer.
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Sets the workspace.
    pub fn workspace(mut self, workspace: &'static str) -> Self {
        self.workspace = workspace;
        self
    }

    /// Sets the expected outcome.
    pub fn expect(mut self, expected: Expected) -> Self {
        self.expected = expected;
        self
    }

    /// Sends the request and reads the answer to its end.
    pub fn send(&self, instance: &Instance) -> Result<Outcome, Box<dyn Error>> {
        let pending = self.open(instance)?;
        Ok(pending.finish())
    }

    /// Sends the request and reads a streamed answer up to its first event.
    pub fn open(&self, instance: &Instance) -> Result<PendingAnswer, Box<dyn Error>> {
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
        let (instance, request) = (instance.clone(), self.clone());
        let mut pending = PendingAnswer::new(request, instance, response, start);
        pending.status = status;
        pending.not_run = not_run == "true";
        if pending.request.stream {
            pending.read_line();
            pending.first = Some(start.elapsed());
        }
        pending.id = id;
        Ok(pending)
    }
}

/// A request whose answer is being read.
pub struct PendingAnswer {
    request: Request,
    instance: Instance,
    reader: BufReader<ureq::BodyReader<'static>>,
    text: String,
    cut_off: bool,
    status: u16,
    not_run: bool,
    explanation: Value,
    id: String,
    start: Instant,
    first: Option<Duration>,
}

impl PendingAnswer {
    fn new(request: Request, instance: Instance, response: Response<Body>, start: Instant) -> Self {
        Self {
            request,
            instance,
            reader: BufReader::new(response.into_body().into_reader()),
            text: String::new(),
            cut_off: false,
            status: 0,
            not_run: false,
            explanation: Value::Null,
            id: String::new(),
            start,
            first: None,
        }
    }

    /// Reads one line; returns whether more may follow.
    fn read_line(&mut self) -> bool {
        let read = self.reader.read_line(&mut self.text);
        self.cut_off |= read.is_err();
        read.is_ok_and(|bytes| bytes > 0)
    }

    /// Reads the explanation, which the instance has once the request has ended.
    fn explain(&mut self) {
        for _ in 0..EXPLAIN_ATTEMPTS {
            if let Some(explanation) = self.instance.read_page(&format!("explain/{}", self.id)) {
                self.explanation = explanation;
                return;
            }
            thread::sleep(EXPLAIN_INTERVAL);
        }
    }

    /// Reads the answer to its end.
    pub fn finish(mut self) -> Outcome {
        while self.read_line() {}
        let total = self.start.elapsed();
        self.explain();
        let reported = self.explanation["first_ms"].as_u64().map(Duration::from_millis);
        Outcome {
            name: self.request.name,
            zone: self.instance.zone,
            target: text(&self.explanation["target"]),
            first: self.first.or(reported),
            total,
            as_expected: self.is_expected(),
            summary: self.summary(),
            why: self.why(),
        }
    }

    fn is_expected(&self) -> bool {
        match self.request.expected {
            Expected::Complete => self.status == 200 && !self.cut_off && self.is_complete(),
            Expected::NotRun(status) => self.status == status && self.not_run && !self.cut_off,
            Expected::CutOff => self.cut_off && !self.text.contains("data: [DONE]"),
        }
    }

    /// Returns whether all tokens arrived in order, followed by the end marker.
    ///
    /// The answer of a service must say that the call ran exactly once.
    fn is_complete(&self) -> bool {
        let Some(tokens) = self.request.tokens else { return self.text.contains("\"runs\":1,") };
        let answer: String = if self.request.stream {
            let events = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
            let parsed = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
            parsed.map(|e| text(&e["choices"][0]["delta"]["content"])).collect()
        } else {
            let body: Value = serde_json::from_str(&self.text).unwrap_or_default();
            text(&body["choices"][0]["message"]["content"])
        };
        let expected = (0..tokens).map(|n| format!("t{n}"));
        answer.split_whitespace().eq(expected)
            && (!self.request.stream || self.text.contains("data: [DONE]"))
    }

    fn summary(&self) -> String {
        match (self.cut_off, self.not_run) {
            (true, _) => "broken off, and seen as such".to_owned(),
            (false, true) => format!("{}, not run", self.status),
            (false, false) => format!("{} whole", self.status),
        }
    }

    fn why(&self) -> String {
        let steps = self.explanation["steps"].as_array().cloned().unwrap_or_default();
        let reasons: Vec<String> = steps.iter().map(text).collect();
        match (reasons.is_empty(), self.cut_off, self.not_run) {
            (false, _, _) => reasons.join("; "),
            (true, true, _) => "the instance that knew is gone".to_owned(),
            (true, false, true) => format!("refused: {}", text(&self.explanation["outcome"])),
            (true, false, false) => String::new(),
        }
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
