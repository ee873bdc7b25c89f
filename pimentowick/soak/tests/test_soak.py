import asyncio

import pytest

from pimentowick.soak import fault_injection, fleet, run

RESTARTS = ["kill_all", "release", "release_under_kill", "stop"]


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


@pytest.mark.parametrize(
    ("seed", "kinds"), [(1, RESTARTS), (2, RESTARTS), (900, ["release_under_freeze"])]
)
def test_texts_are_of_one_version_while_replicas_and_gateways_restart(
    seed, kinds, tmp_path
):
    # Guards against texts that are joined from two versions after replicas returned
    # under their identifiers while gateway processes were killed at once or frozen.
    findings = asyncio.run(run.run_soak(seed, tmp_path, kinds, 8))
    assert not findings.violations
    assert findings.served > 0


def test_accepted_jobs_stay_readable_at_every_gateway(tmp_path):
    # Guards against jobs, positions and bodies that are missing for a while, between
    # their acceptance and the end of a run, under two faults at a time.
    kinds = sorted(fault_injection.FAULT_KINDS | fault_injection.CHANGE_KINDS)
    findings = asyncio.run(run.run_soak(42, tmp_path, kinds, 6, overlaps=True))
    assert not findings.violations
    assert findings.watched["GET 200"] > 0
    assert findings.watched["DELETE 200"] > 0


def test_planned_stops_cut_no_request(tmp_path):
    # Guards against requests that a process takes on an open connection, or late, while
    # it stops, and passes on although it can't finish them.
    findings = asyncio.run(run.run_soak(1, tmp_path, ["hang_up", "stop"], 6))
    assert not findings.violations
    assert findings.served > 0
    assert findings.unframed > 0


def test_concurrent_soaks_use_distinct_addresses():
    # Guards against address collisions between concurrent runs, whose gateways would
    # receive each other's requests.
    addresses = {
        fleet.make_ip(number, pid) for number in range(3) for pid in range(9000, 9600)
    }
    assert len(addresses) == 3 * 600
