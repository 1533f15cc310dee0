//! Runs one case of the third review: `harness-3 CASE FOLDER`. Exits with 1 if its rule was broken, 0 if
//! it held, 2 if the case could not run.

mod case_late_beat;
mod case_other_writer;
mod case_silent;
mod case_stale_for_new;
mod fleet;
mod http;
mod proxy;
mod record;
mod router;
mod runner;
mod store;

use std::{env, panic::catch_unwind, path::Path, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("harness-3 CASE FOLDER");
        exit(2);
    };
    let run = match &**case {
        "other-writer" => case_other_writer::run,
        "stale-for-new" => case_stale_for_new::run,
        "late-beat" => case_late_beat::run,
        "silent" => case_silent::run,
        _ => {
            eprintln!("unknown case {case}");
            exit(2);
        }
    };
    // a panic ends the processes too
    match catch_unwind(|| run(Path::new(folder))) {
        Ok(is_broken) => {
            println!("{}", if is_broken { "the rule was broken" } else { "the rule held" });
            exit(is_broken.into());
        }
        Err(_) => exit(2),
    }
}
