use std::process::ExitCode;

fn main() -> ExitCode {
    match mangobridge::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
