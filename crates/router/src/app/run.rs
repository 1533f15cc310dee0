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

/// Runs the router until a signal or an operator asks for a planned stop.
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
    let (signal, signals) = bounded(1);
    let mut caught = Signals::new([SIGTERM, SIGINT]).context("signal handler")?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for number in caught.forever() {
            // a stop is under way already if the channel is full
            let _ = signal.try_send(number);
        }
    })?;
    select! {
        recv(signals) -> _ => log::info!("event=stop_requested by=signal"),
        recv(router.drain_requests()) -> _ => log::info!("event=stop_requested by=operator"),
    }
    router.drain(Instant::now() + Duration::from_millis(u64::from(drain_ms)));
    Ok(())
}
