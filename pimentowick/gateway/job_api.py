"""What callers do with batch jobs: submit, read, end."""

import time
import uuid

from tornado import httputil

from pimentowick import exception, verdict
from pimentowick.gateway import decision, ledger, record, workspace
from pimentowick.platform import message

__all__ = ["JobApi"]

# A caller waits some seconds for the acceptance; past this it comes again.
SUBMIT_TIMEOUT_S = 3.0
END_TIMEOUT_S = 3.5
# A view older than this may miss what another entry has told a caller.
FRESH_S = 0.6
LONGEST_WAIT_S = 1.0
READ_BYTES = 900_000
RETRY_S = 0.3
# Other entries can take the call now: a new attempt reaches another one.
ELSEWHERE_S = 0.02
FULL_RETRY_S = 1.0


class JobApi:
    """Answers the calls about batch jobs.

    Args:
        storage: `pimentowick.gateway.job_storage.JobStorage`.
        is_cut_off: Function that returns whether other entries reach the store while
            this one does not.
    """

    def __init__(self, storage, is_cut_off):
        self._storage = storage
        self._is_cut_off = is_cut_off

    async def submit(self, exchange, found, call, caller):
        """Accept a job, or refuse it.

        Args:
            exchange: The `pimentowick.gateway.exchange.Exchange`.
            found: The `pimentowick.gateway.route.Route`.
            call: The `message.RequestHeaders` of its headers.
            caller: The `pimentowick.gateway.workspace.Workspace`, or None without one.
        """
        owner = None if caller is None else caller.name
        job_id = workspace.scope_job_id(owner, call.request_id)
        if job_id not in self._storage.book.jobs and self._is_cut_off():
            await self._refuse_cut_off(exchange, job_id)
            return
        try:
            items, bodies = message.decode_submission(exchange.body)
        except exception.ValidationError as error:
            _note("batch.refused", job_id, "invalid", why=str(error))
            await exchange.refuse(verdict.Refusal(400, "bad_request", str(error)))
            return
        tokens = sum(item.tokens for item in items)
        try:
            await self._accept(exchange, found, job_id, owner, items, bodies)
        except exception.RefusedError as error:
            _note("batch.refused", job_id, error.refusal.code, tokens=tokens)
            await exchange.refuse(error.refusal)
            return
        except ledger.UnsettledError:
            _note("batch.unsettled", job_id, "no_answer_from_store", tokens=tokens)
            await exchange.refuse(_make_unsettled())
            return
        except exception.LogError as error:
            _note("batch.refused", job_id, "store_away", why=str(error))
            await exchange.refuse(_make_unsure())
            return
        _note("batch.accepted", job_id, "accepted", items=len(items), tokens=tokens)
        await exchange.answer(202, httputil.HTTPHeaders())

    async def _accept(self, exchange, found, job_id, owner, items, bodies):
        """Record a job, its bodies first.

        Raises:
            RefusedError: It doesn't fit.
            LogError: It is not known to be recorded.
        """
        ends_at = time.monotonic() + SUBMIT_TIMEOUT_S
        storage = self._storage
        # What waits counts for the quota.
        await storage.load(SUBMIT_TIMEOUT_S)
        if job_id in storage.book.jobs:
            return
        tokens = sum(item.tokens for item in items)
        self._check_room(found, exchange.host, owner, tokens)
        writer = uuid.uuid4().hex
        named = {record.name_body(n, writer): body for n, body in enumerate(bodies)}
        references = await storage.contents.put(
            job_id, named, ends_at - time.monotonic()
        )
        for name, item in zip(named, items, strict=True):
            item.body = references[name]
        made = record.make_job(
            job_id, exchange.host, exchange.path, time.time(), items, owner
        )

        def build(view):
            if job_id in view.jobs:
                return []
            self._check_room(found, exchange.host, owner, tokens)
            return [made]

        try:
            await storage.accepted.commit(
                build, ends_at - time.monotonic(), limited=True
            )
        except (exception.RefusedError, ledger.NotWrittenError):
            await self._drop_bodies(job_id, references.values())
            raise

    async def _drop_bodies(self, job_id, references):
        """Drop the bodies of a job that was refused after they were written."""
        if job_id in self._storage.book.jobs:
            return
        try:
            await self._storage.contents.drop(job_id, references)
        except exception.LogError as error:
            decision.note_request("batch.bodies_kept", job_id, why=str(error))

    async def _refuse_cut_off(self, exchange, job_id):
        """Send a caller on to an entry that reaches the store, before its time is up.

        Held until this entry has tried, a job would be accepted seconds later than at
        another one. While the store is away for all it is held: no other can take it.
        """
        _note("batch.refused", job_id, "cut_off")
        await exchange.refuse(_make_unsure(ELSEWHERE_S))

    def _check_room(self, found, host, owner, tokens):
        """Refuse a job whose tokens do not fit beside those that wait."""
        if not found.max_waiting_tokens:
            return
        waiting = self._storage.book.count_waiting_tokens(
            found.path_prefix, host, owner
        )
        if waiting + tokens > found.max_waiting_tokens:
            refusal = verdict.Refusal(
                429,
                "quota",
                f"{waiting} tokens wait on this route.",
                retry_after=FULL_RETRY_S,
            )
            raise exception.RefusedError(refusal)

    async def read_results(self, exchange, job_id, call):
        """Answer with results from a position on."""
        after = _read_position(exchange.query.get("after", "0"))
        ends_at = time.monotonic() + min(call.wait_s, LONGEST_WAIT_S)
        while True:
            found = await self._find(job_id, exchange.host, after)
            left_s = ends_at - time.monotonic()
            if len(found.results) > after or not found.is_open or left_s <= 0:
                break
            await self._storage.outcomes.feed.wait_changed(left_s)
        rows = _take_rows(found.list_results(after))
        texts = await self._read_contents(
            job_id, [row.text for row in rows if row.text is not None]
        )
        listed = [
            message.ListedResult(
                row.id,
                row.done,
                "" if row.text is None else texts[row.text.name].decode(),
            )
            for row in rows
        ]
        await exchange.answer_json(
            message.encode_results(len(found.items), after, listed)
        )

    async def _read_contents(self, job_id, references):
        """Return contents of a job, bytes by name.

        Raises:
            RefusedError: They can't be read now.
        """
        contents = self._storage.contents
        if self._is_cut_off() and not contents.has(job_id, references):
            _note("batch.unsure", job_id, "cut_off", contents=len(references))
            raise exception.RefusedError(_make_unsure(ELSEWHERE_S))
        try:
            return await contents.read(job_id, references)
        except exception.LogError as error:
            _note("batch.unsure", job_id, "contents_away", why=str(error))
            raise exception.RefusedError(_make_unsure()) from error

    async def read_body(self, exchange, job_id):
        """Answer with the body of an item that is not listed."""
        found = await self._find(job_id, exchange.host)
        wanted = exchange.query.get("id", "")
        for number, item in enumerate(found.items):
            if item.id == wanted and not found.outcome.is_listed(number):
                named = await self._read_contents(job_id, [item.body])
                headers = httputil.HTTPHeaders(
                    {"Content-Type": "application/octet-stream"}
                )
                await exchange.answer(200, headers, named[item.body.name])
                return
        raise _refuse_unknown()

    async def end(self, exchange, job_id):
        """End a job."""
        if self._is_cut_off():
            await self._refuse_cut_off(exchange, job_id)
            return
        await self._find(job_id, exchange.host)

        def build():
            found = self._storage.book.jobs.get(job_id)
            if found is None or found.ended:
                return []
            return [record.make_end(job_id)]

        try:
            await self._storage.outcomes.put(build, END_TIMEOUT_S)
        except exception.LogError as error:
            _note("batch.end_failed", job_id, "store_away", why=str(error))
            await exchange.refuse(_make_unsettled())
            return
        _note("batch.ended", job_id, "ended")
        await exchange.answer_json({})

    async def _find(self, job_id, host, after=None):
        """Return a job; what is missing here is looked for in the store first.

        Raises:
            RefusedError: There is no such job, or that is not sure.
        """
        storage = self._storage
        found = storage.book.jobs.get(job_id)
        known = found is not None and storage.is_loaded
        known = known and (after is None or len(found.results) > after)
        is_fresh = storage.get_age() < FRESH_S
        if not known and not (found is not None and is_fresh):
            if self._is_cut_off():
                _note("batch.unsure", job_id, "cut_off", age_s=storage.get_age())
                raise exception.RefusedError(_make_unsure(ELSEWHERE_S))
            try:
                await storage.refresh()
            except exception.LogError as error:
                _note("batch.unsure", job_id, "store_away", why=str(error))
                raise exception.RefusedError(_make_unsure()) from error
            found = storage.book.jobs.get(job_id)
        if found is None or found.host != host:
            _note("batch.unknown", job_id, "not_found", age_s=storage.get_age())
            raise _refuse_unknown()
        return found


def _take_rows(results):
    """Return as many results as one answer holds, one at least."""
    rows = []
    size = 0
    for entry in results:
        size += 0 if entry.text is None else entry.text.size
        if rows and size > READ_BYTES:
            break
        rows.append(entry)
    return rows


def _read_position(text):
    try:
        return max(0, int(text))
    except ValueError:
        raise exception.RefusedError(
            verdict.Refusal(400, "bad_request", "The position is no number.")
        ) from None


def _refuse_unknown():
    return exception.RefusedError(
        verdict.Refusal(404, "unknown_job", "There is no such job or item.")
    )


def _make_unsure(retry_after=RETRY_S):
    return verdict.Refusal(
        503,
        "log_unavailable",
        "The store does not answer. Come again.",
        retry_after=retry_after,
    )


def _make_unsettled():
    return verdict.Refusal(
        504,
        "unsettled",
        "The store has not answered; the change may take effect. Come again.",
        verdict.Verdict.MAY_HAVE_RUN,
        RETRY_S,
    )


def _note(name, job_id, outcome, **fields):
    decision.note_request(name, job_id, outcome=outcome, **fields)
