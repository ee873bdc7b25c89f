"""Observation of what this process uses of its host, and of how near the limits are."""

import asyncio
import ctypes
import dataclasses
import os
import pathlib
import time

from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import memory_budget, resource_level

__all__ = ["ResourceMonitor"]

INTERVAL_S = 0.3
# The event loop runs in one thread.
EVENT_LOOP_CORES = 1.0
MEGABYTE = 1_000_000
# Bytes per second of a link of one megabit per second.
BYTES_PER_MEGABIT = 125_000
# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
STATM_PATH = pathlib.Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Returning free memory to the kernel takes time in proportion to the heap.
TRIM_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class _Counters:
    """Totals at the last observation.

    Attributes:
        observed_at: Monotonic time of the observation.
        processor_s: Processor time of the process.
        received: Bytes received from callers and targets.
        sent: Bytes sent to them.
    """

    observed_at: float
    processor_s: float
    received: int
    sent: int


class ResourceMonitor:
    """Observes the use of each limited resource, and derives its level.

    Args:
        settings: `pimentowick.platform.node.NodeSettings`.
        budget: The `memory_budget.MemoryBudget`, whose capacity is updated.
        count_sockets: Function that returns the number of open sockets.
        counted: The `traffic.Traffic` of the entry.
        on_processor_use: Function called with the share of what the event loop can use
            of the processor, if that is limited.

    Attributes:
        settings: The `pimentowick.platform.node.NodeSettings` in force.
        uses: The last `resource_level.Use` by `resource_level.Resource`.
        loop_delay_s: Longest delay of the event loop since the last observation.
    """

    def __init__(
        self,
        settings,
        budget,
        count_sockets,
        counted,
        on_processor_use=lambda share: None,
    ):
        self._on_processor_use = on_processor_use
        self.settings = settings
        self._budget = budget
        self._count_sockets = count_sockets
        self._traffic = counted
        self._levels = {
            resource: resource_level.ResourceLevel(rise_s)
            for resource, rise_s in resource_level.RISE_S.items()
        }
        self._counters = self._read_counters(time.monotonic())
        self._idle_bytes = read_resident_bytes()
        self._trimmed_at = float("-inf")
        self.uses = {}
        self.loop_delay_s = 0.0
        self._update_capacity(self._idle_bytes)

    @property
    def is_limited(self):
        """Whether the settings limit any resource."""
        settings = self.settings
        limits = (
            settings.processor_cores,
            settings.memory_mb,
            settings.max_descriptors,
        )
        return any(limit is not None for limit in limits)

    @property
    def levels(self):
        """The `resource_level.Level` by resource."""
        return {resource: each.level for resource, each in self._levels.items()}

    def get_level(self, resource):
        """Return the `resource_level.Level` of a resource."""
        return self._levels[resource].level

    async def run(self):
        """Observe the use repeatedly, until cancelled."""
        while self.is_limited:
            slept_at = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            now = time.monotonic()
            self.loop_delay_s = max(0.0, now - slept_at - INTERVAL_S)
            self.observe(now)

    def observe(self, now):
        """Observe the use of all resources and update their levels."""
        self.uses = self._measure(now)
        for resource, use in self.uses.items():
            previous = self.get_level(resource)
            level = self._levels[resource].update(use.share, now)
            if level != previous:
                self._log_level(resource, use, previous, level)
        processor = self.uses[resource_level.Resource.PROCESSOR]
        if processor.limit:
            cores = min(processor.limit, EVENT_LOOP_CORES)
            self._on_processor_use(processor.used / cores)
        memory = self.uses[resource_level.Resource.MEMORY]
        self._update_capacity(memory.used)
        self._trim(now)

    def _measure(self, now):
        settings, resource = self.settings, resource_level.Resource
        last = self._counters
        elapsed_s = max(now - last.observed_at, 0.001)
        current = self._counters = self._read_counters(now)
        link_bytes = settings.link_mbps * BYTES_PER_MEGABIT
        uses = {
            resource.PROCESSOR: resource_level.Use(
                (current.processor_s - last.processor_s) / elapsed_s,
                settings.processor_cores,
            ),
            resource.MEMORY: resource_level.Use(
                read_resident_bytes() or self._get_last_memory(),
                None if settings.memory_mb is None else settings.memory_mb * MEGABYTE,
            ),
            resource.DESCRIPTORS: resource_level.Use(
                self._count_sockets(), self.max_sockets
            ),
        }
        received, sent = current.received - last.received, current.sent - last.sent
        uses[resource.LINK_IN] = resource_level.Use(received / elapsed_s, link_bytes)
        uses[resource.LINK_OUT] = resource_level.Use(sent / elapsed_s, link_bytes)
        return uses

    def _read_counters(self, now):
        counted = self._traffic
        return _Counters(now, time.process_time(), counted.received, counted.sent)

    def _get_last_memory(self):
        last = self.uses.get(resource_level.Resource.MEMORY)
        return self._idle_bytes if last is None else last.used

    @property
    def max_sockets(self):
        """Number of sockets that may be open, or None without a limit."""
        limit = self.settings.max_descriptors
        return None if limit is None else max(1, limit - RESERVED_DESCRIPTORS)

    def _update_capacity(self, resident_bytes):
        budget = self._budget
        if self.settings.memory_mb is None:
            budget.capacity = None
            return
        budget.capacity = memory_budget.compute_capacity(
            self.settings.memory_mb * MEGABYTE,
            resident_bytes,
            budget.held - budget.expected,
            self._idle_bytes,
        )

    def _trim(self, now):
        """Return free memory to the kernel if little is left."""
        is_short = self.get_level(resource_level.Resource.MEMORY)
        if not is_short or now - self._trimmed_at < TRIM_INTERVAL_S:
            return
        self._trimmed_at = now
        trim_heap()

    def _log_level(self, resource, use, previous, level):
        decision_log.log_event(
            "resource.level",
            resource=str(resource),
            was=previous.name.lower(),
            level=level.name.lower(),
            used=use.used,
            limit=use.limit,
            loop_delay_s=self.loop_delay_s,
            held_bytes=self._budget.held,
            capacity_bytes=self._budget.capacity,
        )


def read_resident_bytes():
    """Return the resident memory of this process, or 0 if it cannot be read."""
    try:
        return int(STATM_PATH.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError) as error:
        decision_log.log_event("resource.unreadable", why=str(error))
        return 0


def trim_heap():
    """Return free memory of the C library's heap to the kernel."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError) as error:
        # The C library has no such function.
        decision_log.log_event("resource.not_trimmed", why=str(error))
