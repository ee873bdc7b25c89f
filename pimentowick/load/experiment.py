"""Models of the YAML files that define experiments."""

import typing

import pydantic

from pimentowick.load import arrival, prompt

__all__ = [
    "ArrivalSettings",
    "Batch",
    "Experiment",
    "PromptSettings",
    "Traffic",
    "make_arrival",
    "make_prompts",
]

Positive = typing.Annotated[float, pydantic.Field(gt=0)]
Count = typing.Annotated[int, pydantic.Field(ge=1)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ArrivalSettings(_StrictModel):
    """Arrival process and mean rate."""

    kind: typing.Literal["steady", "poisson", "burst"] = "poisson"
    rate: Positive = pydantic.Field(description="Requests a second, while on.")
    on_s: Positive = pydantic.Field(1.0, description="Length of a burst, in seconds.")
    off_s: Positive = pydantic.Field(3.0, description="Time between bursts.")


class PromptSettings(_StrictModel):
    """Length and shared prefixes of prompts."""

    words: Count = pydantic.Field(30, description="Words that no other prompt shares.")
    prefixes: int = pydantic.Field(0, ge=0, description="Number of shared beginnings.")
    prefix_words: Count = pydantic.Field(200, description="Words of each of them.")


class Traffic(_StrictModel):
    """A stream of online requests."""

    name: str
    workspace: str = pydantic.Field(description="Workspace whose token is used.")
    model: str
    arrival: ArrivalSettings
    prompt: PromptSettings = PromptSettings()
    max_tokens: Count = 32


class Batch(_StrictModel):
    """A batch job that is submitted at the start."""

    name: str
    workspace: str
    model: str
    items: Count = 1000
    max_tokens: Count = 32


class Experiment(_StrictModel):
    """An experiment with online traffic and batch jobs."""

    seed: int = 0
    duration_s: Positive = 10.0
    timeout_s: Positive = 60.0
    traffic: list[Traffic] = []
    batch: list[Batch] = []


def make_arrival(settings):
    """Return the `pimentowick.load.arrival.Arrival` for `ArrivalSettings`."""
    if settings.kind == "steady":
        return arrival.SteadyArrival(settings.rate)
    if settings.kind == "poisson":
        return arrival.PoissonArrival(settings.rate)
    return arrival.BurstArrival(settings.rate, settings.on_s, settings.off_s)


def make_prompts(settings):
    """Return the `pimentowick.load.prompt.PromptSource` for `PromptSettings`."""
    if settings.prefixes:
        return prompt.PrefixPrompts(
            settings.prefixes, settings.prefix_words, settings.words
        )
    return prompt.PlainPrompts(settings.words)
