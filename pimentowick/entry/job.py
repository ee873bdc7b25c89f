"""Batch jobs: submit, look, read results, cancel."""

import asyncio
import time

import orjson
from loguru import logger

from pimentowick import exception, verdict
from pimentowick import web as http_web
from pimentowick.batch import dispatch, intake
from pimentowick.batch import record as batch_record
from pimentowick.batch import shard as batch_shard
from pimentowick.entry import handler
from pimentowick.membership import fleet as membership_fleet

__all__ = [
    "CancelHandler",
    "JobHandler",
    "JobsHandler",
    "ResultsHandler",
    "StopHandler",
    "describe_job",
]

STOP_TIMEOUT_S = 2.0
# Beside lease and freshness: what the clocks of two processes may differ in rate.
STOP_MARGIN_S = 0.5


class _ShardHandler(handler.CallerHandler):
    """Finds the shard and the job that a request is about."""

    async def find_shard(self, job_id):
        """Return the shard of a job; None if the request was forwarded."""
        shard = self.entry.table.find(job_id)
        if shard is not None and shard.replica.ready:
            return shard
        number = batch_shard.find_shard(job_id, self.entry.settings.shards)
        await handler.forward(self, number)
        return None

    def get_job(self, shard, job_id):
        """Return the job of the caller's workspace.

        Raises:
            RefusedError: There is none; whether another workspace has one of that
                id is not told.
        """
        job = shard.ledger.jobs.get(job_id)
        if job is None or job.workspace != self.workspace.name:
            raise exception.RefusedError(
                verdict.Refusal(404, "unknown_job", "This workspace has no such job.")
            )
        return job


class JobsHandler(_ShardHandler):
    """``POST /v1/batches``: submit a job."""

    async def post(self):
        """Take a job in, and answer once it is safe in the log."""
        key = self.request.headers.get("Idempotency-Key")
        if not key:
            raise http_web.make_input_error(
                "Send an Idempotency-Key, so that a resend is not a second job.",
                "key_missing",
            )
        job_id = batch_record.make_job_id(self.workspace.name, key)
        shard = await self.find_shard(job_id)
        if shard is None:
            return
        deadline = self._read_deadline()
        submission = await intake.parse_items(self.request.body, self.workspace)
        job = shard.ledger.jobs.get(job_id)
        if job is None:
            self._check_open_jobs()
            await self._append(shard, job_id, key, submission, deadline)
            job = self._get_accepted(shard, job_id)
        if job.digest != submission.digest:
            raise exception.RefusedError(
                verdict.Refusal(
                    409,
                    "key_conflict",
                    "Another job was submitted under this Idempotency-Key.",
                )
            )
        self.write_json(describe_job(job), 202)

    async def _append(self, shard, job_id, key, submission, deadline):
        try:
            await intake.append_submission(
                shard,
                job_id,
                submission,
                self.entry.settings,
                workspace=self.workspace.name,
                key=key,
                deadline=deadline,
                at=time.time(),
            )
        except exception.LogThrottledError as error:
            raise _refuse_log(error, verdict.Verdict.NOT_RUN) from error
        except exception.LogError as error:
            raise _refuse_log(error, verdict.Verdict.MAY_HAVE_RUN) from error

    def _get_accepted(self, shard, job_id):
        # The ledger forgets the oldest submissions without a job. One that was so
        # slow that it lost its chunks has no effect, which the caller has to know.
        job = shard.ledger.jobs.get(job_id)
        if job is None:
            error = exception.LogUnavailableError("The submission was dropped.")
            raise _refuse_log(error, verdict.Verdict.NOT_RUN)
        return job

    def _read_deadline(self):
        text = self.request.headers.get("X-Deadline")
        if text is None:
            return None
        try:
            deadline = float(text)
        except ValueError as error:
            raise http_web.make_input_error(
                "X-Deadline must be epoch seconds."
            ) from error
        if deadline <= time.time():
            raise http_web.make_input_error("X-Deadline has passed.", "deadline_passed")
        return deadline

    def _check_open_jobs(self):
        count = sum(
            job.workspace == self.workspace.name
            for shard in self.entry.table.followed.values()
            for job in shard.ledger.list_open_jobs()
        )
        if count >= self.workspace.max_jobs_open:
            raise exception.RefusedError(
                verdict.Refusal(
                    429,
                    "too_many_jobs",
                    f"This workspace has {count} open jobs. Wait for one to end.",
                    retry_after=60.0,
                )
            )


