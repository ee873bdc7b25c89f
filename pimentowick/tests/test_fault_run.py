"""Random faults in a whole deployment, with fixed seeds."""

import asyncio

import pytest

from pimentowick.fakes import fault_run


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_guarantees_hold_under_random_faults(seed):
    """Platform services, targets, agents and entries fail one after the other.

    Responses are complete or marked as incomplete, the verdicts of errors are correct,
    calls run at most once, and each item of the job has one correct result.
    """
    report = asyncio.run(fault_run.run_faults(seed, rounds=4))
    assert report.complete
