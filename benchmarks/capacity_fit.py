"""Least-squares lines through measured points."""

import dataclasses
import statistics

__all__ = ["Line", "fit_line", "print_line"]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points.

    Attributes:
        slope: Increase of the value per unit of size.
        base: Value at size 0.
        residual: Largest absolute residual, as a share of the largest value.
    """

    slope: float
    base: float
    residual: float

    def estimate(self, size):
        """Return the value at `size`."""
        return self.base + self.slope * size


def fit_line(points):
    """Return the `Line` through pairs of size and value.

    Examples:
        >>> fit_line([(1, 3.0), (2, 5.0), (3, 7.0)])
        Line(slope=2.0, base=1.0, residual=0.0)
    """
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, base = statistics.linear_regression(sizes, values)
    residual = max(abs(v - base - slope * s) for s, v in points)
    return Line(slope, base, residual / max(map(abs, values)))


def print_line(name, unit, points):
    """Print the points and the line fitted to them, and return the `Line`."""
    line = fit_line(points)
    shown = ", ".join(f"{size:,.0f}: {value:,.4g}" for size, value in points)
    print(f"{name} ({unit}): {shown}")
    print(
        f"    slope {line.slope:.4g}, base {line.base:.4g},"
        f" largest residual {line.residual:.1%}",
        flush=True,
    )
    return line
