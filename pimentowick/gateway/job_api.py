"""HTTP interface of batch jobs: submit, read, cancel."""

import asyncio
import time
import uuid

from tornado import httputil

from pimentowick import exception, verdict
from pimentowick.gateway import (
    content,
    decision_log,
    ledger,
    record,
    route,
    workspace,
)
from pimentowick.platform import message, store

__all__ = ["JobApi"]

# Callers time out soon after this and retry.
SUBMIT_TIMEOUT_S = 3.0
CANCEL_TIMEOUT_S = 3.5
# Older state may lack changes that another entry has acknowledged to a caller.
MAX_STALENESS_S = 0.6
MAX_LONG_POLL_S = 1.0
MAX_RESULTS_BYTES = 900_000
RETRY_AFTER_S = 0.3
# A retry is likely to reach another entry, which can serve it at once.
OTHER_ENTRY_RETRY_AFTER_S = 0.02
QUOTA_RETRY_AFTER_S = 1.0


class JobApi:
    """Handles the requests of callers about batch jobs.

    Args:
        storage: `pimentowick.gateway.job_storage.JobStorage`.
        is_cut_off: Function that tells whether this entry alone has lost the store.
        graceful_stop: `pimentowick.gateway.policy.graceful_stop.GracefulStop`.
    """

    def __init__(self, storage, is_cut_off, graceful_stop):
        self._graceful_stop = graceful_stop
        self._storage = storage
        self._is_cut_off = is_cut_off
        self._reading_jobs = asyncio.Lock()

    async def submit(self, exchange, route, call, caller_workspace):
        """Accept or refuse a job.

        Args:
            exchange: The `pimentowick.gateway.exchange.Exchange`.
            route: The `pimentowick.gateway.route.Route`.
            call: The `message.RequestHeaders` decoded from the headers.
            caller_workspace: The `pimentowick.gateway.workspace.Workspace`, or None
                without one.
        """
        workspace_name = None if caller_workspace is None else caller_workspace.name
        job_id = workspace.scope_job_id(workspace_name, call.request_id)
        if call.request_id and job_id in self._storage.job_table.jobs:
            # What is accepted stays so, whatever would be accepted now.
            await self._confirm(exchange, job_id)
            return
        if not call.request_id or len(job_id.encode()) > record.MAX_JOB_ID_BYTES:
            _log_decision("batch.refused", job_id, "bad_identifier")
            await exchange.refuse(_make_bad_identifier())
            return
        if self._is_cut_off():
            await self._refuse_cut_off(exchange, job_id)
            return
        try:
            items, bodies = message.decode_submission(exchange.body)
        except exception.ValidationError as error:
            _log_decision("batch.refused", job_id, "invalid", why=str(error))
            await exchange.refuse(verdict.Refusal(400, "bad_request", str(error)))
            return
        tokens = sum(item.tokens for item in items)
        try:
            await self._accept(
                route, exchange.path, job_id, workspace_name, items, bodies
            )
        except exception.RefusedError as error:
            _log_decision("batch.refused", job_id, error.refusal.code, tokens=tokens)
            await exchange.refuse(error.refusal)
            return
        except ledger.InDoubtError:
            _log_decision(
                "batch.unsettled", job_id, "no_answer_from_store", tokens=tokens
            )
            await exchange.refuse(_make_in_doubt())
            return
        except exception.LogError as error:
            _log_decision("batch.refused", job_id, "store_away", why=str(error))
            await exchange.refuse(_make_unavailable())
            return
        _log_decision(
            "batch.accepted", job_id, "accepted", items=len(items), tokens=tokens
        )
        await exchange.answer(202, httputil.HTTPHeaders())

    async def confirm(self, exchange, job_id):
        """Accept a job again if it is known; return whether it is."""
        job = self._storage.job_table.jobs.get(job_id)
        if job is None or not route.is_same_host(job.host, exchange.host):
            return False
        await self._confirm(exchange, job_id)
        return True

    async def _confirm(self, exchange, job_id):
        """Answer a repeated submission of a job that this entry knows."""
        job = self._storage.job_table.jobs[job_id]
        _log_decision("batch.accepted", job_id, "repeated", items=len(job.items))
        await exchange.answer(202, httputil.HTTPHeaders())

    async def _accept(self, route, path, job_id, workspace_name, items, bodies):
        """Record a job unless it is already accepted.

        Raises:
            RefusedError: The job exceeds the quota or the size of a record, and no
                entry has accepted it.
            LogError: The job may not be recorded.
        """
        began_at = time.monotonic()
        deadline = began_at + SUBMIT_TIMEOUT_S
        try:
            await self._record(
                route, path, job_id, workspace_name, items, bodies, deadline
            )
        except exception.RefusedError:
            # Another entry may have accepted it, which the local state lacks.
            if not await self._is_accepted(job_id, began_at):
                raise

    async def _is_accepted(self, job_id, began_at):
        """Return whether any entry had accepted a job when this submission began.

        Raises:
            LogError: The store did not answer before the timeout.
        """
        jobs_feed = self._storage.accepted.feed
        try:
            async with asyncio.timeout(began_at + SUBMIT_TIMEOUT_S - time.monotonic()):
                # Concurrent submissions share a read.
                async with self._reading_jobs:
                    if jobs_feed.fresh_at < began_at:
                        await jobs_feed.refresh()
        except TimeoutError:
            raise exception.LogError(
                "The accepted jobs were not read before the timeout."
            ) from None
        return job_id in self._storage.job_table.jobs

    async def _record(
        self, route, path, job_id, workspace_name, items, bodies, deadline
    ):
        """Write the bodies of a job, then its record.

        Raises:
            RefusedError: The job exceeds the quota, by the local state, or the size of
                a record.
            LogError: The job may not be recorded.
        """
        storage = self._storage
        # The quota check needs the unfinished items of all jobs.
        await storage.load(SUBMIT_TIMEOUT_S)
        if job_id in storage.job_table.jobs:
            return
        tokens = sum(item.tokens for item in items)
        self._check_quota(route, workspace_name, tokens)
        writer = uuid.uuid4().hex
        contents_by_name = {
            record.name_body(n, writer): body for n, body in enumerate(bodies)
        }

        def make_record(references):
            for name, item in zip(contents_by_name, items, strict=True):
                item.body = references[name]
            return record.make_job(
                job_id, route.host, path, time.time(), items, workspace_name
            )

        estimated = storage.contents.estimate_references(contents_by_name)
        self._check_record_size(make_record(estimated))
        references = await storage.contents.put(
            job_id, contents_by_name, deadline - time.monotonic()
        )
        job_record = make_record(references)

        def build(job_table):
            if job_id in job_table.jobs:
                return []
            self._check_quota(route, workspace_name, tokens)
            return [job_record]

        try:
            await storage.accepted.commit(
                build, deadline - time.monotonic(), exclusive=True
            )
        except (exception.RefusedError, ledger.NotCommittedError):
            await self._delete_bodies(job_id, references.values())
            raise

    async def _delete_bodies(self, job_id, references):
        """Delete the bodies of a job that was refused after they were written."""
        if job_id in self._storage.job_table.jobs:
            return
        try:
            await self._storage.contents.delete(job_id, references)
        except exception.LogError as error:
            decision_log.log_request_event("batch.bodies_kept", job_id, why=str(error))

    async def _refuse_cut_off(self, exchange, job_id):
        """Refuse a call at once, so that the caller retries at another entry.

        Only an entry that alone has lost the store does this. In an outage that affects
        all entries, calls are held, since no other entry could serve them.
        """
        _log_decision("batch.refused", job_id, "cut_off")
        await exchange.refuse(_make_unavailable(OTHER_ENTRY_RETRY_AFTER_S))

    def _check_record_size(self, job_record):
        """Raise `RefusedError` if the store takes no record as large as that of a job.

        The paths and headers of all items stand in it.
        """
        size = store.measure_record(job_record)
        limit = self._storage.max_record_bytes
        if size > limit:
            why = f"The paths and headers take {size} bytes of at most {limit}."
            raise exception.RefusedError(verdict.Refusal(413, "too_large", why))

    def _check_quota(self, route, workspace_name, tokens):
        """Raise `RefusedError` if a job exceeds the token quota of its route."""
        if not route.max_waiting_tokens:
            return
        waiting = self._storage.job_table.count_waiting_tokens(
            route.path_prefix, route.host, workspace_name
        )
        if waiting + tokens > route.max_waiting_tokens:
            refusal = verdict.Refusal(
                429,
                "quota",
                f"{waiting} tokens wait on this route.",
                retry_after=QUOTA_RETRY_AFTER_S,
            )
            raise exception.RefusedError(refusal)

    async def read_results(self, exchange, job_id, call):
        """Answer with the results from a position on, with long polling."""
        after = _read_position(exchange.query.get("after", "0"))
        began_at = time.monotonic()
        wait_s = min(call.wait_s, MAX_LONG_POLL_S)
        deadline = began_at + self._graceful_stop.limit_wait(wait_s, began_at)
        while True:
            job = await self._find(job_id, exchange.host, after)
            remaining_s = deadline - time.monotonic()
            if len(job.results) > after or not job.is_open or remaining_s <= 0:
                break
            await self._storage.outcomes.feed.wait_for_change(remaining_s)
        rows = _select_page(job.list_results(after))
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
            message.encode_results(len(job.items), after, _limit_page(listed))
        )

    async def _read_contents(self, job_id, references):
        """Return contents of a job, bytes by name.

        Raises:
            RefusedError: The store cannot be read.
        """
        contents = self._storage.contents
        if self._is_cut_off() and not contents.has_cached(job_id, references):
            _log_decision("batch.unsure", job_id, "cut_off", contents=len(references))
            raise exception.RefusedError(_make_unavailable(OTHER_ENTRY_RETRY_AFTER_S))
        try:
            return await contents.read(job_id, references)
        except exception.LogError as error:
            is_missing = isinstance(error, content.MissingError)
            outcome = "contents_missing" if is_missing else "contents_away"
            _log_decision("batch.unsure", job_id, outcome, why=str(error))
            raise exception.RefusedError(_make_unavailable()) from error

    async def read_body(self, exchange, job_id):
        """Answer with the body of an item that has no result yet."""
        job = await self._find(job_id, exchange.host)
        item_id = exchange.query.get("id", "")
        outcome = "unknown_item"
        for number, item in enumerate(job.items):
            if item.id == item_id and job.outcome.has_result(number):
                outcome = "item_has_result"
            elif item.id == item_id:
                contents_by_name = await self._read_contents(job_id, [item.body])
                headers = httputil.HTTPHeaders(
                    {"Content-Type": "application/octet-stream"}
                )
                await exchange.answer(200, headers, contents_by_name[item.body.name])
                return
        _log_decision("batch.body_unknown", job_id, outcome, item=item_id)
        raise _make_unknown_error()

    async def cancel(self, exchange, job_id):
        """Cancel a job."""
        if self._is_cut_off():
            await self._refuse_cut_off(exchange, job_id)
            return
        await self._find(job_id, exchange.host)

        def build():
            job = self._storage.job_table.jobs.get(job_id)
            if job is None or job.is_cancelled:
                return []
            return [record.make_cancellation(job_id)]

        try:
            await self._storage.outcomes.put(build, CANCEL_TIMEOUT_S)
        except exception.LogError as error:
            _log_decision("batch.end_failed", job_id, "store_away", why=str(error))
            await exchange.refuse(_make_in_doubt())
            return
        _log_decision("batch.ended", job_id, "ended")
        await exchange.answer_json({})

    async def _find(self, job_id, host, after=None):
        """Return a job; refresh from the store first if the local state may be stale.

        Raises:
            RefusedError: The job does not exist, or the store cannot be read.
        """
        storage = self._storage
        job = storage.job_table.jobs.get(job_id)
        is_current = job is not None and storage.is_loaded
        is_current = is_current and (after is None or len(job.results) > after)
        is_fresh = storage.get_staleness_s() < MAX_STALENESS_S
        if not is_current and not (job is not None and is_fresh):
            if self._is_cut_off():
                _log_decision(
                    "batch.unsure", job_id, "cut_off", age_s=storage.get_staleness_s()
                )
                raise exception.RefusedError(
                    _make_unavailable(OTHER_ENTRY_RETRY_AFTER_S)
                )
            try:
                await storage.refresh()
            except exception.LogError as error:
                _log_decision("batch.unsure", job_id, "store_away", why=str(error))
                raise exception.RefusedError(_make_unavailable()) from error
            job = storage.job_table.jobs.get(job_id)
        if job is None or not route.is_same_host(job.host, host):
            _log_decision(
                "batch.unknown", job_id, "not_found", age_s=storage.get_staleness_s()
            )
            raise _make_unknown_error()
        return job


