//! Log-likelihood ratios, in nats, of a faulty upstream against a typical one.

/// Number of separate scores per upstream.
pub(crate) const KIND_COUNT: usize = 5;

/// Kind of fault that a score measures; the value is its index in [`KindScores`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScoreKind {
    Failing = 0,
    Wrong = 1,
    Silent = 2,
    Slow = 3,
    Tail = 4,
}

/// One score per kind.
pub(crate) type KindScores = [f64; KIND_COUNT];

/// Returns the ratio for one reply, given the share of bad replies of a typical upstream (`usual`)
/// and of a faulty one (`sick`).
pub(crate) fn share_ratio(bad: bool, usual: f64, sick: f64) -> f64 {
    if bad {
        (sick / usual).ln()
    } else {
        ((1.0 - sick) / (1.0 - usual)).ln()
    }
}

/// Returns `ln(1 + e^x)` without overflow.
fn softplus(x: f64) -> f64 {
    if x > 30.0 { x } else { x.exp().ln_1p() }
}

/// Returns the ratio for a finished reply whose log latency lies `x` scales above the typical one,
/// for a fault that shifts it by `shift` scales.
///
/// Latencies are modelled as log-logistic. Its heavy tail limits the evidence of one very late
/// reply to `shift` nats, so a single straggler can't eject an upstream.
pub(crate) fn finished_ratio(x: f64, shift: f64) -> f64 {
    shift + 2.0 * (softplus(-x) - softplus(shift - x))
}

/// Returns the ratio for a request that is still in flight after `x` scales: that of the two
/// survival functions.
pub(crate) fn pending_ratio(x: f64, shift: f64) -> f64 {
    softplus(x) - softplus(x - shift)
}
