"""Batch jobs: submit, look, read results, cancel."""

import asyncio
import time

import orjson
from loguru import logger

from pimentowick import exception, verdict
from pimentowick import web as http_web
from pimentowick.batch import intake
from pimentowick.batch import record as batch_record
from pimentowick.batch import shard as batch_shard
from pimentowick.entry import handler

__all__ = ["CancelHandler", "JobHandler", "JobsHandler", "ResultsHandler"]

STOP_TIMEOUT_S = 2.0
# Beside lease and freshness: what the clocks of two processes may differ in rate.
STOP_MARGIN_S = 0.5
FRESH_S = 2.0
RESULT_PAGE = 50


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
            raise http_web.refuse_input(
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
            job = shard.ledger.jobs[job_id]
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
        except exception.LogFullError as error:
            raise _refuse_log(error, verdict.Verdict.NOT_RUN) from error
        except exception.LogError as error:
            raise _refuse_log(error, verdict.Verdict.MAY_HAVE_RUN) from error

    def _read_deadline(self):
        text = self.request.headers.get("X-Deadline")
        if text is None:
            return None
        try:
            deadline = float(text)
        except ValueError as error:
            raise http_web.refuse_input("X-Deadline must be epoch seconds.") from error
        if deadline <= time.time():
            raise http_web.refuse_input("X-Deadline has passed.", "deadline_passed")
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
        offsets = sorted({shard.ledger.results[ref] for ref in wanted})
        try:
            for offset in offsets:
                await self._write_results(shard, job, offset)
        except exception.LogError as error:
            if self._headers_written:
                # Cut off, so that the caller sees that lines are missing.
                logger.warning("results: {} broke off. {}", job.id, error)
                self.request.connection.close()
                return
            raise _refuse_log(error, verdict.Verdict.NOT_RUN) from error
        self.finish()

    async def _write_results(self, shard, job, offset):
        page = await shard.replica.log.read(shard.stream, offset, limit=1)
        if not page.records or page.records[0][0] != offset:
            raise exception.LogTruncatedError("Results have passed out of retention.")
        record = page.records[0][1]
        for job_id, item, _, body in record["results"]:
            if job_id == job.id and job.refs[item] == record["id"]:
                self.write(orjson.dumps(body) + b"\n")
        await self.flush()


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
        await self._wait_until_stopped(shard, job)

    async def _wait_until_stopped(self, shard, job):
        """Return once the owner has stopped, or can't dispatch any more."""
        if await self._ask_owner(shard, job):
            return
        leases = [peer.report.get("lease_s", 0.0) for peer in self._list_peers()]
        # An owner that does not answer knew the log FRESH_S ago at the latest when
        # it renewed its leases for the last time; then they lapse.
        await asyncio.sleep(FRESH_S + max(leases, default=0.0) + STOP_MARGIN_S)

    def _list_peers(self):
        return self.entry.fleet.peers.values()

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
