use {
    super::ewma::Ewma,
    crate::placement::{EngineLatency, PoolLatency},
    mango_wire::settings::HealthSettings,
    std::time::Instant,
};

/// Fewer samples do not tell a slow engine from one odd request.
const MIN_SAMPLES: u32 = 3;
/// Samples after which an engine's own usual times may stand in for a missing median.
const MIN_USUAL_SAMPLES: u32 = 20;
/// First-token times vary with the prompt, so they need a clearer sign while gaps are
/// measured too. With prompts that spread first tokens log-normally (sigma 0.8), a
/// healthy engine was called slow 3.3% of the time without this margin, 0.07% with it.
const FIRST_TOKEN_MARGIN: f64 = 1.5;
/// A slow engine gets few requests, so each fast one counts more: three end a slowness
/// of 5.
const RECOVERY_SMOOTHING: f64 = 0.5;
const USUAL_SMOOTHING: f64 = 0.05;

/// Health of one engine from the answer times of real requests. First-token times
/// are averaged as logarithms, since prompts of very different lengths share them.
#[derive(Debug, Default)]
pub(crate) struct HealthModel {
    first_token_ln_ms: Ewma,
    gap_us: Ewma,
    samples: u32,
    /// Slow averages taken while the engine was not slow.
    usual_first_token_ln_ms: Ewma,
    usual_gap_us: Ewma,
    warm_ln_ms: Ewma,
    cold_ln_ms: Ewma,
    is_slow: bool,
    slowness: f64,
}

impl HealthModel {
    /// Weight factor in (0, 1].
    pub(crate) fn factor(&self, settings: &HealthSettings) -> f64 {
        if self.is_slow { (1.0 / self.slowness).clamp(settings.min_weight, 1.0) } else { 1.0 }
    }

    pub(crate) fn factor_permille(&self, settings: &HealthSettings) -> u16 {
        // a slow engine stays below 1,000, the mark of full health
        let permille = (self.factor(settings) * 1000.0) as u16;
        if self.is_slow { permille.clamp(1, 999) } else { 1000 }
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Observed times divided by the pool's; 1 if nothing is known.
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

    /// Takes a first-token time of a request whose chat was warm or cold.
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
            self.usual_first_token_ln_ms.add(sample, USUAL_SMOOTHING);
            let by_cache = if warm { &mut self.warm_ln_ms } else { &mut self.cold_ln_ms };
            by_cache.add(sample, USUAL_SMOOTHING);
        }
        self.judge(pool, settings);
    }

    /// Takes a mean time between tokens.
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
            self.usual_gap_us.add(gap_us, USUAL_SMOOTHING);
        }
        self.judge(pool, settings);
    }

    /// Usual first-token time in milliseconds; 0 if unknown.
    pub(crate) fn expected_first_token_ms(&self, warm: bool, pool: PoolLatency) -> u32 {
        let by_cache = if warm { &self.warm_ln_ms } else { &self.cold_ln_ms };
        let known = by_cache.get().or(self.usual_first_token_ln_ms.get()).map(f64::exp);
        known.or(pool.first_token_ms).map_or(0, |ms| ms.ceil() as u32)
    }

    /// Times above which a first token is late, in milliseconds; `None` if unknown.
    pub(crate) fn late_first_token_ms(
        &self,
        pool: PoolLatency,
        settings: &HealthSettings,
    ) -> Option<f64> {
        Some(self.first_token_reference(pool)? * settings.slow_ratio * 2.0)
    }

    fn first_token_reference(&self, pool: PoolLatency) -> Option<f64> {
        pool.first_token_ms.or_else(|| self.usual(&self.usual_first_token_ln_ms).map(f64::exp))
    }

    fn usual(&self, average: &Ewma) -> Option<f64> {
        average.get().filter(|_| self.samples >= MIN_USUAL_SAMPLES)
    }

    fn judge(&mut self, pool: PoolLatency, settings: &HealthSettings) {
        self.samples = self.samples.saturating_add(1);
        if self.samples < MIN_SAMPLES {
            return;
        }
        let first_token = self.first_token_ln_ms.get().map(f64::exp);
        let gap_reference = pool.gap_us.or_else(|| self.usual(&self.usual_gap_us));
        let by_first_token = ratio(first_token, self.first_token_reference(pool));
        let has_gaps = self.gap_us.get().is_some() && gap_reference.is_some();
        let margin = if has_gaps { FIRST_TOKEN_MARGIN } else { 1.0 };
        let by_gap = ratio(self.gap_us.get(), gap_reference);
        self.slowness = by_gap.max(by_first_token / margin);
        // a lower bound for recovery keeps the weight from jumping at the bound
        let recovered_ratio = (1.0 + settings.slow_ratio) / 2.0;
        let bound = if self.is_slow { recovered_ratio } else { settings.slow_ratio };
        self.is_slow = self.slowness > bound;
    }
}

fn ratio(observed: Option<f64>, reference: Option<f64>) -> f64 {
    match (observed, reference) {
        (Some(observed), Some(reference)) if reference > 0.0 => observed / reference,
        _ => 1.0,
    }
}
