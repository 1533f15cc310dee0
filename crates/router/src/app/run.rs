use {
    super::args::Args,
    crate::{logging::start_logging, router::Router},
    anyhow::{Context, Result},
    clap::Parser,
    crossbeam::{channel::bounded, select},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Runs the router until a signal or an operator requests a planned stop.
pub fn run() -> Result<()> {
    let args = Args::parse();
    if args.on_platform {
        return mango_platform::run(args.settings.as_deref(), args.check);
    }
    let settings = args.load_settings()?;
    if args.check {
        return Ok(());
    }
    let _logger = start_logging(&settings.log_spec)?;
    let drain_ms = settings.callers.clone().unwrap_or_default().drain_ms;
    let router = Router::spawn(settings)?;
    let (stop_signal, stop_signals) = bounded(1);
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).context("cannot install the signal handler")?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for number in signals.forever() {
            // a full channel means that a stop is already requested
            let _ = stop_signal.try_send(number);
        }
    })?;
    select! {
        recv(stop_signals) -> _ => log::info!("event=stop_requested by=signal"),
        recv(router.drain_requests()) -> _ => log::info!("event=stop_requested by=operator"),
    }
    router.drain(Instant::now() + Duration::from_millis(u64::from(drain_ms)));
    Ok(())
}
