//! Tests of the selector language: which labels a selector matches, and the
//! position in syntax errors.

use {
    expect_test::expect,
    mango_config::Selector,
    proptest::prelude::*,
    std::{collections::HashMap, fmt::Write},
};

fn matches(selector: &str, labels: &str) -> bool {
    let labels: HashMap<&str, &str> =
        labels.split_whitespace().filter_map(|label| label.split_once('=')).collect();
    let selector: Selector = selector.parse().expect("selector parses");
    selector.matches(|key| labels.get(key).copied())
}

/// A wrong match result would let work run where operators excluded it.
#[test]
fn truth_table() {
    let table = [
        ("", "", true),
        ("a=1", "a=1", true),
        ("a=1", "a=2", false),
        ("a=1", "", false),
        ("a!=1", "a=2", true),
        ("a!=1", "a=1", false),
        ("a!=1", "", true),
        ("a in (1,2)", "a=2", true),
        ("a in (1, 2)", "a=3", false),
        ("a in (1,2)", "", false),
        ("a notin (1,2)", "a=1", false),
        ("a notin (1,2)", "a=3", true),
        ("a notin (1,2)", "", true),
        ("a", "a=1", true),
        ("a", "b=1", false),
        ("!a", "b=1", true),
        ("!a", "a=1", false),
        ("a=1 and b", "a=1 b=x", true),
        ("a=1 and b", "a=1", false),
        ("a = 1 and  !c and b notin(x)", "a=1 b=y", true),
        ("a=in and b=and", "a=in b=and", true),
        ("inner and android", "inner=1 android=1", true),
        ("mesto=Žilina", "mesto=Žilina", true),
    ];
    for (selector, labels, expected) in table {
        assert_eq!(matches(selector, labels), expected, "{selector:?} on {labels:?}");
    }
}

/// Syntax errors must give their position, so that they can be found in a long
/// selector.
#[test]
fn errors_name_the_position() {
    let mut text = String::new();
    for selector in [
        "a=",
        "a==1",
        "=1",
        "a=1 b=2",
        "a=1 and",
        "a in 1",
        "a in ()",
        "a in (1",
        "a in (1 2)",
        "a!1",
        "!",
        "and=1",
        "a=1 or b=2",
        "a=\"x\"",
        "!a=1",
    ] {
        let error = selector.parse::<Selector>().expect_err(selector);
        writeln!(text, "{selector:12} {error}").expect("write to string");
    }
    expect![[r#"
        a=           position 3: expected a value, found the end
        a==1         position 3: equality is written with one `=`, found `=`
        =1           position 1: expected a label key, found `=`
        a=1 b=2      position 5: expected `and` or the end, found `b`
        a=1 and      position 8: expected a label key, found the end
        a in 1       position 6: expected `(`, found `1`
        a in ()      position 7: expected a value, found `)`
        a in (1      position 8: expected `,` or `)`, found the end
        a in (1 2)   position 9: expected `,` or `)`, found `2`
        a!1          position 3: expected `=` after `!`, found `1`
        !            position 2: expected a label key, found the end
        and=1        position 1: expected a label key, `and` is reserved, found `a`
        a=1 or b=2   position 5: expected `and` or the end, found `o`
        a="x"        position 3: expected a value, found `"`
        !a=1         position 3: expected `and` or the end, found `=`
    "#]]
    .assert_eq(&text);
}

proptest! {
    /// Arbitrary text must not make the parser panic, because that would stop a
    /// router; a parsed selector survives printing and parsing again.
    #[test]
    fn any_text_parses_or_fails(text in "[ a-c=!(),ndio]{0,40}|.{0,40}") {
        if let Ok(selector) = text.parse::<Selector>() {
            let again: Selector = selector.to_string().parse().expect("printed selector parses");
            prop_assert_eq!(selector, again);
        }
    }
}
