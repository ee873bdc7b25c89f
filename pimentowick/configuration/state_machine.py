"""The configuration as a fold over its log stream."""

import collections
import copy
import dataclasses
import json

from pimentowick import exception
from pimentowick.configuration import document, template, tokens, validation, workspace
from pimentowick.replication import fold

__all__ = ["ConfigurationStateMachine"]

MAX_AUDIT_ENTRIES = 2000
"""Notes that are kept."""
MAX_SEEN_IDS = 20_000
"""Record ids that are remembered."""
PART_LIMIT = 200_000
"""Characters of one part of a dump."""
TEXT_LIMIT = 100
REASON_LIMIT = 500
STREAM = "configuration"
"""Name of the stream in the log."""
CHECKPOINT = "checkpoint"
OPENING = "opening"
"""Takes up offset 0, which can't be a version."""
DUPLICATE = "duplicate: the id was seen before"


class ConfigurationStateMachine(fold.Fold):
    """Templates, workspaces and fleet settings as the log has them.

    Attributes:
        version: Highest offset that took effect, 0 if none did.
        templates: `template.TemplateBody` by name and then by version: the
            newest and those that a workspace refers to.
        workspaces: `workspace.Workspace` by name.
        fleet: The `document.Fleet`.
        audit: `document.AuditEntry` of the newest records, oldest first.

    Examples:
        >>> state = ConfigurationStateMachine()
        >>> record = {"id": "0a" * 8, "type": "fleet", "name": "fleet", "amends": 0}
        >>> record.update(by="ada", at=1.0, body={"shards": 4})
        >>> state.apply(1, record)
        >>> state.version, state.fleet.shards
        (1, 4)
    """

    def __init__(self):
        self.version = 0
        self.templates = {}
        self.workspaces = {}
        self.fleet = document.Fleet()
        self.audit = collections.deque()
        self._last_offset = -1
        self._documents = {}
        self._template_documents = {}
        self._template_uses = collections.Counter()
        self._token_owners = {}
        self._outcomes = {}
        self._seen = set()
        self._seen_order = collections.deque()

    def apply(self, offset, record):
        """Apply one record; see the base class.

        A record that does not take effect is noted in `audit`. Offsets that
        were applied before are passed over, and so are checkpoints and the opening.
        """
        if offset <= self._last_offset or _get_field(record, "type") in (
            CHECKPOINT,
            OPENING,
        ):
            return
        self._last_offset = offset
        record_id = _get_text(record, "id")
        before = self._get_version_of(record)
        reason = self._try(offset, record, record_id)
        self._append_note(self._make_note(offset, record, before, reason))
        if record_id and reason != DUPLICATE:
            self._remember(record_id)

    def get_document(self, kind, name):
        """Return the `document.Document` in force, or None."""
        return self._documents.get((kind, name))

    def find_audit_entry(self, record_id):
        """Return the `document.AuditEntry` of a record, or None.

        None means that the record was not applied yet, or so long ago that its
        note has been dropped. Later duplicates do not hide the first outcome.
        """
        return self._outcomes.get(record_id)

    def find_workspace_by_token(self, text):
        """Return the `workspace.Workspace` that a token opens, or None.

        A stopped workspace is found too; refusing its requests is the caller's.
        """
        token_id = _get_token_id(text)
        owner = self.workspaces.get(self._token_owners.get(token_id))
        entries = owner.tokens if owner else {}
        entry = tokens.check_token(text, entries)
        return owner if entry else None

    def find_operator_by_token(self, text):
        """Return the `tokens.StoredToken` of the operator with this token, or None."""
        return tokens.check_token(text, self.fleet.operators)

    def list_documents_since(self, version):
        """Return the documents in force newer than `version`, oldest first."""
        found = [item for item in self._documents.values() if item.version > version]
        return sorted(found, key=lambda item: item.version)

    def dump(self):
        """Return the state as a list of JSON-ready parts; see the base class."""
        head = {"version": self.version, "last_offset": self._last_offset}
        kept = {item.version: item for item in self._documents.values()}
        kept.update((item.version, item) for item in self._template_documents.values())
        ordered = [kept[version] for version in sorted(kept)]
        parts = [{"part": "head", "items": [head]}]
        parts.extend(_pack("documents", map(dataclasses.asdict, ordered)))
        parts.extend(_pack("audit", map(dataclasses.asdict, self.audit)))
        parts.extend(_pack("seen", self._seen_order))
        return parts

    def load(self, parts):
        """Replace the state by a dumped one; see the base class.

        Raises:
            exception.ValidationError: If `parts` is not a whole dump; the state
                then stays as it was.
        """
        loaded = ConfigurationStateMachine()
        try:
            loaded._fill(parts)
        except (AttributeError, KeyError, TypeError, IndexError) as error:
            raise exception.ValidationError(f"dump: {error!r}") from error
        self.__dict__.update(loaded.__dict__)

    def _fill(self, parts):
        items = collections.defaultdict(list)
        for part in parts:
            items[part["part"]].extend(copy.deepcopy(part["items"]))
        for data in items["documents"]:
            self._put(document.Document(**data))
        for data in items["audit"]:
            self._append_note(document.AuditEntry(**data))
        for record_id in items["seen"]:
            self._remember(record_id)
        head = items["head"][0]
        self.version = head["version"]
        self._last_offset = head["last_offset"]

    def _try(self, offset, record, record_id):
        """Return why the record does not take effect; empty if it does."""
        if record_id in self._seen:
            return DUPLICATE
        try:
            self._take(offset, record)
        except exception.PimentowickError as error:
            return str(error)[:REASON_LIMIT]
        return ""

    def _take(self, offset, record):
        new, amends = document.parse_envelope(offset, record)
        if offset == 0:
            # Version 0 means "no document yet": a document of that version
            # could be overwritten by a racing record for a new one.
            raise exception.ValidationError("offset 0 can't be a version")
        current = self.get_document(new.kind, new.name)
        _check_amends(current, amends)
        if new.kind == document.ORDER:
            validation.validate(document.OrderBody, new.body)
            return
        self._put(new)
        self.version = offset
        if current is not None:
            self._release(current)

    def _put(self, new):
        # Each branch checks everything before it changes anything.
        if new.kind == "template":
            self._put_template(new)
        elif new.kind == "workspace":
            self._put_workspace(new)
        else:
            self.fleet = document.parse_fleet(new.body)
        self._documents[new.kind, new.name] = new

    def _put_template(self, new):
        parsed = template.parse_template(new.body)
        self.templates.setdefault(new.name, {})[new.version] = parsed
        self._template_documents[new.name, new.version] = new

    def _put_workspace(self, new):
        body = validation.validate(document.WorkspaceBody, new.body)
        filled = self._render(body)
        entries = document.make_stored_tokens(body.tokens)
        self._check_owners(new.name, entries)
        made = workspace.parse_workspace(
            new.name, new.version, filled, entries, body.stopped
        )
        self._template_uses[body.template, body.template_version] += 1
        self._move_tokens(new.name, entries)
        self.workspaces[new.name] = made

    def _render(self, body):
        versions = self.templates.get(body.template, {})
        parsed = versions.get(body.template_version)
        if parsed is None:
            raise exception.ValidationError(
                f"template {body.template} version {body.template_version}: "
                f"expected one of the versions {sorted(versions)}"
            )
        return template.render_workspace(parsed, body.parameters)

    def _check_owners(self, name, entries):
        for token_id in entries:
            if self._token_owners.get(token_id, name) != name:
                raise exception.ValidationError(
                    f"tokens: id {token_id} belongs to another workspace"
                )

    def _move_tokens(self, name, entries):
        current = self.workspaces.get(name)
        for token_id in current.tokens if current else ():
            del self._token_owners[token_id]
        self._token_owners.update(dict.fromkeys(entries, name))

    def _release(self, replaced):
        """Drop the template version that a replaced document kept, if unused."""
        if replaced.kind == "template":
            self._drop_template(replaced.name, replaced.version)
        elif replaced.kind == "workspace":
            body = replaced.body
            key = (body["template"], body["template_version"])
            self._template_uses[key] -= 1
            self._drop_template(*key)

    def _drop_template(self, name, version):
        is_newest = self._documents["template", name].version == version
        if is_newest or self._template_uses[name, version] > 0:
            return
        del self._template_uses[name, version]
        del self._template_documents[name, version]
        del self.templates[name][version]

    def _get_version_of(self, record):
        key = (_get_text(record, "type"), _get_text(record, "name"))
        current = self._documents.get(key)
        return current.version if current else 0

    def _make_note(self, offset, record, before, reason):
        return document.AuditEntry(
            offset=offset,
            at=_get_time(record),
            by=_get_text(record, "by"),
            kind=_get_text(record, "type"),
            name=_get_text(record, "name"),
            version_before=before,
            version_after=self._get_version_of(record),
            accepted=not reason,
            reason=reason,
            id=_get_text(record, "id"),
            client=_get_text(record, "client"),
        )

    def _append_note(self, entry):
        self.audit.append(entry)
        if entry.id and entry.reason != DUPLICATE:
            self._outcomes[entry.id] = entry
        if len(self.audit) > MAX_AUDIT_ENTRIES:
            self._forget(self.audit.popleft())

    def _forget(self, entry):
        if self._outcomes.get(entry.id) is entry:
            del self._outcomes[entry.id]

    def _remember(self, record_id):
        self._seen.add(record_id)
        self._seen_order.append(record_id)
        if len(self._seen_order) > MAX_SEEN_IDS:
            self._seen.discard(self._seen_order.popleft())


