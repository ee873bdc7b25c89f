"""Generators of synthetic prompts."""

import abc
import random

__all__ = ["PlainPrompts", "PrefixPrompts", "PromptSource"]

WORDS = (
    "stand hall floor plan quotation deposit corner aisle power water carpet lighting "
    "tide turbine outlook crew vessel wind wave forecast megawatt bid grid window"
).split()


class PromptSource(abc.ABC):
    """Generator of prompts."""

    @abc.abstractmethod
    def make(self, rng):
        """Return a random prompt.

        Args:
            rng: `random.Random`.
        """


class PlainPrompts(PromptSource):
    """Prompts without shared prefixes.

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
    """Prompts that start with one of several shared prefixes.

    The k-th prefix is chosen with a weight of 1/k (Zipf's law).

    Args:
        prefixes: Number of prefixes.
        prefix_words: Number of words of each prefix.
        words: Number of words after the prefix.
    """

    def __init__(self, prefixes, prefix_words, words):
        rng = random.Random(prefixes)
        prefix_prompts = PlainPrompts(prefix_words)
        self._prefixes = [f"{i} {prefix_prompts.make(rng)}" for i in range(prefixes)]
        self._weights = [1.0 / (i + 1) for i in range(prefixes)]
        self._suffixes = PlainPrompts(words)

    def make(self, rng):
        """Return a prompt; see `PromptSource.make`."""
        prefix = rng.choices(self._prefixes, self._weights)[0]
        return f"{prefix} {self._suffixes.make(rng)}"
