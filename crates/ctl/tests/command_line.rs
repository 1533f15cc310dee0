//! Tests of the command line that need no running router.

use {
    expect_test::{Expect, expect},
    std::{fs, path::PathBuf},
    tempfile::NamedTempFile,
};

fn check(args: &[&str], code: u8, expected: Expect) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let actual = mangoctl::run(["mangoctl"].iter().chain(args), &mut out, &mut err);
    let text = String::from_utf8([out, err].concat()).expect("output is UTF-8");
    expected.assert_eq(&text);
    assert_eq!(actual, code, "exit code of {args:?}");
}

fn example(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name).display().to_string()
}

fn file_with(text: &str) -> (NamedTempFile, String) {
    let file = NamedTempFile::new().expect("temporary file");
    fs::write(file.path(), text).expect("write");
    let path = file.path().display().to_string();
    (file, path)
}

/// Scripts rely on exit code 0 and the counts of a valid configuration.
#[test]
fn check_accepts_an_example() {
    check(
        &["check", "-f", &example("gas-recalls")],
        0,
        expect![[r#"
        KIND      OBJECTS
        endpoint  13
        pool      2
        team      10
        work      6
        route     5
    "#]],
    );
}

/// An invalid file must be refused with code 1, and every problem in it listed.
#[test]
fn check_lists_problems() {
    let (_file, path) = file_with(r#"[{"route":{"id":"r","work":"x = = 1","pool":"p"}}]"#);
    check(
        &["check", "-f", &path],
        1,
        expect![[r#"
        mangoctl: 2 problems
          route/r: work: position 5: expected a value, found `=` in "x = = 1"
          route/r: pool: pool/p does not exist
    "#]],
    );
}

/// The exit code of usage errors must differ from that of a refusal by the router.
#[test]
fn usage_errors_have_code_2() {
    let (_file, token) = file_with("token-of-a-test-0123\n");
    let connection = ["--router", "http://127.0.0.1:1", "--token-file", &token];
    check(
        &[&["label", "pool", "p", "a=b"], &connection[..]].concat(),
        2,
        expect![[r#"
        mangoctl: a pool has no labels
    "#]],
    );
    check(
        &[&["label", "team", "t", "a"], &connection[..]].concat(),
        2,
        expect![[r#"
        mangoctl: label "a", expected key=value or key-
    "#]],
    );
    check(
        &["get", "teams"],
        2,
        expect![[r#"
        error: invalid value 'teams' for '[KIND]': expected endpoint, pool, team, work or route

        For more information, try '--help'.
    "#]],
    );
    check(
        &["get", "--token-file", "/missing"],
        2,
        expect![[r#"
        mangoctl: token file /missing: No such file or directory (os error 2)
    "#]],
    );
}

/// An unreachable router has an exit code of its own, so that scripts can retry.
#[test]
fn unreachable_has_code_3() {
    let (_file, token) = file_with("token-of-a-test-0123\n");
    let args = ["mangoctl", "get", "--router", "http://127.0.0.1:1", "--token-file", &token];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = mangoctl::run(args, &mut out, &mut err);
    assert_eq!(code, 3, "{}", String::from_utf8_lossy(&err));
}

/// The trace of a failed request must show its own lines and the earlier lines of its
/// host that explain the failure, here the loss of the store.
#[test]
fn trace_shows_a_request_with_its_context() {
    let (_file, path) = file_with(
        "  1.0 host-a ts_ms=1000 level=info event=store_lost feed=config reason=\"reset\"\n\
           1.1 host-b ts_ms=1100 level=info event=store_lost feed=config reason=\"reset\"\n\
           5.0 host-a ts_ms=5000 level=info event=request_refused id=r1 status=503 \
         reason=log_unavailable config_age_ms=4000\n\
           5.2 host-a ts_ms=5200 level=info event=request_refused id=r2 status=503\n\
         not a line of a router\n",
    );
    check(
        &["trace", "--request", "r1", "--log", &path],
        0,
        expect![[r#"
              -4000 ms  host-a  store_lost feed=config reason="reset"
                 +0 ms  host-a  request_refused id=r1 status=503 reason=log_unavailable config_age_ms=4000
            missing: host-b has lines from 1100 to 1100 only
        "#]],
    );
}

/// A request without log lines must fail, so that scripts can detect it.
#[test]
fn trace_without_a_line_fails() {
    let (_file, path) = file_with("ts_ms=1 level=info event=started host=a\n");
    check(
        &["trace", "--request", "r1", "--log", &path],
        1,
        expect![[r#"
            mangoctl: no line matches
        "#]],
    );
}