def _check_amends(current, amends):
    if current is None and amends != 0:
        raise exception.ConflictError(
            f"conflict: there is no version yet, the change amends {amends}"
        )
    if current is not None and amends != current.version:
        raise exception.ConflictError(
            f"conflict: version {current.version} by {current.by} "
            f"(record {current.id}) is in force, the change amends {amends}"
        )


def _get_field(record, key):
    return record.get(key) if isinstance(record, dict) else None


def _get_text(record, key):
    value = _get_field(record, key)
    if not isinstance(value, str) or len(value) > TEXT_LIMIT:
        return ""
    try:
        value.encode("utf-8")
    except UnicodeEncodeError:
        return ""
    return value


def _get_time(record):
    value = _get_field(record, "at")
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0.0
    # False for NaN as well, which would make equal states differ.
    return float(value) if abs(value) <= validation.MAX_SAFE_INTEGER else 0.0


def _get_token_id(text):
    return text.partition(tokens.SEPARATOR)[0] if isinstance(text, str) else None


def _pack(name, items):
    """Return parts of a dump that hold `items` and stay below the limit."""
    parts = []
    room = 0
    for item in items:
        size = len(json.dumps(item)) + 2
        if size > room:
            parts.append({"part": name, "items": []})
            room = PART_LIMIT
        parts[-1]["items"].append(item)
        room -= size
    return parts