def _select_page(results):
    """Return the results that fit into one response, at least one."""
    rows = []
    size = 0
    for result in results:
        size += 0 if result.text is None else result.text.size
        if rows and size > MAX_RESULTS_BYTES:
            break
        rows.append(result)
    return rows


def _limit_page(listed):
    """Return the listed results whose encoded texts fit, at least one."""
    size = 0
    for count, result in enumerate(listed):
        size += message.measure_text(result.text)
        if count and size > MAX_RESULTS_BYTES:
            return listed[:count]
    return listed


def _read_position(text):
    try:
        return max(0, int(text))
    except ValueError:
        raise exception.RefusedError(
            verdict.Refusal(400, "bad_request", "The position is no number.")
        ) from None


def _make_unknown_error():
    return exception.RefusedError(
        verdict.Refusal(404, "unknown_job", "There is no such job or item.")
    )


def _make_bad_identifier():
    return verdict.Refusal(
        400, "bad_identifier", "The job has no identifier, or one that is too long."
    )


def _make_unavailable(retry_after=RETRY_AFTER_S):
    return verdict.Refusal(
        503,
        "log_unavailable",
        "The store does not answer. Come again.",
        retry_after=retry_after,
    )


def _make_in_doubt():
    return verdict.Refusal(
        504,
        "unsettled",
        "The store has not answered; the change may take effect. Come again.",
        verdict.Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_S,
    )


def _log_decision(name, job_id, outcome, **fields):
    decision_log.log_request_event(name, job_id, outcome=outcome, **fields)
