//! Tests of the format of log lines.

use {
    super::{line_format::format_line, quoted},
    flexi_logger::DeferredNow,
    log::{Level, Record},
};

/// Guards against a value whose spaces, quotes or `=` are read as further keys.
#[test]
fn values_are_quoted_where_needed() {
    let table = [
        ("plain-1.2:3/x", "plain-1.2:3/x"),
        ("", r#""""#),
        ("two words", r#""two words""#),
        ("a=b", r#""a=b""#),
        ("say \"x\"\\", r#""say \"x\"\\""#),
        ("line\nbreak\u{1b}", r#""line\nbreak\u{1b}""#),
    ];
    for (value, expected) in table {
        assert_eq!(quoted(value).to_string(), expected, "{value:?}");
    }
}

/// Guards against lines without time or level, and against an event on two lines.
#[test]
fn line_has_time_level_and_event() {
    let mut out = Vec::new();
    let record = |args| Record::builder().level(Level::Warn).args(args).build();
    format_line(&mut out, &mut DeferredNow::new(), &record(format_args!("event=x a=1\nb")))
        .expect("formats");
    let line = String::from_utf8(out).expect("UTF-8");
    assert!(line.starts_with("ts=2") && line.ends_with("Z level=warn event=x a=1 b"), "{line}");
}
