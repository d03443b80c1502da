//! Templates are filled in as the platform's page describes.

use mimosapass_standin::template::{fill, placeholders};
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::value("a {{a}}", "a 8")]
#[case::nested("{{t.x}}", "1.5")]
#[case::entry("{{l.1}}", "y")]
#[case::list("{{l}}", "x,y")]
#[case::table("{{t}}", r#"{"x":1.5}"#)]
#[case::no_value("[{{n}}{{missing}}]", "[]")]
#[case::as_json("{{l|json}}", r#"["x","y"]"#)]
#[case::section("{{#l}}<{{.}}>{{,}}{{/l}}", "<x>,<y>")]
#[case::keys("{{#t}}{{@}}={{.}}{{/t}}", "x=1.5")]
#[case::true_section("{{#yes}}on{{/yes}}", "on")]
#[case::false_section("{{#no}}on{{/no}}{{^no}}off{{/no}}", "off")]
#[case::inverted("{{^missing}}none{{/missing}}", "none")]
#[case::outer_name("{{#l}}{{a}}{{/l}}", "88")]
fn placeholder_is_filled_in(#[case] template: &str, #[case] wanted: &str) {
    let fields = json!({
        "a": 8, "t": { "x": 1.5 }, "l": ["x", "y"], "n": null, "yes": true, "no": false,
    });
    assert_eq!(fill(template, &fields), wanted);
}

#[test]
fn all_names_are_listed() {
    let names = placeholders("{{a}}{{#l}}{{.}}{{,}}{{b|json}}{{/l}}{{^c}}{{d.e}}{{/c}}");
    assert_eq!(names.into_iter().collect::<Vec<_>>(), ["a", "b", "c", "d.e", "l"]);
}
