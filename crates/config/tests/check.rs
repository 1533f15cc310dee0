//! Tests of the validation that `mangoctl check` and the router share, and of
//! reading configuration files.

use {
    expect_test::expect,
    mango_config::{check_objects, parse_objects, read_objects},
    std::{collections::HashMap, fmt::Write, path::Path},
};

/// The shipped examples must be valid, since operators start from them.
#[test]
fn examples_pass() {
    for name in ["wage-survey", "gas-recalls"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
        let file = read_objects(&path).expect("example is readable");
        assert!(file.objects.len() > 30, "{name} has {} objects", file.objects.len());
        assert_eq!(check_objects(&file.objects), [], "{name}");
    }
}

/// A problem must give the object, the field and the expected value.
#[test]
fn problems_name_object_and_field() {
    let file = parse_objects(
        r#"[
        {"endpoint":{"id":"e1","kind":"engine","address":"localhost:1","region":"r","zone":"z"}},
        {"endpoint":{"id":"e2","kind":"engine","address":"10.0.0.1:1","region":"r","zone":"z",
          "labels":{"endpoint.id":"x"}}},
        {"endpoint":{"id":"e3","kind":"engine","address":"10.0.0.1:1","region":"r","zone":"z",
          "repeatable":["w9"],"weight":0}},
        {"pool":{"id":"p","selector":"a b","cap_multiple":0.5}},
        {"team":{"id":"t 1"}},
        {"team":{"id":"t2","labels":{"a":"x y"}}},
        {"team":{"id":"t3"}}, {"team":{"id":"t3"}},
        {"route":{"id":"r","work":"a=","pool":"q"}}]"#,
    )
    .expect("parses");
    let mut text = String::new();
    for problem in check_objects(&file.objects) {
        writeln!(text, "{problem}").expect("write to string");
    }
    expect![[r#"
        endpoint/e1: address: "localhost:1" is not an IP address and port, expected for example 10.0.0.7:8000
        endpoint/e2: labels.endpoint.id: the key is reserved
        endpoint/e3: weight: 0, expected 0.001 to 1000
        pool/p: selector: position 3: expected `and` or the end, found `b` in "a b"
        team/t 1: id: ' ' in "t 1", expected a-z, A-Z, 0-9, `.`, `_`, `-`
        team/t2: labels.a: ' ' in the value, expected letters, digits, `_`, `-`, `.`, `/`, `:`
        route/r: work: position 3: expected a value, found the end in "a="
        team/t3: id: occurs twice
        endpoint/e3: repeatable[0]: work/w9 does not exist
        route/r: pool: pool/q does not exist
    "#]]
    .assert_eq(&text);
}

/// An unknown or mistyped field must not be ignored silently; the error gives its
/// path.
#[test]
fn parse_errors_name_the_path() {
    let mut text = String::new();
    for source in [
        r#"[{"team":{"id":"a"}},{"team":{"id":"b","wieght":2}}]"#,
        r#"{"work":{"id":"a","idempotent":"yes"}}"#,
        r#"{"work":{"id":"a"}}"#,
        r#"{"endpoint":{"id":"e","kind":"gpu","address":"a","region":"r","zone":"z"}}"#,
        r#"{"teem":{"id":"a"}}"#,
        r#"{"team":{"id":"a"},"pool":{"id":"b","selector":""}}"#,
        r#"[3]"#,
        r#"[{"team":{"id":"a"}}"#,
    ] {
        let error = parse_objects(source).expect_err(source);
        writeln!(text, "{error:#}").expect("write to string");
    }
    expect![[r#"
        [1]: team b: wieght: unknown field `wieght`, expected one of `id`, `labels`, `max_in_flight`, `weight`
        work a: idempotent: invalid type: string "yes", expected a boolean
        work a: .: missing field `idempotent`
        endpoint e: kind: unknown variant `gpu`, expected `engine` or `service`
        unknown field "teem", expected one of endpoint, pool, team, work, route
        2 fields, expected exactly one of endpoint, pool, team, work, route
        [0]: expected an object with one of the fields endpoint, pool, team, work, route
        EOF while parsing a list at line 1 column 20
    "#]]
    .assert_eq(&text);
}

/// Two teams whose ids hash to the same key would share limits and chats.
#[test]
fn key_collision_is_reported() {
    let mut seen = HashMap::new();
    let (a, b) = (0..1_000_000)
        .find_map(|n| {
            let id = format!("team-{n}");
            let other = seen.insert(mango_wire::team_key(&id), id.clone())?;
            Some((other, id))
        })
        .expect("a collision among a million ids");
    let text = format!(r#"{{"team":{{"id":"{a}"}}}} {{"team":{{"id":"{b}"}}}}"#);
    let problems = check_objects(&parse_objects(&text).expect("parses").objects);
    assert_eq!(problems.len(), 1);
    assert!(problems[0].detail.contains("collides"), "{}", problems[0]);
}
