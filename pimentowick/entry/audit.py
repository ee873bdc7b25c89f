"""The audit trail: who changed, ordered, claimed or cancelled what.

The trail is a view over the streams, not a stream of its own: each change is a
record of the log anyway, and a second record of it could be lost or disagree. An
entry knows the configuration stream and the shards that it follows, and asks the
other entries for the rest.
"""

import dataclasses
import math
import urllib.parse

from pimentowick import web as http_web
from pimentowick.configuration import fold as configuration_fold
from pimentowick.entry import handler

__all__ = ["AuditHandler", "CallerAuditHandler", "Query", "collect_notes"]

AUDIT_LIMIT = 200
MAX_AUDIT_LIMIT = 5000
FIELDS = ("kind", "name", "by", "workspace")


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Which notes are asked for; None means any.

    Attributes:
        kind: ``template``, ``workspace``, ``fleet``, ``order``, ``claim``,
            ``release`` or ``cancel``.
        name: Name of the document or host, or id of the job.
        by: Operator, caller or owner.
        workspace: Workspace that the note is about.
        since: Least time, in epoch seconds.
        until: Greatest time, in epoch seconds.
        limit: Most notes.
    """

    kind: str | None = None
    name: str | None = None
    by: str | None = None
    workspace: str | None = None
    since: float = 0.0
    until: float = math.inf
    limit: int = AUDIT_LIMIT

    def matches(self, note):
        """Return whether a note, as a dictionary, fits."""
        for field in FIELDS:
            if getattr(self, field) not in (None, note[field]):
                return False
        return self.since <= note["at"] <= self.until


def collect_notes(configuration, shards, query):
    """Return the notes that fit as dictionaries, oldest first.

    Args:
        configuration: `pimentowick.configuration.fold.ConfigurationFold`.
        shards: The `pimentowick.batch.shard.Shard` to look at.
        query: The `Query`.
    """
    notes = [_describe_change(entry) for entry in configuration.audit]
    for shard in shards:
        for note in shard.ledger.notes:
            notes.append({"stream": shard.stream, **dataclasses.asdict(note)})
    fitting = [note for note in notes if query.matches(note)]
    return _sort(fitting)[-query.limit :]


def _describe_change(entry):
    workspace = entry.name if entry.kind == "workspace" else ""
    return {
        "stream": configuration_fold.STREAM,
        **dataclasses.asdict(entry),
        "workspace": workspace,
    }


def _sort(notes):
    # Offsets order the notes of one stream; between streams there is only the time
    # that each record states.
    return sorted(notes, key=lambda note: (note["at"], note["stream"], note["offset"]))


class _QueryHandler:
    """Reads a `Query` from the request."""

    def read_query(self, **fixed):
        """Return the `Query` of the request.

        Raises:
            RefusedError: A parameter is malformed.
        """
        fields = {name: self.get_query_argument(name, None) for name in FIELDS}
        try:
            fields["since"] = float(self.get_query_argument("since", "0"))
            fields["until"] = float(self.get_query_argument("until", "inf"))
            limit = int(self.get_query_argument("limit", str(AUDIT_LIMIT)))
        except ValueError as error:
            raise http_web.make_input_error(
                "since and until are epoch seconds, limit is a whole number."
            ) from error
        if not 1 <= limit <= MAX_AUDIT_LIMIT:
            raise http_web.make_input_error(f"limit is from 1 to {MAX_AUDIT_LIMIT}.")
        return Query(**{**fields, "limit": limit, **fixed})


class AuditHandler(_QueryHandler, handler.OperatorHandler):
    """``GET /v1/admin/audit``: the trail of the whole fleet."""

    async def get(self):
        """Answer with the newest notes that fit the query."""
        query = self.read_query()
        await _answer(self, query, "/v1/admin/audit")


class CallerAuditHandler(_QueryHandler, handler.CallerHandler):
    """``GET /v1/audit``: the part of the trail that is about the caller's own."""

    async def get(self):
        """Answer with the newest notes that fit the query."""
        query = self.read_query(workspace=self.workspace.name)
        await _answer(self, query, "/v1/audit")


async def _answer(handler, query, path):
    # Each other entry decides by itself what the asker's token may see.
    entry = handler.entry
    followed = entry.table.followed
    notes = collect_notes(entry.configuration, followed.values(), query)
    missing = set(range(entry.settings.shards)) - set(followed)
    if missing and handler.get_query_argument("local", None) is None:
        for other in await handler.ask_entries(_make_path(path, query)):
            missing -= set(other["shards"])
            notes += other["audit"]
    unique = {(note["stream"], note["offset"]): note for note in notes}
    handler.write_json(
        {
            "audit": _sort(unique.values())[-query.limit :],
            "shards": sorted(followed),
            "missing_shards": sorted(missing),
        }
    )


def _make_path(path, query):
    fields = {
        name: value
        for name, value in dataclasses.asdict(query).items()
        if value is not None and value != math.inf
    }
    return f"{path}?{urllib.parse.urlencode({**fields, 'local': 1})}"
