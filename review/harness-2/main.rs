//! Plays the cases 6 to 10 of the second review: `harness-2 CASE FOLDER`.
//!
//! Starts the router with the command of the deploy file, and stand-ins of the store, the runners
//! and the clients on loopback addresses, with the real clock. What was sent, answered and run goes to
//! `record.txt` in FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod caller;
mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod config;
mod http;
mod record;
mod router;
mod runner;
mod socket;
mod store;
mod stream_runner;

use {
    record::Record,
    std::{env, path::PathBuf, process, sync::Arc, thread, time::Duration},
};

/// Time limit of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Whether the rule was broken, or why the case could not run.
pub type CaseResult = Result<bool, String>;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness-2 CASE FOLDER");
        process::exit(2);
    };
    let play = match case.as_str() {
        "6" => case_6::play,
        "7" => case_7::play,
        "8" => case_8::play,
        "9" => case_9::play,
        "10" => case_10::play,
        _ => {
            eprintln!("no case {case}");
            process::exit(2);
        }
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            process::exit(2);
        }
    };
    let played = record.clone();
    // the case ends the router when it returns, also by a panic
    let player = thread::spawn(move || play(&played));
    let result = wait(player).unwrap_or_else(|| {
        router::end_all();
        Err("the case took too long".to_owned())
    });
    let (code, text) = match result {
        Ok(true) => (1, "the rule was broken".to_owned()),
        Ok(false) => (0, "the rule held".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.write(&format!("result code={code} {text}"));
    println!("{text}");
    process::exit(code);
}

/// Waits for the end of a case; `None` if it takes too long.
fn wait(player: thread::JoinHandle<CaseResult>) -> Option<CaseResult> {
    let step = Duration::from_millis(50);
    let mut waited = Duration::ZERO;
    while !player.is_finished() {
        if waited > TIME_LIMIT {
            return None;
        }
        thread::sleep(step);
        waited += step;
    }
    Some(player.join().unwrap_or_else(|_| Err("the case panicked".to_owned())))
}
