use {parking_lot::Mutex, std::time::Duration};

/// Share of a new sample in the means.
const SMOOTHING: f64 = 0.2;
/// Prompts with fewer uncached tokens say little about the time per token.
const MIN_SAMPLE_TOKENS: u32 = 64;

#[derive(Default)]
struct Means {
    prefill_us_per_token: Option<f64>,
    /// Time and tokens of one move.
    transfer: Option<(f64, f64)>,
}

/// Measured times of prefill and of KV moves, over all engines that this host uses.
///
/// A prefill is estimated as tokens × mean time per token. A move is estimated as the
/// mean time of a move, in proportion to the tokens above the mean size; smaller moves
/// count as the mean, because the fixed part of the time is not known. Without a
/// measured prefill nothing is moved. Without a measured move the first one is made to
/// measure it.
#[derive(Default)]
pub(crate) struct KvMoveCostModel {
    means: Mutex<Means>,
}

impl KvMoveCostModel {
    /// Takes the first-token time and the token gap of an answer. The first token's own
    /// decode step is not prefill.
    pub(crate) fn observe_prefill(&self, first_token: Duration, gap: Duration, tokens: u32) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = micros(first_token.saturating_sub(gap)) / f64::from(tokens);
        let mean = &mut self.means.lock().prefill_us_per_token;
        *mean = Some(mean.map_or(sample, |mean| smooth(mean, sample)));
    }

    /// Takes the time of an export with its import.
    pub(crate) fn observe_transfer(&self, time: Duration, tokens: u32) {
        let (time, tokens) = (micros(time), f64::from(tokens));
        let mean = &mut self.means.lock().transfer;
        *mean = Some(mean.map_or((time, tokens), |(t, n)| (smooth(t, time), smooth(n, tokens))));
    }

    /// Whether moving so many tokens is estimated to take less time than their prefill.
    pub(crate) fn is_move_cheaper(&self, tokens: u32) -> bool {
        let means = self.means.lock();
        let Some(per_token) = means.prefill_us_per_token else { return false };
        let tokens = f64::from(tokens);
        means.transfer.is_none_or(|(time, mean_tokens)| {
            time * (tokens / mean_tokens.max(1.0)).max(1.0) < tokens * per_token
        })
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn smooth(mean: f64, sample: f64) -> f64 {
    mean + SMOOTHING * (sample - mean)
}
