"""HTTP handlers of the audit trail.

The audit trail is a view of the log streams, not a separate stream: every change is
already a record in the log, and a second copy could get lost or contradict it. An entry
reads the configuration stream and the shards that it follows, and queries the other
entries for the remaining shards.
"""

import dataclasses
import math
import urllib.parse

from pimentowick import web as http_web
from pimentowick.configuration import state_machine as configuration_state_machine
from pimentowick.entry import handler

__all__ = ["AuditHandler", "CallerAuditHandler", "Query", "find_audit_events"]

DEFAULT_READ_LIMIT = 200
MAX_LIMIT = 5000
FILTER_FIELDS = ("kind", "name", "by", "workspace")


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Filter of audit events; None matches any value.

    Attributes:
        kind: ``template``, ``workspace``, ``fleet``, ``order``, ``claim``,
            ``release`` or ``cancel``.
        name: Name of the document or host, or id of the job.
        by: Operator, caller or owner.
        workspace: Workspace that the event concerns.
        since: Earliest time in epoch seconds.
        until: Latest time in epoch seconds.
        limit: Maximum number of events.
    """

    kind: str | None = None
    name: str | None = None
    by: str | None = None
    workspace: str | None = None
    since: float = 0.0
    until: float = math.inf
    limit: int = DEFAULT_READ_LIMIT

    def matches(self, event):
        """Return whether an audit event, as a dictionary, passes the filter."""
        for field in FILTER_FIELDS:
            if getattr(self, field) not in (None, event[field]):
                return False
        return self.since <= event["at"] <= self.until


def find_audit_events(configuration, shards, query):
    """Return the matching audit events as dictionaries, oldest first.

    Args:
        configuration: A
            `pimentowick.configuration.state_machine.ConfigurationStateMachine`.
        shards: The `pimentowick.batch.shard.Shard` objects to search.
        query: The `Query`.
    """
    events = [_make_change_event(audit_entry) for audit_entry in configuration.audit]
    for shard in shards:
        for event in shard.ledger.audit_events:
            events.append({"stream": shard.stream, **dataclasses.asdict(event)})
    matching = [event for event in events if query.matches(event)]
    return _sort_events(matching)[-query.limit :]


def _make_change_event(audit_entry):
    workspace = audit_entry.name if audit_entry.kind == "workspace" else ""
    return {
        "stream": configuration_state_machine.STREAM,
        **dataclasses.asdict(audit_entry),
        "workspace": workspace,
    }


def _sort_events(events):
    # Offsets order the events of one stream. Events of different streams can only be
    # ordered by the timestamps in their records.
    return sorted(events, key=lambda each: (each["at"], each["stream"], each["offset"]))


class _QueryHandler:
    """Mixin that parses a `Query` from the request."""

    def read_query(self, **fixed):
        """Parse the `Query` of the request; `fixed` overrides its fields.

        Raises:
            RefusedError: A parameter is malformed.
        """
        fields = {name: self.get_query_argument(name, None) for name in FILTER_FIELDS}
        try:
            fields["since"] = float(self.get_query_argument("since", "0"))
            fields["until"] = float(self.get_query_argument("until", "inf"))
            limit = int(self.get_query_argument("limit", str(DEFAULT_READ_LIMIT)))
        except ValueError as error:
            raise http_web.make_input_error(
                "since and until are epoch seconds, limit is a whole number."
            ) from error
        if not 1 <= limit <= MAX_LIMIT:
            raise http_web.make_input_error(f"limit is from 1 to {MAX_LIMIT}.")
        return Query(**{**fields, "limit": limit, **fixed})


class AuditHandler(_QueryHandler, handler.OperatorHandler):
    """``GET /v1/admin/audit``: the audit trail of the whole fleet."""

    async def get(self):
        """Respond with the newest events that match the query."""
        query = self.read_query()
        await _write_events(self, query, "/v1/admin/audit")


class CallerAuditHandler(_QueryHandler, handler.CallerHandler):
    """``GET /v1/audit``: the audit trail of the caller's workspace."""

    async def get(self):
        """Respond with the newest events that match the query."""
        query = self.read_query(workspace=self.workspace.name)
        await _write_events(self, query, "/v1/audit")


async def _write_events(handler, query, path):
    # Every queried entry authorizes the caller's token itself.
    entry = handler.entry
    followed = entry.table.followed
    events = find_audit_events(entry.configuration, followed.values(), query)
    missing = set(range(entry.settings.shards)) - set(followed)
    if missing and handler.get_query_argument("local", None) is None:
        for other in await handler.query_entries(_make_local_path(path, query)):
            missing -= set(other["shards"])
            events += other["audit"]
    unique = {(event["stream"], event["offset"]): event for event in events}
    handler.write_json(
        {
            "audit": _sort_events(unique.values())[-query.limit :],
            "shards": sorted(followed),
            "missing_shards": sorted(missing),
        }
    )


def _make_local_path(path, query):
    fields = {
        name: value
        for name, value in dataclasses.asdict(query).items()
        if value is not None and value != math.inf
    }
    return f"{path}?{urllib.parse.urlencode({**fields, 'local': 1})}"
