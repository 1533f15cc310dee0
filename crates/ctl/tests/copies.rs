//! `mangoctl copies` against stand-ins of hosts.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

/// Serves the state of a host whose copies have these positions and digests. Returns its URL.
fn serve_state(host: &str, endpoints: (u64, u64)) -> String {
    let (position, digest) = endpoints;
    let feed = |position, digest| {
        format!(
            "{{\"status\":{{\"position\":{position},\"digest\":{digest},\"confirmed_age_ms\":90,\
             \"changed\":1}},\"compared_with_relay\":null}}"
        )
    };
    let body = format!(
        "{{\"host\":{{\"host\":\"{host}\",\"zone\":\"z\",\"ready\":true}},\"feeds\":{{\"config\":{},\
         \"endpoints\":{}}},\"endpoints\":[]}}",
        feed(3, 7),
        feed(position, digest)
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
        }
    });
    format!("http://{address}")
}

fn run(hosts: &[String]) -> (u8, String) {
    let mut out = Vec::new();
    let mut err = Vec::new();
    let command = ["mangoctl", "copies"].map(str::to_owned);
    let code = mangoctl::run(command.iter().chain(hosts), &mut out, &mut err);
    (code, String::from_utf8([out, err].concat()).expect("output is UTF-8"))
}

/// A host that knows something else from the same records must be named, with exit code 1.
#[test]
fn a_host_that_differs_is_named() {
    let hosts = [("a", (40, 9)), ("b", (40, 9)), ("c", (40, 8)), ("d", (41, 8))]
        .map(|(h, s)| serve_state(h, s));
    let (code, text) = run(&hosts);
    assert_eq!(code, 1, "{text}");
    let differing: Vec<&str> = text.lines().filter(|line| line.ends_with("differs")).collect();
    assert_eq!(differing.len(), 1, "{text}");
    assert!(differing[0].starts_with("endpoints") && differing[0].contains(" c "), "{text}");
    assert!(
        text.ends_with("mangoctl: copies that differ from those of other hosts: 1\n"),
        "{text}"
    );
}

/// Hosts that agree, or have read different records, must not be named.
#[test]
fn hosts_that_agree_are_listed() {
    let hosts = [("a", (40, 9)), ("b", (40, 9)), ("c", (39, 5))].map(|(h, s)| serve_state(h, s));
    let (code, text) = run(&hosts);
    assert_eq!((code, text.contains("differs")), (0, false), "{text}");
    // a header, and a line for each log of each host
    assert_eq!(text.lines().count(), 7, "{text}");
}