def _refuse_log(error, found):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "log_unavailable",
            f"{error} Send the same request again.",
            found,
            retry_after=2.0,
        )
    )


class JobHandler(_ShardHandler):
    """``GET /v1/batches/{id}``: how a job is."""

    async def get(self, job_id):
        """Answer with the job's state and counts."""
        shard = await self.find_shard(job_id)
        if shard is not None:
            self.write_json(describe_job(self.get_job(shard, job_id)))


def describe_job(job):
    """Return what callers are told about a job."""
    late = job.deadline is not None and time.time() > job.deadline
    return {
        "id": job.id,
        "object": "batch",
        "status": {"open": "in_progress", "done": "completed"}.get(
            job.state, job.state
        ),
        "model": job.model,
        "submitted_at": job.at,
        "deadline": job.deadline,
        "late": late and job.state == "open",
        "request_counts": {
            "total": job.items,
            "completed": job.succeeded,
            "failed": job.failed,
            "pending": job.pending,
        },
    }


class ResultsHandler(_ShardHandler):
    """``GET /v1/batches/{id}/results``: the results so far, as JSON lines."""

    async def get(self, job_id):
        """Answer with a line for each item that has ended."""
        shard = await self.find_shard(job_id)
        if shard is None:
            return
        job = self.get_job(shard, job_id)
        self.set_header("Content-Type", "application/jsonl")
        wanted = {ref for ref in job.refs if ref is not None}
        try:
            for ref in sorted(wanted, key=shard.ledger.results.get):
                await self._write_results(shard, job, ref)
        except exception.LogError as error:
            if self._headers_written:
                # Cut off, so that the caller sees that lines are missing.
                logger.warning("results: {} broke off. {}", job.id, error)
                self.request.connection.close()
                return
            raise _refuse_log(error, verdict.Verdict.NOT_RUN) from error
        self.finish()

    async def _write_results(self, shard, job, ref):
        record = await self._read_record(shard, ref)
        if record is None:
            self._write_lost(job, ref)
            return
        written = set()
        for job_id, item, _, body in record["results"]:
            if job_id != job.id or job.refs[item] != ref:
                continue
            # The first one counts, also within a record.
            if item not in written:
                written.add(item)
                self.write(orjson.dumps(body) + b"\n")
        await self.flush()

    async def _read_record(self, shard, ref):
        """Return the record with some results, or None if the log dropped it."""
        offset = None
        while offset != shard.ledger.results[ref]:
            # It may be appended again further on while this reads.
            offset = shard.ledger.results[ref]
            page = await shard.read_one(offset)
            if page.records and page.records[0][0] == offset:
                return page.records[0][1]
        if page.first <= offset:
            raise exception.LogUnavailableError("The log gave no results.")
        return None

    def _write_lost(self, job, ref):
        # The other results are still good; a caller has to know which ones are not.
        logger.error("results: Results of {} are gone from the log.", job.id)
        refusal = verdict.Refusal(
            410,
            "result_lost",
            "The result passed out of the log's retention.",
            verdict.Verdict.RAN,
        )
        error = refusal.to_dict()["error"]
        for item, each in enumerate(job.refs):
            if each == ref:
                line = {
                    "custom_id": None,
                    "item": item,
                    "response": None,
                    "error": error,
                }
                self.write(orjson.dumps(line) + b"\n")


