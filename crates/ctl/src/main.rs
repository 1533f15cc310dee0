use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

fn main() -> ExitCode {
    let mut out = Vec::new();
    let code = mangoctl::run(env::args_os(), &mut out, &mut io::stderr());
    // a write error is ignored: a closed pipe, for example to `head`, is not a failure
    let _ = io::stdout().write_all(&out);
    ExitCode::from(code)
}
