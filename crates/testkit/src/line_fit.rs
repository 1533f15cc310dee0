/// Least-squares line through measured points.
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    /// Value at 0.
    pub start: f64,
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl LineFit {
    /// Fits `(x, y)` points; at least two different `x` are needed.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let start = mean_y - slope * mean_x;
        let distance = |p: &(f64, f64)| (p.1 - start - slope * p.0).abs();
        Self { start, slope, residual: points.iter().map(distance).fold(0.0, f64::max) }
    }

    pub fn at(&self, x: f64) -> f64 {
        self.start + self.slope * x
    }
}
