"""Tests of the limits on concurrent requests."""

import pytest

from pimentowick import exception
from pimentowick.configuration import workspace
from pimentowick.routing import limits


def test_calls_to_a_service_are_bounded_for_each_workspace():
    """Guards against one workspace occupying a service with concurrent calls."""
    uses = {"desk": workspace.ServicePolicy(max_concurrent=1)}
    first, second = (workspace.Workspace(n, 1, services=uses) for n in ("a", "b"))
    concurrency = limits.ConcurrencyLimits(max_online=10)
    with concurrency.acquire_call(first, "desk"):
        with pytest.raises(exception.RefusedError) as caught:
            with concurrency.acquire_call(first, "desk"):
                raise AssertionError("taken")
        assert caught.value.refusal.code == "too_many_calls"
        with concurrency.acquire_call(second, "desk"):
            assert concurrency.running == 2
    with concurrency.acquire_call(first, "desk"):
        assert concurrency.running == 1
