"""Recursive least squares with exponential forgetting.

Notes:
    Each sample corrects the weights by the prediction error times a gain, which is
    computed from the inverse covariance matrix of the inputs. The influence of older
    samples decays exponentially, so the fit follows changes of the engine's speed. No
    samples are stored.

References:
    S. Haykin, "Adaptive Filter Theory", chapter on recursive least squares,
    Prentice Hall, 4th edition, 2002.
"""

__all__ = ["RecursiveLeastSquares"]

MAX_VARIANCE = 1e6


class RecursiveLeastSquares:
    """Fits a linear function without an implicit intercept.

    Args:
        weights: Initial weights.
        variances: Variance of each initial weight.
        forgetting_factor: Factor by which the influence of older samples decays with
            each new sample.

    Attributes:
        weights: Current weights.
        count: Number of samples processed.

    Examples:
        >>> fit = RecursiveLeastSquares([0.0, 0.0], [1e4, 1e4])
        >>> for x in range(20):
        ...     fit.add([1.0, x], 3.0 + 0.5 * x)
        >>> [round(weight, 2) for weight in fit.weights]
        [3.0, 0.5]
    """

    def __init__(self, weights, variances, forgetting_factor=0.999):
        self.weights = list(weights)
        self.count = 0
        self._forgetting_factor = forgetting_factor
        size = len(self.weights)
        self._covariance = [
            [variances[i] if i == j else 0.0 for j in range(size)] for i in range(size)
        ]

    def predict(self, inputs):
        """Return the fitted value at `inputs`."""
        return _multiply(self.weights, inputs)

    def add(self, inputs, value):
        """Update the fit with a sample: `value` was observed at `inputs`."""
        self.count += 1
        projected = [_multiply(row, inputs) for row in self._covariance]
        scale = self._forgetting_factor + _multiply(projected, inputs)
        gain = [each / scale for each in projected]
        error = value - self.predict(inputs)
        self.weights = [
            weight + each * error
            for weight, each in zip(self.weights, gain, strict=True)
        ]
        self._update_covariance(gain, projected)

    def _update_covariance(self, gain, projected):
        size = len(gain)
        # Without sufficient excitation (constant inputs), the variance of some
        # directions would grow without bound, and a single outlier could then distort
        # the fit (covariance wind-up).
        may_grow = max(self._covariance[i][i] for i in range(size)) < MAX_VARIANCE
        forgetting_factor = self._forgetting_factor if may_grow else 1.0
        for i in range(size):
            for j in range(size):
                left = self._covariance[i][j] - gain[i] * projected[j]
                self._covariance[i][j] = left / forgetting_factor


def _multiply(left, right):
    return sum(a * b for a, b in zip(left, right, strict=True))
