"""Order in which an entry serves workspaces, by the tokens served by all entries."""

import dataclasses

__all__ = ["TokenAccounting"]

INITIAL_ITEM_TOKENS = 64.0
EWMA_WEIGHT = 0.1
MAX_WORKSPACES = 10_000


@dataclasses.dataclass(slots=True)
class _Account:
    tokens: float = 0.0
    in_flight: float = 0.0
    mean_cost: float = INITIAL_ITEM_TOKENS

    @property
    def charged_tokens(self):
        return self.tokens + self.in_flight


class TokenAccounting:
    """Tokens by workspace as reported by agents, divided by the workspace's weight.

    Reports lag by up to a heartbeat interval, so the expected tokens of the items that
    this entry has in flight are added to them.

    Examples:
        >>> accounting = TokenAccounting()
        >>> accounting.sort(["a", "b"])
        ['a', 'b']
        >>> cost = accounting.begin("a", weight=1.0)
        >>> accounting.sort(["a", "b"])
        ['b', 'a']
        >>> accounting.end("a", cost)
        >>> accounting.record_report("agent", {"a": 0.0, "b": 0.0})
        >>> accounting.record_report("agent", {"a": 64.0, "b": 640.0})
        >>> accounting.sort(["b", "a"])
        ['a', 'b']
    """

    def __init__(self):
        self._accounts = {}
        self._reports = {}
        self._active = frozenset()

    def sort(self, workspaces):
        """Return the names of workspaces with pending items in serving order.

        Args:
            workspaces: Names of all workspaces that have pending items.
        """
        names = list(workspaces)
        active = [n for n in names if n in self._active]
        active_counts = [self._accounts[n].charged_tokens for n in active]
        lowest = min(active_counts, default=0.0)
        for name in names:
            account = self._get_account(name)
            if name not in self._active and not account.in_flight:
                # A workspace that becomes active again starts at the lowest count of
                # the active ones, so that it gets no credit for its idle time.
                account.tokens = max(account.tokens, lowest)
        self._active = frozenset(names)
        return sorted(names, key=lambda name: self._accounts[name].charged_tokens)

    def begin(self, workspace, weight):
        """Charge an item that is dispatched, and return the cost to pass to `end`."""
        account = self._get_account(workspace)
        cost = account.mean_cost / weight
        account.in_flight += cost
        return cost

    def end(self, workspace, cost):
        """Remove the charge of an item that is no longer in flight.

        The tokens that it actually received are reported by its agent.
        """
        account = self._get_account(workspace)
        account.in_flight = max(0.0, account.in_flight - cost)

    def record_cost(self, workspace, tokens):
        """Update the mean item cost of a workspace with the tokens of an item."""
        account = self._get_account(workspace)
        account.mean_cost += EWMA_WEIGHT * (tokens - account.mean_cost)

    def record_report(self, agent, token_counts):
        """Add the increase of an agent's token counts since its previous report.

        Args:
            agent: Name of the agent.
            token_counts: Counts by workspace, which never decrease during the lifetime
                of the agent's process.
        """
        previous = self._reports.get(agent)
        self._reports[agent] = token_counts
        if previous is None or previous is token_counts:
            return
        for name, tokens in token_counts.items():
            increase = tokens - previous.get(name, 0.0)
            if increase > 0:
                self._get_account(name).tokens += increase

    def retain_agents(self, agents):
        """Discard the reports of all agents except `agents`."""
        for agent in set(self._reports) - set(agents):
            del self._reports[agent]

    def _get_account(self, workspace):
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account()
            if len(self._accounts) > MAX_WORKSPACES:
                self._accounts.pop(next(iter(self._accounts)))
        return account
