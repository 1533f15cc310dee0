//! Stand-ins of the store, of runners and of clients, and the scenarios of the cases. Each
//! scenario starts routers as the deploy file says and checks one rule as it is written.
//! Usage: harness SCENARIO FOLDER, in the root of the repository, after the build of the deploy
//! file. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod http;
mod runner;
mod scenarios;
mod store;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [scenario, folder] = &arguments[..] else {
        eprintln!("usage: harness SCENARIO FOLDER");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = fleet::Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("scenario={scenario} trouble={has_trouble}"));
    let verdict = scenarios::run(scenario, has_trouble, &record);
    let code = match &verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    let text = match verdict {
        Ok(true) => "RULE HELD".to_owned(),
        Ok(false) => "RULE BROKEN".to_owned(),
        Err(reason) => format!("COULD NOT RUN: {reason}"),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
