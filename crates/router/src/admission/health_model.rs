use {
    super::ewma::Ewma,
    crate::placement::{EngineLatency, PoolLatency},
    mango_wire::settings::HealthSettings,
    std::time::Instant,
};

/// Samples after which an engine may count as slow. Fewer do not distinguish a slow
/// engine from a single slow request.
const MIN_SAMPLES: u32 = 3;
/// Samples after which an engine's own long-term averages replace a missing pool
/// median.
const MIN_LONG_TERM_SAMPLES: u32 = 20;
/// Factor by which the first-token ratio must exceed the slow ratio while gaps are
/// measured too, because first-token times vary with the prompt. With log-normal
/// first-token times (sigma 0.8), a healthy engine counted as slow 3.3% of the time
/// without this margin and 0.07% with it.
const FIRST_TOKEN_MARGIN: f64 = 1.5;
/// Smoothing of gaps while an engine recovers. A slow engine gets few requests, so
/// each fast one counts more: after three, an engine with a
/// slowness of 5 no longer counts as slow.
const RECOVERY_SMOOTHING: f64 = 0.5;
const LONG_TERM_SMOOTHING: f64 = 0.05;

/// Health of one engine, derived from the latencies of its requests. First-token
/// times are averaged as logarithms, since prompts of very different lengths
/// contribute to them.
#[derive(Debug, Default)]
pub(crate) struct HealthModel {
    first_token_ln_ms: Ewma,
    gap_us: Ewma,
    samples: u32,
    /// Averages over many samples, updated only while the engine is not slow.
    long_term_first_token_ln_ms: Ewma,
    long_term_gap_us: Ewma,
    warm_first_token_ln_ms: Ewma,
    cold_first_token_ln_ms: Ewma,
    is_slow: bool,
    slowness: f64,
}

impl HealthModel {
    /// Factor on the engine's weight, in (0, 1]; 1 unless the engine is slow.
    pub(crate) fn factor(&self, settings: &HealthSettings) -> f64 {
        if self.is_slow { (1.0 / self.slowness).clamp(settings.min_weight, 1.0) } else { 1.0 }
    }

    pub(crate) fn factor_permille(&self, settings: &HealthSettings) -> u16 {
        // 1,000 means full health, so a slow engine stays below it
        let permille = (self.factor(settings) * 1000.0) as u16;
        if self.is_slow { permille.clamp(1, 999) } else { 1000 }
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Observed latencies divided by those of the pool; 1 if no reference is known,
    /// 0 before the first `MIN_SAMPLES` samples.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    pub(crate) fn latency(&self, now: Instant) -> EngineLatency {
        EngineLatency {
            first_token_ms: self.first_token_ln_ms.get().map_or(0.0, f64::exp),
            gap_us: self.gap_us.get().unwrap_or(0.0),
            measured_at: now,
        }
    }

    /// Records the first-token time of a request whose chat was warm or cold.
    pub(crate) fn observe_first_token(
        &mut self,
        first_token_ms: f64,
        warm: bool,
        pool: PoolLatency,
        settings: &HealthSettings,
    ) {
        let sample = first_token_ms.max(1.0).ln();
        self.first_token_ln_ms.add(sample, settings.smoothing);
        if !self.is_slow {
            self.long_term_first_token_ln_ms.add(sample, LONG_TERM_SMOOTHING);
            let average = if warm {
                &mut self.warm_first_token_ln_ms
            } else {
                &mut self.cold_first_token_ln_ms
            };
            average.add(sample, LONG_TERM_SMOOTHING);
        }
        self.update_slowness(pool, settings);
    }

    /// Records the mean time between tokens of a request.
    pub(crate) fn observe_gap(
        &mut self,
        gap_us: f64,
        pool: PoolLatency,
        settings: &HealthSettings,
    ) {
        let is_recovering = self.is_slow && self.gap_us.get().is_some_and(|old| gap_us < old);
        self.gap_us
            .add(gap_us, if is_recovering { RECOVERY_SMOOTHING } else { settings.smoothing });
        if !self.is_slow {
            self.long_term_gap_us.add(gap_us, LONG_TERM_SMOOTHING);
        }
        self.update_slowness(pool, settings);
    }

    /// Expected first-token time in milliseconds; 0 if unknown.
    pub(crate) fn expected_first_token_ms(&self, warm: bool, pool: PoolLatency) -> u32 {
        let average =
            if warm { &self.warm_first_token_ln_ms } else { &self.cold_first_token_ln_ms };
        let known = average.get().or(self.long_term_first_token_ln_ms.get()).map(f64::exp);
        known.or(pool.first_token_ms).map_or(0, |ms| ms.ceil() as u32)
    }

    /// First-token time in milliseconds above which the first token is late; `None`
    /// if no reference is known.
    pub(crate) fn late_first_token_ms(
        &self,
        pool: PoolLatency,
        settings: &HealthSettings,
    ) -> Option<f64> {
        Some(self.first_token_reference(pool)? * settings.slow_ratio * 2.0)
    }

    fn first_token_reference(&self, pool: PoolLatency) -> Option<f64> {
        pool.first_token_ms
            .or_else(|| self.long_term(&self.long_term_first_token_ln_ms).map(f64::exp))
    }

    fn long_term(&self, average: &Ewma) -> Option<f64> {
        average.get().filter(|_| self.samples >= MIN_LONG_TERM_SAMPLES)
    }

    fn update_slowness(&mut self, pool: PoolLatency, settings: &HealthSettings) {
        self.samples = self.samples.saturating_add(1);
        if self.samples < MIN_SAMPLES {
            return;
        }
        let first_token = self.first_token_ln_ms.get().map(f64::exp);
        let gap_reference = pool.gap_us.or_else(|| self.long_term(&self.long_term_gap_us));
        let first_token_ratio = ratio(first_token, self.first_token_reference(pool));
        let has_gaps = self.gap_us.get().is_some() && gap_reference.is_some();
        let margin = if has_gaps { FIRST_TOKEN_MARGIN } else { 1.0 };
        let gap_ratio = ratio(self.gap_us.get(), gap_reference);
        self.slowness = gap_ratio.max(first_token_ratio / margin);
        // a lower threshold for recovery keeps the weight from oscillating
        let recovered_ratio = (1.0 + settings.slow_ratio) / 2.0;
        let threshold = if self.is_slow { recovered_ratio } else { settings.slow_ratio };
        self.is_slow = self.slowness > threshold;
    }
}

fn ratio(observed: Option<f64>, reference: Option<f64>) -> f64 {
    match (observed, reference) {
        (Some(observed), Some(reference)) if reference > 0.0 => observed / reference,
        _ => 1.0,
    }
}
