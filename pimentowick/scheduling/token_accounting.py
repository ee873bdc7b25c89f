"""Which workspace an entry serves next, by the tokens that all entries gave them."""

import dataclasses

__all__ = ["TokenAccounting"]

FIRST_COST = 64.0
SMOOTHING = 0.1
LIMIT = 10_000


@dataclasses.dataclass(slots=True)
class _Account:
    tokens: float = 0.0
    in_flight: float = 0.0
    mean_cost: float = FIRST_COST

    @property
    def level(self):
        return self.tokens + self.in_flight


class TokenAccounting:
    """Tokens by workspace, divided by its weight, as agents report them.

    Reports are as old as a heartbeat; the expected tokens of what this entry has in
    flight are added to them.

    Examples:
        >>> served = TokenAccounting()
        >>> served.sort(["a", "b"])
        ['a', 'b']
        >>> cost = served.begin("a", weight=1.0)
        >>> served.sort(["a", "b"])
        ['b', 'a']
        >>> served.end("a", cost)
        >>> served.record_report("agent", {"a": 0.0, "b": 0.0})
        >>> served.record_report("agent", {"a": 64.0, "b": 640.0})
        >>> served.sort(["b", "a"])
        ['a', 'b']
    """

    def __init__(self):
        self._accounts = {}
        self._reports = {}
        self._active = frozenset()

    def sort(self, workspaces):
        """Return the names of workspaces that have work, the next one first."""
        names = list(workspaces)
        known = [n for n in names if n in self._active]
        levels = [self._accounts[n].level for n in known]
        least = min(levels, default=0.0)
        for name in names:
            account = self._get(name)
            if name not in self._active and not account.in_flight:
                # It comes back after a pause and starts level with the others; it
                # must not catch up on the time in which it asked for nothing.
                account.tokens = max(account.tokens, least)
        self._active = frozenset(names)
        return sorted(names, key=lambda name: self._accounts[name].level)

    def begin(self, workspace, weight):
        """Count an item that is sent, and return the cost to be given to `end`."""
        account = self._get(workspace)
        cost = account.mean_cost / weight
        account.in_flight += cost
        return cost

    def end(self, workspace, cost):
        """Count that an item came back; agents report what it got."""
        account = self._get(workspace)
        account.in_flight = max(0.0, account.in_flight - cost)

    def record_cost(self, workspace, tokens):
        """Take notice of what an item of a workspace asks for."""
        account = self._get(workspace)
        account.mean_cost += SMOOTHING * (tokens - account.mean_cost)

    def record_report(self, agent, served):
        """Take an agent's counts by workspace; they only grow while it lives."""
        before = self._reports.get(agent)
        self._reports[agent] = served
        if before is None or before is served:
            return
        for name, tokens in served.items():
            grown = tokens - before.get(name, 0.0)
            if grown > 0:
                self._get(name).tokens += grown

    def retain_agents(self, present):
        """Drop the counts of agents that are gone."""
        for agent in set(self._reports) - set(present):
            del self._reports[agent]

    def _get(self, workspace):
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account()
            if len(self._accounts) > LIMIT:
                self._accounts.pop(next(iter(self._accounts)))
        return account
