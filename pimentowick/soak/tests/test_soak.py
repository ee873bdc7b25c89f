import asyncio

import pytest

from pimentowick.soak import fleet, run, trouble


@pytest.mark.parametrize("seed", [3, 8])
def test_promises_hold_under_drawn_faults(seed, tmp_path):
    # Gateways are killed, frozen and stopped, the store is away, slow, late or loses
    # answers, and targets break off, while callers go on. Whatever was accepted is
    # listed once and alike everywhere; what was refused never ran.
    found = asyncio.run(run.run_soak(seed, tmp_path, sorted(trouble.KINDS), 8))
    assert not found.broken
    assert found.served > 0
    assert found.jobs > 0


def test_soaks_side_by_side_have_addresses_of_their_own():
    # Two soaks run at once, as two workers run tests. At one address each reaches the
    # gateways of the other, whose store is another one: refused requests seem to run.
    found = {
        fleet.make_ip(number, pid) for number in range(3) for pid in range(9000, 9600)
    }
    assert len(found) == 3 * 600