class CancelHandler(_ShardHandler):
    """``POST /v1/batches/{id}/cancel``: stop a job."""

    async def post(self, job_id):
        """Cancel, and answer once no item can start or complete any more."""
        shard = await self.find_shard(job_id)
        if shard is None:
            return
        job = self.get_job(shard, job_id)
        if job.state == "open":
            await self._cancel(shard, job)
            job = self.get_job(shard, job_id)
        if job.state == "cancelled":
            # Also when another request cancelled it: that one may still wait for
            # the owner, or may have failed while it did.
            await self._wait_until_stopped(shard, job)
        self.write_json(describe_job(job))

    async def _cancel(self, shard, job):
        cancelled = batch_record.make_cancelled(
            job.id, self.get_caller(), time.time(), self.get_client()
        )
        try:
            await shard.replica.append([cancelled], self.entry.settings.append_s)
        except exception.LogError as error:
            # Agents are not told before: they would refuse the items of a job that
            # stays open if the record never comes into the log.
            raise _refuse_log(error, verdict.Verdict.MAY_HAVE_RUN) from error

    async def _wait_until_stopped(self, shard, job):
        """Return once the owner has stopped, or can't dispatch any more."""
        if await self._ask_owner(shard, job):
            return
        await self._order_agents(job)
        # An owner that does not answer has either read the cancellation or can't
        # renew a lease later than FRESH_S after it. The last heartbeat may be on
        # its way for as long as it may take; then the lease lapses.
        renewed_s = dispatch.FRESH_S + membership_fleet.HEARTBEAT_TIMEOUT_S
        await asyncio.sleep(renewed_s + self._get_longest_lease() + STOP_MARGIN_S)

    async def _order_agents(self, job):
        # The owner in force may not be the one whose items still run. Agents that
        # take the order refuse the job whoever sends it.
        try:
            await self.entry.stop_job(job.id)
        except exception.UnavailableError as error:
            logger.warning("cancel: {} is not stopped everywhere. {}", job.id, error)

    def _get_longest_lease(self):
        leases = [
            peer.report.get("lease_s") for peer in self.entry.fleet.peers.values()
        ]
        known = [lease for lease in leases if lease is not None]
        if leases and not known:
            # An entry that just started: how long leases hold is not known.
            error = exception.LogUnavailableError("No agent is known yet.")
            raise _refuse_log(error, verdict.Verdict.MAY_HAVE_RUN)
        return max(known, default=0.0)

    async def _ask_owner(self, shard, job):
        owner = shard.ledger.owner
        if owner is None or owner == self.entry.owner:
            try:
                await self.entry.stop_job(job.id)
            except exception.UnavailableError:
                return False
            return True
        host = self.entry.fleet.entries.get(owner.partition("#")[0])
        if host is None:
            return False
        try:
            answer = await self.entry.client.fetch(
                "POST",
                host.address,
                "/peer/stop-job",
                {"job": job.id, "owner": owner},
                timeout_s=STOP_TIMEOUT_S,
                new_connection=True,
            )
        except exception.UnavailableError:
            return False
        return answer.status == 200


class StopHandler(handler.PeerHandler):
    """``POST /peer/stop-job``: another entry cancelled a job that runs here."""

    async def post(self):
        """Answer 200 once this process has stopped the job and knows why."""
        data = self.read_json()
        shard = self.entry.table.find(data["job"])
        if shard is None or data["owner"] != self.entry.owner:
            self.write_json({"stopped": False}, 409)
            return
        try:
            # Its copy may be behind: without the cancellation in it, the next turn
            # of the dispatcher would take the job up again.
            await shard.replica.catch_up(STOP_TIMEOUT_S / 2)
            await self.entry.stop_job(data["job"])
        except (exception.LogError, exception.UnavailableError):
            self.write_json({"stopped": False}, 503)
            return
        self.write_json({"stopped": True})
