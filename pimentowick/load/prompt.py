"""What requests ask."""

import abc
import random

__all__ = ["PlainPrompts", "PrefixPrompts", "PromptSource"]

WORDS = (
    "stand hall floor plan quotation deposit corner aisle power water carpet lighting "
    "tide turbine outlook crew vessel wind wave forecast megawatt bid grid window"
).split()


class PromptSource(abc.ABC):
    """Makes prompts."""

    @abc.abstractmethod
    def make(self, rng):
        """Return a prompt, drawn with a `random.Random`."""


class PlainPrompts(PromptSource):
    """Prompts that share nothing.

    Examples:
        >>> len(PlainPrompts(words=5).make(random.Random(0)).split())
        5
    """

    def __init__(self, words):
        self._words = words

    def make(self, rng):
        """Return a prompt; see `PromptSource.make`."""
        return " ".join(rng.choices(WORDS, k=self._words))


class PrefixPrompts(PromptSource):
    """Prompts that begin with one of some long texts, a few of them much used.

    The k-th text is drawn with a weight of 1/k (Zipf's law).

    Args:
        prefixes: Number of texts.
        prefix_words: Words of each text.
        words: Words that follow it.
    """

    def __init__(self, prefixes, prefix_words, words):
        rng = random.Random(prefixes)
        plain = PlainPrompts(prefix_words)
        self._prefixes = [f"{i} {plain.make(rng)}" for i in range(prefixes)]
        self._weights = [1.0 / (i + 1) for i in range(prefixes)]
        self._rest = PlainPrompts(words)

    def make(self, rng):
        """Return a prompt; see `PromptSource.make`."""
        prefix = rng.choices(self._prefixes, self._weights)[0]
        return f"{prefix} {self._rest.make(rng)}"
