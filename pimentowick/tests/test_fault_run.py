"""Random faults over the whole path, with fixed seeds."""

import asyncio

import pytest

from pimentowick.fakes import fault_run


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_promises_hold_under_random_faults(seed):
    """Parts of the platform, targets, agents and entries fail one after the other.

    Whatever happens, answers are whole or marked as broken, refusals are true, calls
    run at most once, and each item of the job has one right result.
    """
    report = asyncio.run(fault_run.run_faults(seed, rounds=4))
    assert report.complete
