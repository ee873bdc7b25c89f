"""Plans which engine loads or unloads a model or adapter next.

Each plan is computed from the engines' reports alone. A controller that takes over
during a change needs no other state to continue.
"""

import collections
import dataclasses
import math

from pimentowick.placement import order as placement_order

__all__ = [
    "DesiredModel",
    "EngineState",
    "PlacementChange",
    "compute_replica_count",
    "make_plan",
]

MODEL = "model"
ADAPTER = "adapter"


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredModel:
    """Desired state of one model.

    Attributes:
        name: Name of the model.
        version: Version, or "" if any version is acceptable.
        replicas: Desired number of engines that hold the model; with 0, none is added
            and the last one is kept.
        adapters: Version by name of the model's adapters.
    """

    name: str
    version: str = ""
    replicas: int = 1
    adapters: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class EngineState:
    """The known state of one engine.

    Attributes:
        agent: Name of the engine's agent.
        failure_domain: Failure domain of the engine.
        models: Names of the models that are ready.
        adapters: Names of the adapters that are ready.
        versions: Version by ``kind/name``, where known.
        slots: Maximum number of models that the engine holds.
        busy: Whether an order for the engine is in progress.
        loading: Model that is being loaded, or None.
        probable_models: Models that are probably loaded: they are not loaded on another
            engine, and they do not count as replicas when one is unloaded.
    """

    agent: str
    failure_domain: str
    models: set
    adapters: set = dataclasses.field(default_factory=set)
    versions: dict = dataclasses.field(default_factory=dict)
    slots: int = 1
    busy: bool = False
    loading: str | None = None
    probable_models: set = dataclasses.field(default_factory=set)

    def list_expected_models(self):
        """Return the models that are ready, probably loaded, or being loaded."""
        return self.models | self.probable_models | ({self.loading} - {None})

    def count_used_slots(self):
        """Return the number of slots that are in use or reserved by a load."""
        extra = self.loading is not None and self.loading not in self.models
        return len(self.models) + extra


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementChange:
    """One order to load or unload a model or adapter at one engine."""

    agent: str
    action: str
    kind: str
    name: str
    version: str = ""


def make_plan(desired, engines, max_changes):
    """Return the changes that may start now.

    Args:
        desired: List of `DesiredModel`.
        engines: List of `EngineState`, updated in place as if the changes were
            done. `EngineState.models` may only hold models that no earlier controller
            can still unload.
        max_changes: Number of changes that may start. An unload counts as the load that
            follows it.

    Examples:
        >>> engines = [EngineState("a", "x", {"old"}), EngineState("b", "x", {"old"})]
        >>> make_plan([DesiredModel("old"), DesiredModel("new")], engines, 1)
        [PlacementChange(agent='a', action='unload', kind='model', name='old', \
version='')]
    """
    return _Planner(desired, engines, max_changes).make()


