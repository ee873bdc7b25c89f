"""Days of the users' bench played by two or more trees, compared in pairs.

Notes:
    Each play leaves an entry in the tree's journal. Days of one deployment with the
    same name and seed make a pair; what is compared is the worth and its parts, the
    prices and the worth of each kind of request. A day alone says little, pairs over
    several seeds do, by their standard error. Plays that were cut short are left out.
"""

import dataclasses
import math
import pathlib
import statistics

import orjson

__all__ = ["Comparison", "Play", "compare", "make_table", "read_plays"]

# Prices below this say nothing.
LEAST_PRICE = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One day as one tree played it.

    Attributes:
        key: Deployment, name of the day and seed.
        worth: Its worth, had no rule been broken.
        rules: Number of breaks by rule.
        parts: Worth by part of the goal.
        prices: What was taken off, by cause.
        by_class: Worth by kind of request, in the order of the deployment.
    """

    key: tuple
    worth: float
    rules: dict
    parts: dict
    prices: dict
    by_class: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """What another tree does better than the first; negative if it does worse.

    Attributes:
        pairs: Number of days that both played.
        worth: Mean difference of worth.
        error: Its standard error; infinite with one pair.
        by_day: Difference by key of the day.
        parts: Mean difference by part of the goal.
        prices: Mean difference of what was taken off, by cause.
        by_class: Mean difference by kind of request.
    """

    pairs: int
    worth: float
    error: float
    by_day: dict
    parts: dict
    prices: dict
    by_class: tuple

    @property
    def is_clear(self):
        """Whether the difference is more than twice its standard error."""
        return abs(self.worth) > 2 * self.error


def read_plays(directory, since=""):
    """Return the plays of a tree's journal, by key; the newest of each day.

    Args:
        directory: Directory of the journal.
        since: Names of entries that sort before this are passed over.
    """
    found = {}
    for path in sorted(pathlib.Path(directory).glob("*.json")):
        if path.name < since:
            continue
        entry = orjson.loads(path.read_bytes())
        if "--until" in entry.get("argv", ()):
            continue
        for day in entry.get("days") or ():
            if day.get("G") is None:
                continue
            play = _decode(entry.get("site"), day)
            found[play.key] = play
    return found


def _decode(site, day):
    return Play(
        key=(site, day["name"], day["seed"]),
        worth=day["G"],
        rules=day.get("rules") or {},
        parts={name: worth for name, _, worth in day.get("parts") or ()},
        prices={name: taken for name, _, taken in day.get("prices") or ()},
        by_class=tuple(worth or 0.0 for worth in day.get("by_class") or ()),
    )


def compare(first, other):
    """Return the `Comparison` of two trees' plays, or None without a common day.

    Examples:
        >>> make = lambda seed, worth: Play(("s", "d", seed), worth, {}, {}, {}, ())
        >>> one = {make(n, 0.8).key: make(n, 0.8) for n in range(2)}
        >>> two = {make(n, 0.8).key: make(n, 0.9 + n / 10) for n in range(2)}
        >>> found = compare(one, two)
        >>> found.pairs, round(found.worth, 3), round(found.error, 3)
        (2, 0.15, 0.05)
    """
    keys = sorted(first.keys() & other.keys())
    if not keys:
        return None
    pairs = [(first[key], other[key]) for key in keys]
    by_day = {one.key: two.worth - one.worth for one, two in pairs}
    differences = list(by_day.values())
    error = math.inf
    if len(differences) > 1:
        error = statistics.stdev(differences) / math.sqrt(len(differences))
    return Comparison(
        pairs=len(pairs),
        worth=statistics.fmean(differences),
        error=error,
        by_day=by_day,
        parts=_compare_named(pairs, "parts"),
        prices=_compare_named(pairs, "prices"),
        by_class=tuple(
            statistics.fmean(values)
            for values in zip(
                *(
                    [b - a for a, b in zip(one.by_class, two.by_class, strict=False)]
                    for one, two in pairs
                ),
                strict=False,
            )
        ),
    )


def _compare_named(pairs, field):
    names = {name for pair in pairs for play in pair for name in getattr(play, field)}
    return {
        name: statistics.fmean(
            getattr(two, field).get(name, 0.0) - getattr(one, field).get(name, 0.0)
            for one, two in pairs
        )
        for name in sorted(names)
    }


def make_table(trees):
    """Return a text that compares trees with the first of them.

    Args:
        trees: Plays by name of the tree, the one to compare with first.
    """
    names = list(trees)
    keys = sorted({key for plays in trees.values() for key in plays})
    width = max([len(" ".join(map(str, key))) for key in keys], default=0)
    rows = [" " * width + "".join(f"  {name:>12}" for name in names)]
    for key in keys:
        cells = [_format(trees[name].get(key)) for name in names]
        label = " ".join(map(str, key))
        rows.append(f"{label:{width}}" + "".join(f"  {cell:>12}" for cell in cells))
    for name in names[1:]:
        found = compare(trees[names[0]], trees[name])
        if found is not None:
            rows += ["", *_describe(names[0], name, found)]
    return "\n".join(rows)


def _format(play):
    if play is None:
        return "-"
    return f"{play.worth:.3f}" + ("!" if play.rules else "")


def _describe(first, name, found):
    error = "-" if math.isinf(found.error) else f"{found.error:.4f}"
    verdict = "clear" if found.is_clear else "not clear"
    rows = [
        f"{name} less {first}: {found.worth:+.4f}, standard error {error}, "
        f"{found.pairs} pairs, {verdict}"
    ]
    rows += [f"  {part}: {value:+.4f}" for part, value in found.parts.items()]
    classes = " ".join(f"{value:+.4f}" for value in found.by_class)
    rows.append(f"  by kind of request: {classes}")
    rows += [
        f"  price of {cause}: {value:+.4f}"
        for cause, value in found.prices.items()
        if abs(value) >= LEAST_PRICE
    ]
    return rows
