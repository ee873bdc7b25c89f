"""The configuration as a state machine replicated through its log stream."""

import collections
import copy
import dataclasses
import json

from pimentowick import exception
from pimentowick.configuration import document, template, tokens, validation, workspace
from pimentowick.replication import state_machine

__all__ = ["ConfigurationStateMachine"]

MAX_AUDIT_ENTRIES = 2000
"""Maximum number of audit entries kept."""
MAX_SEEN_IDS = 20_000
"""Maximum number of record ids kept for duplicate detection."""
MAX_PART_CHARS = 200_000
"""Maximum size of one part of a snapshot, in characters of JSON."""
MAX_FIELD_CHARS = 100
MAX_REASON_CHARS = 500
STREAM = "configuration"
"""Name of the log stream."""
CHECKPOINT_TYPE = "checkpoint"
OPENING_TYPE = "opening"
"""Type of the record that occupies offset 0, which cannot be a version."""
DUPLICATE_REASON = "duplicate: the id was seen before"


class ConfigurationStateMachine(state_machine.StateMachine):
    """Templates, workspaces and fleet settings, built from the records of the log.

    Attributes:
        version: Offset of the last accepted change; 0 if there is none.
        templates: `template.TemplateBody` by name and version: the newest version and
            those that a workspace refers to.
        workspaces: `workspace.Workspace` by name.
        fleet: The `document.Fleet`.
        audit: `document.AuditEntry` of the most recent records, oldest first.

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
        self._seen_ids = set()
        self._seen_order = collections.deque()

    def apply(self, offset, record):
        """Apply one record; see the base class.

        A rejected record only adds an entry to `audit`. Offsets that have already been
        applied, checkpoints and the opening record are skipped.
        """
        if offset <= self._last_offset or _get_field(record, "type") in (
            CHECKPOINT_TYPE,
            OPENING_TYPE,
        ):
            return
        self._last_offset = offset
        record_id = _get_text(record, "id")
        version_before = self._get_current_version(record)
        reason = self._apply_change(offset, record, record_id)
        self._append_audit_entry(
            self._make_audit_entry(offset, record, version_before, reason)
        )
        if record_id and reason != DUPLICATE_REASON:
            self._add_seen_id(record_id)

    def get_document(self, kind, name):
        """Return the current `document.Document`, or None."""
        return self._documents.get((kind, name))

    def find_audit_entry(self, record_id):
        """Return the `document.AuditEntry` of a record, or None.

        None means that the record has not been applied yet, or that its entry has been
        evicted. A duplicate does not replace the entry of the original record.
        """
        return self._outcomes.get(record_id)

    def find_workspace_by_token(self, text):
        """Return the `workspace.Workspace` that a token authenticates, or None.

        Stopped workspaces are returned too; the caller has to reject their requests.
        """
        token_id = _get_token_id(text)
        owner = self.workspaces.get(self._token_owners.get(token_id))
        stored_tokens = owner.tokens if owner else {}
        is_valid = tokens.check_token(text, stored_tokens)
        return owner if is_valid else None

    def find_operator_by_token(self, text):
        """Return the `tokens.StoredToken` that an operator's token matches, or None."""
        return tokens.check_token(text, self.fleet.operators)

    def list_documents_since(self, version):
        """Return the current documents newer than `version`, oldest first."""
        newer = [item for item in self._documents.values() if item.version > version]
        return sorted(newer, key=lambda item: item.version)

    def dump(self):
        """Return the state as a list of JSON-serializable parts; see the base class."""
        head = {"version": self.version, "last_offset": self._last_offset}
        kept = {item.version: item for item in self._documents.values()}
        kept.update((item.version, item) for item in self._template_documents.values())
        ordered = [kept[version] for version in sorted(kept)]
        parts = [{"part": "head", "items": [head]}]
        parts.extend(_split_into_parts("documents", map(dataclasses.asdict, ordered)))
        parts.extend(_split_into_parts("audit", map(dataclasses.asdict, self.audit)))
        parts.extend(_split_into_parts("seen", self._seen_order))
        return parts

    def load(self, parts):
        """Replace the state with a snapshot; see the base class.

        Raises:
            exception.ValidationError: If `parts` is malformed or incomplete; the state
                is then left unchanged.
        """
        loaded = ConfigurationStateMachine()
        try:
            loaded._load_parts(parts)
        except (AttributeError, KeyError, TypeError, IndexError) as error:
            raise exception.ValidationError(
                f"malformed configuration snapshot: {error!r}"
            ) from error
        self.__dict__.update(loaded.__dict__)

    def _load_parts(self, parts):
        items = collections.defaultdict(list)
        for part in parts:
            items[part["part"]].extend(copy.deepcopy(part["items"]))
        for data in items["documents"]:
            self._put_document(document.Document(**data))
        for data in items["audit"]:
            self._append_audit_entry(document.AuditEntry(**data))
        for record_id in items["seen"]:
            self._add_seen_id(record_id)
        head = items["head"][0]
        self.version = head["version"]
        self._last_offset = head["last_offset"]

    def _apply_change(self, offset, record, record_id):
        """Apply a change; return the reason if it is rejected, else an empty string."""
        if record_id in self._seen_ids:
            return DUPLICATE_REASON
        try:
            self._apply_envelope(offset, record)
        except exception.PimentowickError as error:
            return str(error)[:MAX_REASON_CHARS]
        return ""

    def _apply_envelope(self, offset, record):
        new, amends = document.parse_envelope(offset, record)
        if offset == 0:
            # Version 0 means that the document does not exist: a document of that
            # version could be overwritten by a concurrent record that creates it.
            raise exception.ValidationError("offset 0 can't be a version")
        current = self.get_document(new.kind, new.name)
        _check_amends(current, amends)
        if new.kind == document.ORDER:
            validation.validate(document.OrderBody, new.body)
            return
        self._put_document(new)
        self.version = offset
        if current is not None:
            self._drop_unused_template(current)

    def _put_document(self, new):
        # Each branch validates the body before it modifies any state.
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
        rendered = self._render(body)
        stored_tokens = document.make_stored_tokens(body.tokens)
        self._check_token_owners(new.name, stored_tokens)
        parsed_workspace = workspace.parse_workspace(
            new.name, new.version, rendered, stored_tokens, body.stopped
        )
        self._template_uses[body.template, body.template_version] += 1
        self._update_token_owners(new.name, stored_tokens)
        self.workspaces[new.name] = parsed_workspace

    def _render(self, body):
        versions = self.templates.get(body.template, {})
        parsed = versions.get(body.template_version)
        if parsed is None:
            raise exception.ValidationError(
                f"template {body.template} version {body.template_version}: "
                f"expected one of the versions {sorted(versions)}"
            )
        return template.render_workspace(parsed, body.parameters)

    def _check_token_owners(self, name, token_ids):
        for token_id in token_ids:
            if self._token_owners.get(token_id, name) != name:
                raise exception.ValidationError(
                    f"tokens: id {token_id} belongs to another workspace"
                )

    def _update_token_owners(self, name, token_ids):
        current = self.workspaces.get(name)
        for token_id in current.tokens if current else ():
            del self._token_owners[token_id]
        self._token_owners.update(dict.fromkeys(token_ids, name))

    def _drop_unused_template(self, replaced):
        """Drop the template version that a replaced document referred to, if unused."""
        if replaced.kind == "template":
            self._drop_template_version(replaced.name, replaced.version)
        elif replaced.kind == "workspace":
            body = replaced.body
            key = (body["template"], body["template_version"])
            self._template_uses[key] -= 1
            self._drop_template_version(*key)

    def _drop_template_version(self, name, version):
        is_newest = self._documents["template", name].version == version
        if is_newest or self._template_uses[name, version] > 0:
            return
        del self._template_uses[name, version]
        del self._template_documents[name, version]
        del self.templates[name][version]

    def _get_current_version(self, record):
        key = (_get_text(record, "type"), _get_text(record, "name"))
        current = self._documents.get(key)
        return current.version if current else 0

    def _make_audit_entry(self, offset, record, version_before, reason):
        return document.AuditEntry(
            offset=offset,
            at=_get_time(record),
            by=_get_text(record, "by"),
            kind=_get_text(record, "type"),
            name=_get_text(record, "name"),
            version_before=version_before,
            version_after=self._get_current_version(record),
            accepted=not reason,
            reason=reason,
            id=_get_text(record, "id"),
            client=_get_text(record, "client"),
        )

    def _append_audit_entry(self, audit_entry):
        self.audit.append(audit_entry)
        if audit_entry.id and audit_entry.reason != DUPLICATE_REASON:
            self._outcomes[audit_entry.id] = audit_entry
        if len(self.audit) > MAX_AUDIT_ENTRIES:
            self._drop_outcome(self.audit.popleft())

    def _drop_outcome(self, audit_entry):
        if self._outcomes.get(audit_entry.id) is audit_entry:
            del self._outcomes[audit_entry.id]

    def _add_seen_id(self, record_id):
        self._seen_ids.add(record_id)
        self._seen_order.append(record_id)
        if len(self._seen_order) > MAX_SEEN_IDS:
            self._seen_ids.discard(self._seen_order.popleft())


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
    if not isinstance(value, str) or len(value) > MAX_FIELD_CHARS:
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
    # The comparison also rejects NaN, which would make identical states unequal.
    return float(value) if abs(value) <= validation.MAX_SAFE_INTEGER else 0.0


def _get_token_id(text):
    return text.partition(tokens.SEPARATOR)[0] if isinstance(text, str) else None


def _split_into_parts(name, items):
    """Split `items` into snapshot parts of at most `MAX_PART_CHARS`."""
    parts = []
    remaining_chars = 0
    for item in items:
        size = len(json.dumps(item)) + 2
        if size > remaining_chars:
            parts.append({"part": name, "items": []})
            remaining_chars = MAX_PART_CHARS
        parts[-1]["items"].append(item)
        remaining_chars -= size
    return parts
