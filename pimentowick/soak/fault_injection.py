"""Fault injection: signals to gateways and faults of the fakes."""

import asyncio
import contextlib
import random
import signal

from pimentowick import exception
from pimentowick.fakes import (
    broken_answers,
    faults,
    platform_site,
    replica,
    wait,
)
from pimentowick.soak import fleet

__all__ = ["CHANGE_KINDS", "FAULT_KINDS", "PLANNED_KINDS", "FaultInjector"]

APPEND_PATH = "/-/log-append"
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
PART_REQUESTS = 24
PART_INTERVAL_S = 0.1
# Answers that no caller may get as whole ones.
BROKEN_ANSWERS = [
    *broken_answers.MALFORMED_HEADS.values(),
    *broken_answers.MALFORMED_FRAMINGS.values(),
    *broken_answers.CUT_ANSWERS.values(),
    *broken_answers.BROKEN_STREAMS.values(),
]
# Of each replica and fault.
BROKEN_ANSWER_COUNT = 4
# Five crashes, and three requests that come later.
MAX_PART_CRASHES = 8
# Time for which a replica serves on after it is listed as draining, or not any more.
LEAVING_S = 2.2


class FaultInjector:
    """Injects faults.

    Args:
        running_fleet: `pimentowick.soak.fleet.Fleet`.
        rng: `random.Random`.

    Attributes:
        injected: List of the kinds of the injected faults.
        violations: Descriptions of violated invariants.
    """

    def __init__(self, running_fleet, rng):
        self._fleet = running_fleet
        self._rng = rng
        # Draws of their own, so that a seed keeps its faults.
        self._answer_rng = random.Random()
        self._answer_rng.setstate(rng.getstate())
        self._ending_rng = random.Random()
        self._ending_rng.setstate(rng.getstate())
        self._change_rng = random.Random()
        self._change_rng.setstate(rng.getstate())
        self.injected = []
        self.violations = []

    async def inject(self, kind):
        """Inject one fault; return when it has ended or was handed to the fakes."""
        self.injected.append(kind)
        self._fleet.log(f"{kind} begins")
        await (FAULT_KINDS | CHANGE_KINDS)[kind](self)
        self._fleet.log(f"{kind} has ended")

    def _choose_gateway(self):
        return self._rng.choice(self._fleet.gateways)

    async def _kill(self):
        gateway = self._choose_gateway()
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait()
        await gateway.start()

    async def _kill_all(self):
        for gateway in self._fleet.gateways:
            gateway.send_signal(signal.SIGKILL)
        for gateway in self._fleet.gateways:
            await gateway.wait()
            await gateway.start()

    async def _release(self):
        """Restart replicas with a new version under their identifiers."""
        self._restart_replicas()
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        self._fleet.silent_replicas.clear()

    async def _release_under_kill(self):
        """Do the same while all gateways, or all but one, are killed at once."""
        survivors = self._rng.randint(0, 1)
        for gateway in self._fleet.gateways[survivors:]:
            gateway.send_signal(signal.SIGKILL)
        self._restart_replicas()
        for gateway in self._fleet.gateways[survivors:]:
            await gateway.wait()
            await gateway.start()
        for gateway in self._fleet.gateways:
            await wait.wait_for(
                lambda gateway=gateway: self._fleet.is_ready(gateway),
                READY_TIMEOUT_S,
                READY_POLL_S,
            )
        # Callers take their streams up before the replicas register.
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        self._fleet.silent_replicas.clear()

    async def _release_under_freeze(self):
        """Do the same while a gateway is frozen, so that it misses the restarts."""
        gateway = self._choose_gateway()
        gateway.send_signal(signal.SIGSTOP)
        self._restart_replicas()
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        if self._rng.random() < 0.5:
            # The other gateways learn of the restarts before it does.
            self._fleet.silent_replicas.clear()
            await asyncio.sleep(self._rng.uniform(0.5, 1.5))
        gateway.send_signal(signal.SIGCONT)
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        self._fleet.silent_replicas.clear()

    def _restart_replicas(self):
        count = len(self._fleet.replicas) // 2
        released = self._rng.sample(self._fleet.replicas, count)
        self._fleet.silent_replicas.update(released)
        for each in released:
            each.restart(f"w{len(self.injected)}")
            self._fleet.log(f"{each.id} has restarted as {each.version}")

    async def _pause(self):
        gateway = self._choose_gateway()
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        gateway.send_signal(signal.SIGCONT)

    async def _stop(self):
        gateway = self._choose_gateway()
        gateway.send_signal(signal.SIGTERM)
        await gateway.wait()
        await gateway.start()

    async def _send_sighup(self):
        gateway = self._choose_gateway()
        # SIGHUP terminates a process that has not installed its signal handler yet.
        await wait.wait_for(
            lambda: self._fleet.is_ready(gateway), READY_TIMEOUT_S, READY_POLL_S
        )
        gateway.send_signal(signal.SIGHUP)

    async def _stop_store(self):
        await self._inject_store_fault(faults.Fault("down"))

    async def _slow_store(self):
        await self._inject_store_fault(faults.Fault("slow", seconds=0.4))

    async def _inject_store_fault(self, fault):
        fault_injector = self._fleet.store.fault_injector
        fault_injector.inject(fault)
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        fault_injector.active_faults.remove(fault)

    async def _drop_responses(self):
        count = self._rng.randint(1, 6)
        self._fleet.store.fault_injector.inject(
            faults.Fault("lose_answer", count=count, path=APPEND_PATH)
        )

    async def _delay_appends(self):
        self._fleet.store.append_delay_s = self._rng.uniform(0.5, 2.0)
        await asyncio.sleep(1.0)
        self._fleet.store.append_delay_s = None

    async def _stall_connections(self):
        self._fleet.store.fault_injector.freeze(faults.Fault("freeze"))

    async def _break_responses(self):
        for each in self._fleet.replicas:
            each.planned_behaviours += [
                replica.Behaviour(
                    cut_after=self._rng.randint(0, 8), partial_event=True
                ),
                replica.Behaviour("vanish"),
                replica.Behaviour("refuse"),
                replica.Behaviour("unsigned"),
                replica.Behaviour("endless"),
                replica.Behaviour("refuse", late_refusal="copy"),
                replica.Behaviour(late_refusal="unnamed"),
                replica.Behaviour(late_refusal="copy"),
                replica.Behaviour("crossed"),
                *self._draw_broken_answers(),
            ]

    def _draw_broken_answers(self):
        cut_after = self._answer_rng.randint(0, 12)
        drawn = self._answer_rng.sample(BROKEN_ANSWERS, BROKEN_ANSWER_COUNT)
        # Replicas that live on do not close in order what they have not sent whole.
        crashes = self._ending_rng.random() < 0.5
        return [
            replica.Behaviour(
                "unframed", cut_after=cut_after, crashes=crashes, resets=True
            ),
            *(replica.Behaviour("raw", data=data) for data in drawn),
        ]

    async def _crash_under_part(self):
        """Send new requests with one part under which each replica crashes."""
        part = f"bad{len(self.injected)}"
        for each in self._fleet.replicas:
            each.crash_parts.add(part)
        for number in range(PART_REQUESTS):
            gateway = self._choose_gateway()
            headers = {
                "Host": platform_site.HOST,
                "X-Pimentowick-Request-Id": f"{part}-{number}",
                "X-Pimentowick-Deadline-Ms": "1000",
                "X-Pimentowick-Prompt-Prefix": f"{part}:50,own{number}:50",
            }
            path = f"/draft/{part}/{number}"
            with contextlib.suppress(exception.UnavailableError):
                await self._fleet.client.fetch(
                    "POST", gateway.address, path, b"x", headers, timeout_s=2.0
                )
            await asyncio.sleep(PART_INTERVAL_S)
        crashes = self._count_runs(f"{part}-")
        if crashes > MAX_PART_CRASHES:
            self.violations.append(f"{part}: {crashes} replicas crashed")

    def _count_runs(self, prefix):
        return sum(
            count
            for each in self._fleet.all_replicas
            for request_id, count in each.runs.items()
            if request_id.startswith(prefix)
        )

    async def _rebalance_groups(self):
        for group in self._fleet.store.groups.values():
            group.members.clear()
            group.generation += 1

    async def _configure(self):
        """Move the batch route, change its timeout, add a route; then undo it all."""
        added = platform_site.make_route("/added/", "stream", resumable=True)
        self._fleet.configure([added], service=fleet.SPARE_SERVICE, timeout_ms=2000)
        await asyncio.sleep(self._change_rng.uniform(0.2, 3.0))
        self._fleet.configure()

    async def _drain_replica(self):
        await self._replace_replica(is_announced=True)

    async def _lose_replica(self):
        await self._replace_replica(is_announced=False)

    async def _replace_replica(self, is_announced):
        # Of two faults at once, each replaces another replica.
        leaving = self._change_rng.choice(self._fleet.replicas)
        await self._fleet.replace_replica(leaving, is_announced, LEAVING_S)

    async def _forget_history(self):
        self._fleet.store.forget_history()

    async def _refuse_calls(self):
        """Let the store turn the calls of one gateway away."""
        gateway = self._change_rng.choice(self._fleet.gateways)
        port = int(gateway.store_address.rpartition(":")[2])
        status = self._change_rng.choice([429, 503])
        await self._inject_store_fault(faults.Fault("down", port=port, status=status))

    async def _fail_requests(self):
        for each in self._fleet.replicas:
            count = self._change_rng.randint(1, 4)
            each.planned_behaviours += [replica.Behaviour("fail")] * count


