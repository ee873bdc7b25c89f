"""Least squares that learn from one sample at a time.

Notes:
    Each new sample moves the weights by a gain that the inverse covariance of the
    inputs gives; older samples fade by a constant factor. An engine that changes its
    speed is so followed, and no samples are kept.

References:
    S. Haykin, "Adaptive Filter Theory", chapter on recursive least squares,
    Prentice Hall, 4th edition, 2002.
"""

__all__ = ["RecursiveLeastSquares"]

MAX_VARIANCE = 1e6


class RecursiveLeastSquares:
    """Fits a linear function without an intercept of its own.

    Args:
        weights: First guess.
        variances: How far each weight of the guess may be off, squared.
        forgetting_factor: Factor by which the weight of older samples falls with each
            new one.

    Attributes:
        weights: The fit so far.
        count: Number of samples taken.

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
        self._memory = forgetting_factor
        size = len(self.weights)
        self._covariance = [
            [variances[i] if i == j else 0.0 for j in range(size)] for i in range(size)
        ]

    def predict(self, inputs):
        """Return the fitted value at `inputs`."""
        return _multiply(self.weights, inputs)

    def add(self, inputs, value):
        """Take a sample: `value` was seen at `inputs`."""
        self.count += 1
        projected = [_multiply(row, inputs) for row in self._covariance]
        scale = self._memory + _multiply(projected, inputs)
        gain = [each / scale for each in projected]
        error = value - self.predict(inputs)
        self.weights = [
            weight + each * error
            for weight, each in zip(self.weights, gain, strict=True)
        ]
        self._shrink(gain, projected)

    def _shrink(self, gain, projected):
        size = len(gain)
        # Inputs that stay constant teach nothing about some direction; its variance
        # would grow without bound and one odd sample would then throw the fit far.
        grow = max(self._covariance[i][i] for i in range(size)) < MAX_VARIANCE
        forgetting_factor = self._memory if grow else 1.0
        for i in range(size):
            for j in range(size):
                left = self._covariance[i][j] - gain[i] * projected[j]
                self._covariance[i][j] = left / forgetting_factor


def _multiply(left, right):
    return sum(a * b for a, b in zip(left, right, strict=True))
