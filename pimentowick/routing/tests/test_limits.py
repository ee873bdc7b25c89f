"""Limits on what runs at once."""

import pytest

from pimentowick import exception
from pimentowick.configuration import workspace
from pimentowick.routing import limits


def test_calls_to_a_service_are_bounded_for_each_workspace():
    """One workspace calls a service that it may call once at a time, twice.

    Without the bound its calls would fill the service for everybody.
    """
    uses = {"desk": workspace.ServiceUse(max_concurrent=1)}
    first, second = (workspace.Workspace(n, 1, services=uses) for n in ("a", "b"))
    counted = limits.ConcurrencyLimits(max_online=10)
    with counted.acquire_call(first, "desk"):
        with pytest.raises(exception.RefusedError) as caught:
            with counted.acquire_call(first, "desk"):
                raise AssertionError("taken")
        assert caught.value.refusal.code == "too_many_calls"
        with counted.acquire_call(second, "desk"):
            assert counted.running == 2
    with counted.acquire_call(first, "desk"):
        assert counted.running == 1
