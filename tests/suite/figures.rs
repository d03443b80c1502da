//! Figures of `mimosapass serve` and `mimosactl` in every form, and settings that change while an
//! instance runs.

use std::time::{Duration, Instant};

use mimosapass_operator::document::parse;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, agent, chat_body, post, wait_until};
use crate::settings::{VALID, check};

#[rstest]
#[case::whole("5000")]
#[case::with_a_point("5000.0")]
#[case::exponent("5e3")]
#[case::fraction("5000.5")]
#[case::no_value("")]
fn figure_in_any_form_is_accepted(
    #[case] form: &str,
    #[values("head_ms", "body_ms", "idle_ms", "write_ms", "body_bytes", "connections")] field: &str,
) {
    let text = VALID.replace("head_ms: 5000", &format!("{field}: {form}"));
    let (code, printed) = check(&text, &format!("figure-{field}-{}", form.len()));
    let whole_only = matches!(field, "body_bytes" | "connections") && form.contains(".5");
    assert_eq!(code, Some(if whole_only { 2 } else { 0 }), "{printed}");
    assert!(!whole_only || printed.contains("write a whole number"), "{printed}");
}

#[rstest]
#[case::text("soon")]
#[case::negative("-1")]
#[case::truth("false")]
#[case::infinite("inf")]
#[case::not_finite("1e400")]
fn what_is_no_figure_is_refused(
    #[case] form: &str,
    #[values("head_ms", "body_bytes", "connections")] field: &str,
) {
    let text = VALID.replace("head_ms: 5000", &format!("{field}: {form}"));
    let (code, printed) = check(&text, &format!("refused-{field}-{form}"));
    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains(&format!(":10: callers.{field}: ")), "{printed}");
    assert!(printed.contains("write "), "{printed}");
}

/// Configurations that operators apply: whole numbers in any form.
#[rstest]
#[case::with_a_point("1800.0")]
#[case::exponent("1.8e3")]
fn configuration_with_a_figure_in_any_form_is_the_same(#[case] form: &str) {
    let text = CONFIG.replace("promise_ms: 1800", &format!("promise_ms: {form}"));
    let (written, plain) = (parse(&text).expect("valid"), parse(CONFIG).expect("valid"));
    assert_eq!(format!("{:?}", written.config), format!("{:?}", plain.config));
}

#[test]
fn deadline_of_a_caller_in_any_form_is_accepted() {
    let fleet = Fleet::single("");
    let url = fleet.instances[0].url("/v1/chat/completions");
    for form in ["20000", "20000.0", "2e4"] {
        let request = agent().post(&url).header("mimosapass-workspace", "atlas");
        let request = request.header("mimosapass-deadline-ms", form);
        let response = request.send(chat_body(100, 3, false)).expect("an answer");
        assert_eq!(response.status(), 200, "{form}");
    }
    for form in ["0", "-1", "soon", "inf", ""] {
        let request = agent().post(&url).header("mimosapass-workspace", "atlas");
        let request = request.header("mimosapass-deadline-ms", form);
        let response = request.send(chat_body(100, 3, false)).expect("an answer");
        assert_eq!(response.status(), 400, "{form}");
    }
}

/// Guards against an instance that ends at SIGHUP, and one that keeps a limit that was lowered.
#[rstest]
fn lowered_limit_holds_at_the_next_stop(#[values(true, false)] signal: bool) {
    let mut fleet = Fleet::single("stop: {notice_ms: 100, limit_ms: 60000}\n");
    fleet.service.set(mimosapass_standin::service::Faults { hold: true, ..Default::default() });
    let url = fleet.instances[0].url("/services/bookings/vans");
    let booking = std::thread::spawn(move || {
        post(&url, &[("idempotency-key", "b")], "a").expect("an answer")
    });
    wait_until("the service has the call", || !fleet.service.runs().is_empty());
    fleet.rewrite(0, "limit_ms: 60000", "limit_ms: 1500.0");
    if signal {
        fleet.instances[0].signal("HUP");
        assert_eq!(fleet.instances[0].child.try_wait().expect("a state"), None, "it runs on");
    }
    let begun = Instant::now();
    fleet.instances[0].signal("TERM");
    let seen = booking.join().expect("an answer");
    assert_eq!((seen.status, seen.not_run), (502, false), "{seen:?}");
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    assert!(fleet.instances[0].child.wait().expect("it ends").success());
}
