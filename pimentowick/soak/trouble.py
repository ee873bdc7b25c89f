"""Faults from outside: signals to gateways, fault orders to the stand-ins."""

import asyncio
import signal

from pimentowick.fakes import faults, replica, wait

__all__ = ["KINDS", "Trouble"]

APPEND = "/-/log-append"
READY_S = 20.0
POLL_S = 0.05


class Trouble:
    """Makes faults, one after the other.

    Args:
        fleet: `pimentowick.soak.fleet.Fleet`.
        draw: `random.Random` that chooses.
    """

    def __init__(self, fleet, draw):
        self._fleet = fleet
        self._draw = draw
        self.made = []

    async def make(self, kind):
        """Make one fault and wait until it is over."""
        self.made.append(kind)
        await KINDS[kind](self)

    def _choose_gateway(self):
        return self._draw.choice(self._fleet.gateways)

    async def _kill(self):
        gateway = self._choose_gateway()
        gateway.send(signal.SIGKILL)
        await gateway.wait()
        await gateway.start()

    async def _kill_all(self):
        for gateway in self._fleet.gateways:
            gateway.send(signal.SIGKILL)
        for gateway in self._fleet.gateways:
            await gateway.wait()
            await gateway.start()

    async def _freeze(self):
        gateway = self._choose_gateway()
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(self._draw.uniform(1.0, 4.0))
        gateway.send(signal.SIGCONT)

    async def _stop(self):
        gateway = self._choose_gateway()
        gateway.send(signal.SIGTERM)
        await gateway.wait()
        await gateway.start()

    async def _hang_up(self):
        gateway = self._choose_gateway()
        # Before its first line runs, nothing can keep a process from ending by it.
        await wait.wait_for(lambda: self._fleet.is_ready(gateway), READY_S, POLL_S)
        gateway.send(signal.SIGHUP)

    async def _store_down(self):
        await self._order_store(faults.Fault("down"))

    async def _store_slow(self):
        await self._order_store(faults.Fault("slow", seconds=0.4))

    async def _order_store(self, order):
        fault_injector = self._fleet.store.fault_injector
        fault_injector.inject(order)
        await asyncio.sleep(self._draw.uniform(1.0, 3.0))
        fault_injector.active_faults.remove(order)

    async def _lose_answers(self):
        count = self._draw.randint(1, 6)
        self._fleet.store.fault_injector.inject(
            faults.Fault("lose_answer", count=count, path=APPEND)
        )

    async def _late_appends(self):
        self._fleet.store.append_delay_s = self._draw.uniform(0.5, 2.0)
        await asyncio.sleep(1.0)
        self._fleet.store.append_delay_s = None

    async def _silent_connections(self):
        self._fleet.store.fault_injector.freeze(faults.Fault("freeze"))

    async def _break_answers(self):
        for each in self._fleet.replicas:
            each.planned_behaviours += [
                replica.Behaviour(
                    cut_after=self._draw.randint(0, 8), partial_event=True
                ),
                replica.Behaviour("vanish"),
                replica.Behaviour("refuse"),
                replica.Behaviour("unsigned"),
            ]

    async def _deal_anew(self):
        for group in self._fleet.store.groups.values():
            group.members.clear()
            group.generation += 1


KINDS = {
    "kill": Trouble._kill,
    "kill_all": Trouble._kill_all,
    "freeze": Trouble._freeze,
    "stop": Trouble._stop,
    "hang_up": Trouble._hang_up,
    "store_down": Trouble._store_down,
    "store_slow": Trouble._store_slow,
    "lose_answers": Trouble._lose_answers,
    "late_appends": Trouble._late_appends,
    "silent_connections": Trouble._silent_connections,
    "break_answers": Trouble._break_answers,
    "deal_anew": Trouble._deal_anew,
}
