//! A planned stop cuts no request.

use std::io::{BufRead, BufReader};

use mimosapass_standin::engine::{Faults, Settings};

use crate::common::{CONFIG, Fleet, agent, chat, until};

#[test]
fn an_open_stream_outlives_the_signal() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "stop: {notice_ms: 100}\n");
    fleet.settle();
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let response = request.send(chat(100, 4, true)).expect("an answer");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    assert!(lines.next().expect("a line").expect("readable").contains("t0 "));
    fleet.instances[0].signal("TERM");
    until("the instance is not ready", || !fleet.instances[0].ready());
    engine.set(Faults::default());
    let rest: Vec<String> = lines.map(|l| l.expect("readable")).collect();
    assert!(rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
    let ended = fleet.instances[0].child.wait().expect("it ends");
    assert!(ended.success());
}