class _Planner:
    def __init__(self, desired, engines, max_changes):
        self.desired = {each.name: each for each in desired}
        self.engines = engines
        self.max_changes = max_changes
        self.changes = []
        # Counted once: a fleet has too many engines to scan them at every step.
        self._ready = collections.Counter()
        self._expected = collections.Counter()
        for engine in engines:
            self._ready.update(engine.models)
            self._expected.update(engine.list_expected_models())
        self._idle = [engine for engine in engines if not engine.busy]
        self._with_free_slot = [
            each for each in self._idle if each.count_used_slots() < each.slots
        ]

    def make(self):
        # Models without any replica go first, because their requests are refused.
        order = sorted(
            self.desired.values(),
            key=lambda each: (
                self._expected[each.name] / max(1, each.replicas),
                each.name,
            ),
        )
        for each in order:
            self._place(each)
        for each in order:
            self._update_version(each)
            self._add_adapters(each)
        return self.changes

    def _list_holders(self, name):
        return [engine for engine in self.engines if name in engine.models]

    def _place(self, desired):
        while self.max_changes > 0 and self._expected[desired.name] < desired.replicas:
            if not self._place_one(desired):
                return

    def _place_one(self, desired):
        if self._list_free(desired):
            return self._load_new(desired)
        return self._make_room(desired)

    def _list_free(self, desired):
        return [
            engine
            for engine in self._with_free_slot
            if not engine.busy and desired.name not in engine.models
        ]

    def _load_new(self, desired):
        free = self._list_free(desired)
        if not free or self.max_changes <= 0:
            return False
        # Replicas are spread first over failure domains, then over engines.
        replicas_by_domain = collections.Counter(
            engine.failure_domain
            for engine in self.engines
            if desired.name in engine.models or desired.name == engine.loading
        )
        engine = min(
            free,
            key=lambda each: (
                replicas_by_domain[each.failure_domain],
                each.count_used_slots(),
                each.agent,
            ),
        )
        self._load(engine, MODEL, desired.name, desired.version)
        engine.loading = desired.name
        self._expected[desired.name] += 1
        return True

    def _make_room(self, desired):
        allow_below_desired = self._expected[desired.name] == 0
        surpluses = {
            name: self._get_surplus(name, allow_below_desired) for name in self._ready
        }
        surplus_models = {name for name, surplus in surpluses.items() if surplus > 0}
        if not surplus_models:
            return False
        found = [
            (-surpluses[name], engine.agent, name, engine)
            for engine in self._idle
            if not engine.busy and desired.name not in engine.models
            for name in engine.models & surplus_models
        ]
        if not found:
            return False
        _, _, name, engine = min(found, key=lambda each: each[:3])
        self.changes.append(
            PlacementChange(engine.agent, placement_order.UNLOAD, MODEL, name)
        )
        engine.models.discard(name)
        engine.busy = True
        self._ready[name] -= 1
        self._expected[name] -= 1
        self.max_changes -= 1
        # The slot becomes free when the unload has finished; the next plan uses it.
        return False

    def _get_surplus(self, name, allow_below_desired):
        """Return how many ready replicas of a model may be unloaded."""
        ready = self._ready[name]
        desired = self.desired.get(name)
        if desired is None:
            return ready
        # If another model has no replica, the others may shrink to one replica.
        min_replicas = 1 if allow_below_desired else max(1, desired.replicas)
        return ready - min_replicas

    def _update_version(self, desired):
        """Load a new version at one engine while other replicas serve the model."""
        if not desired.version:
            return
        holders = self._list_holders(desired.name)
        if any(engine.busy for engine in holders):
            return
        key = f"{MODEL}/{desired.name}"
        old = [each for each in holders if each.versions.get(key) != desired.version]
        if not old:
            return
        if len(holders) == 1:
            # The only replica must keep serving, so a second one is loaded first.
            if self._expected[desired.name] == 1:
                self._load_new(desired)
            return
        if self.max_changes > 0:
            self._load(old[0], MODEL, desired.name, desired.version)
            # The engine may not serve the model until the load has finished.
            old[0].models.discard(desired.name)
            old[0].loading = desired.name
            self._ready[desired.name] -= 1

    def _add_adapters(self, desired):
        for engine in self._list_holders(desired.name):
            for name, version in desired.adapters.items():
                known = engine.versions.get(f"{ADAPTER}/{name}")
                if name in engine.adapters and known in (None, version):
                    continue
                if not engine.busy and self.max_changes > 0:
                    self._load(engine, ADAPTER, name, version)

    def _load(self, engine, kind, name, version):
        self.changes.append(
            PlacementChange(engine.agent, placement_order.LOAD, kind, name, version)
        )
        engine.busy = True
        self.max_changes -= 1


def compute_replica_count(demand, slots_per_replica, min_replicas, max_replicas):
    """Return the number of replicas needed for a demand.

    Args:
        demand: Number of concurrent requests.
        slots_per_replica: Number of concurrent requests for each replica.
        min_replicas: Minimum number of replicas.
        max_replicas: Maximum number of replicas.

    Examples:
        >>> compute_replica_count(0, 32, 1, 4), compute_replica_count(70, 32, 1, 4)
        (1, 3)
    """
    return max(
        min_replicas, min(max_replicas, math.ceil(demand / max(1, slots_per_replica)))
    )
