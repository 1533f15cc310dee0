use {super::ewma::Ewma, std::time::Duration};

const SMOOTHING: f64 = 0.1;
/// Stands for waits without a bound.
const MAX_WAIT_S: f64 = 3600.0;
/// The error follows the longer waits: it rises nine times as fast as it falls.
const ERROR_RISE: f64 = 0.18;
const ERROR_FALL: f64 = 0.02;
/// Bound of one observed error.
const MAX_ERROR: f64 = 4.0;
/// Waits vary around their mean. A request refused at once can go elsewhere, one that
/// expires in the queue has waited for nothing.
const MARGIN: f64 = 1.5;

/// Predicts waits from the times that requests held their permits.
#[derive(Debug, Default)]
pub(crate) struct WaitModel {
    short_s: Ewma,
    long_s: Ewma,
    /// Observed waits divided by the predicted ones. Teams that queue later take
    /// their share from those that wait, which a prediction can't know.
    error: Ewma,
}

impl WaitModel {
    pub(crate) fn observe(&mut self, long: bool, held: Duration) {
        let hold = if long { &mut self.long_s } else { &mut self.short_s };
        hold.add(held.as_secs_f64(), SMOOTHING);
    }

    /// Takes the wait of a request that was queued.
    pub(crate) fn observe_wait(&mut self, predicted: Option<Duration>, waited: Duration) {
        let Some(predicted) = predicted else { return };
        let hold = self.hold_s();
        let ratio = (waited.as_secs_f64() + hold) / (predicted.as_secs_f64() + hold).max(1e-6);
        let ratio = ratio.clamp(1.0 / MAX_ERROR, MAX_ERROR);
        let is_worse = self.error.get().is_none_or(|error| ratio > error);
        self.error.add(ratio, if is_worse { ERROR_RISE } else { ERROR_FALL });
    }

    /// Wait to plan with for a predicted one.
    pub(crate) fn correct(&self, predicted: Duration) -> Duration {
        let hold = self.hold_s();
        let factor = self.error.get().unwrap_or(1.0).max(1.0) * MARGIN;
        let wait = (predicted.as_secs_f64() + hold) * factor - hold;
        Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT_S))
    }

    /// Time added to waits before they are compared: the error of a wait much shorter
    /// than a request runs is all noise.
    fn hold_s(&self) -> f64 {
        self.short_s.get().or(self.long_s.get()).unwrap_or(0.0)
    }

    /// Time until a slot is free for a request with `ahead` requests before it;
    /// `None` while nothing was measured. `running` are the requests of its kind
    /// and of the other kind whose slots it can take over.
    pub(crate) fn predict(
        &self,
        ahead: f64,
        running_short: u32,
        running_long: u32,
    ) -> Option<Duration> {
        let rate = |running: u32, hold: &Ewma| Some(f64::from(running) / hold.get()?.max(1e-6));
        let short = rate(running_short, &self.short_s).filter(|_| running_short > 0);
        let long = rate(running_long, &self.long_s).filter(|_| running_long > 0);
        let per_second = short.unwrap_or(0.0) + long.unwrap_or(0.0);
        (per_second > 0.0)
            .then(|| Duration::from_secs_f64(((ahead + 1.0) / per_second).min(MAX_WAIT_S)))
    }
}
