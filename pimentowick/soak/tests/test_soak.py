import asyncio

import pytest

from pimentowick.soak import fault_injection, fleet, run


@pytest.mark.parametrize("seed", [3, 8])
def test_invariants_hold_under_random_faults(seed, tmp_path):
    # Guards against lost or inconsistent results of accepted jobs, and against the
    # execution of refused requests, under random faults of gateways, store and targets.
    findings = asyncio.run(
        run.run_soak(seed, tmp_path, sorted(fault_injection.FAULT_KINDS), 8)
    )
    assert not findings.violations
    assert findings.served > 0
    assert findings.jobs > 0


def test_concurrent_soaks_use_distinct_addresses():
    # Guards against address collisions between concurrent runs, whose gateways would
    # receive each other's requests.
    addresses = {
        fleet.make_ip(number, pid) for number in range(3) for pid in range(9000, 9600)
    }
    assert len(addresses) == 3 * 600
