/// Least-squares regression line through measured points.
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    /// Value of the line at `x = 0`.
    pub intercept: f64,
    pub slope: f64,
    /// Largest absolute residual: the vertical distance of a point from the line.
    pub max_residual: f64,
}

impl LineFit {
    /// Fits a line to `(x, y)` points, which must have at least two distinct `x` values.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        // both lack the factor 1 / n, which cancels out in their quotient
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let abs_residual = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
        Self { intercept, slope, max_residual: points.iter().map(abs_residual).fold(0.0, f64::max) }
    }

    /// Value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