FAULT_KINDS = {
    "kill": FaultInjector._kill,
    "kill_all": FaultInjector._kill_all,
    "release": FaultInjector._release,
    "release_under_kill": FaultInjector._release_under_kill,
    "release_under_freeze": FaultInjector._release_under_freeze,
    "freeze": FaultInjector._pause,
    "stop": FaultInjector._stop,
    "hang_up": FaultInjector._send_sighup,
    "store_down": FaultInjector._stop_store,
    "store_slow": FaultInjector._slow_store,
    "lose_answers": FaultInjector._drop_responses,
    "late_appends": FaultInjector._delay_appends,
    "silent_connections": FaultInjector._stall_connections,
    "break_answers": FaultInjector._break_responses,
    "deal_anew": FaultInjector._rebalance_groups,
    "crash_part": FaultInjector._crash_under_part,
}

# Kinds that are drawn only where they are asked for.
CHANGE_KINDS = {
    "configure": FaultInjector._configure,
    "drain_replica": FaultInjector._drain_replica,
    "lose_replica": FaultInjector._lose_replica,
    "forget_history": FaultInjector._forget_history,
    "refuse_calls": FaultInjector._refuse_calls,
    "fail_requests": FaultInjector._fail_requests,
}

# Kinds of planned work, around which no request that ran may go unanswered.
PLANNED_KINDS = frozenset({"configure", "hang_up", "stop"})
