use {parking_lot::Mutex, std::time::Duration};

/// Weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Prompts with fewer uncached tokens are left out, because the time per token cannot be
/// derived from them with useful accuracy.
const MIN_SAMPLE_TOKENS: u32 = 64;

#[derive(Default)]
struct Means {
    prefill_us_per_token: Option<f64>,
    /// Time of a move in microseconds and its number of tokens.
    transfer: Option<(f64, f64)>,
}

/// Estimates whether moving the KV cache of a chat takes less time than its prefill, from
/// times measured on all engines that this host uses.
///
/// The time of a prefill is estimated as tokens × mean time per token. The time of a move
/// is estimated as the mean time of a move, and in proportion to the tokens for moves
/// larger than the mean. Smaller moves are estimated at the mean, because the fixed part
/// of the time is not known. Nothing is moved before a prefill was measured. The first
/// move after that is made without an estimate, in order to measure it.
#[derive(Default)]
pub(crate) struct KvMoveCostModel {
    means: Mutex<Means>,
}

impl KvMoveCostModel {
    /// Records the time to the first token and the mean gap between tokens of an answer,
    /// with the number of uncached prompt tokens. The gap is subtracted, because the decode
    /// step of the first token is not part of the prefill.
    pub(crate) fn observe_prefill(&self, first_token: Duration, gap: Duration, tokens: u32) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = micros(first_token.saturating_sub(gap)) / f64::from(tokens);
        let mean = &mut self.means.lock().prefill_us_per_token;
        *mean = Some(mean.map_or(sample, |mean| smooth(mean, sample)));
    }

    /// Records the time of a move, which is an export and an import.
    pub(crate) fn observe_transfer(&self, time: Duration, tokens: u32) {
        let (time, tokens) = (micros(time), f64::from(tokens));
        let mean = &mut self.means.lock().transfer;
        *mean = Some(mean.map_or((time, tokens), |(t, n)| (smooth(t, time), smooth(n, tokens))));
    }

    /// Whether moving `tokens` is estimated to take less time than their prefill.
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
    mean + SAMPLE_WEIGHT * (sample - mean)
}
