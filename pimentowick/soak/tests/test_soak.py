import asyncio

import pytest

from pimentowick.soak import run, trouble


@pytest.mark.parametrize("seed", [3, 8])
def test_promises_hold_under_drawn_faults(seed, tmp_path):
    # Gateways are killed, frozen and stopped, the store is away, slow, late or loses
    # answers, and targets break off, while callers go on. Whatever was accepted is
    # listed once and alike everywhere; what was refused never ran.
    found = asyncio.run(run.run_soak(seed, tmp_path, sorted(trouble.KINDS), 8))
    assert not found.broken
    assert found.served > 0
    assert found.jobs > 0
