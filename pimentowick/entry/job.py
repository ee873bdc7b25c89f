"""HTTP handlers that submit, read and cancel batch jobs."""

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
# Allowance for clock drift between two processes.
CLOCK_MARGIN_S = 0.5


class _ShardHandler(handler.CallerHandler):
    """Base of the handlers of one job; finds its shard."""

    async def find_shard(self, job_id):
        """Return the shard of a job, or None after forwarding the request."""
        shard = self.entry.table.find(job_id)
        if shard is not None and shard.replica.ready:
            return shard
        number = batch_shard.find_shard(job_id, self.entry.settings.shards)
        await handler.forward(self, number)
        return None

    def get_job(self, shard, job_id):
        """Return a job of the caller's workspace.

        Raises:
            RefusedError: The job does not exist or belongs to another workspace; the
                response is the same in both cases.
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
        """Accept a job; respond once it is durable in the log."""
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
            await self._append_submission(shard, job_id, key, submission, deadline)
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

    async def _append_submission(self, shard, job_id, key, submission, deadline):
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
            raise _make_log_refusal(error, verdict.Verdict.NOT_RUN) from error
        except exception.LogError as error:
            raise _make_log_refusal(error, verdict.Verdict.MAY_HAVE_RUN) from error

    def _get_accepted(self, shard, job_id):
        # The ledger evicts the oldest incomplete submissions. If the chunks of a slow
        # submission were evicted, the job does not exist and the caller must resubmit.
        job = shard.ledger.jobs.get(job_id)
        if job is None:
            error = exception.LogUnavailableError("The submission was dropped.")
            raise _make_log_refusal(error, verdict.Verdict.NOT_RUN)
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


def _make_log_refusal(error, outcome):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "log_unavailable",
            f"{error} Send the same request again.",
            outcome,
            retry_after=2.0,
        )
    )


class JobHandler(_ShardHandler):
    """``GET /v1/batches/{id}``: the status of a job."""

    async def get(self, job_id):
        """Respond with the job's status and request counts."""
        shard = await self.find_shard(job_id)
        if shard is not None:
            self.write_json(describe_job(self.get_job(shard, job_id)))


def describe_job(job):
    """Return the representation of a job in responses."""
    is_late = job.deadline is not None and time.time() > job.deadline
    return {
        "id": job.id,
        "object": "batch",
        "status": {"open": "in_progress", "done": "completed"}.get(
            job.state, job.state
        ),
        "model": job.model,
        "submitted_at": job.at,
        "deadline": job.deadline,
        "late": is_late and job.state == "open",
        "request_counts": {
            "total": job.items,
            "completed": job.succeeded,
            "failed": job.failed,
            "pending": job.pending,
        },
    }


class ResultsHandler(_ShardHandler):
    """``GET /v1/batches/{id}/results``: the available results as JSON lines."""

    async def get(self, job_id):
        """Respond with one line for each finished item."""
        shard = await self.find_shard(job_id)
        if shard is None:
            return
        job = self.get_job(shard, job_id)
        self.set_header("Content-Type", "application/jsonl")
        refs = {ref for ref in job.refs if ref is not None}
        try:
            for ref in sorted(refs, key=shard.ledger.results.get):
                await self._write_results(shard, job, ref)
        except exception.LogError as error:
            if self._headers_written:
                # Closing the connection tells the caller that the response is cut off.
                logger.warning(
                    "results: Response for job {} was aborted. {}", job.id, error
                )
                self.request.connection.close()
                return
            raise _make_log_refusal(error, verdict.Verdict.NOT_RUN) from error
        self.finish()

    async def _write_results(self, shard, job, ref):
        record = await self._read_record(shard, ref)
        if record is None:
            self._write_lost_results(job, ref)
            return
        written = set()
        for job_id, item, _, body in record["results"]:
            if job_id != job.id or job.refs[item] != ref:
                continue
            # If a record holds several results of an item, the first one is valid.
            if item not in written:
                written.add(item)
                self.write(orjson.dumps(body) + b"\n")
        await self.flush()

    async def _read_record(self, shard, ref):
        """Return a record of results, or None if the log has deleted it."""
        offset = None
        while offset != shard.ledger.results[ref]:
            # The record may be appended again at a later offset during the read.
            offset = shard.ledger.results[ref]
            page = await shard.read_record(offset)
            if page.records and page.records[0][0] == offset:
                return page.records[0][1]
        if page.first <= offset:
            raise exception.LogUnavailableError("The log gave no results.")
        return None

    def _write_lost_results(self, job, ref):
        # Reports the lost results per item, since the other results are still valid.
        logger.error("results: Results of job {} were deleted from the log.", job.id)
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
        """Cancel the job; respond once no item can start or complete any more."""
        shard = await self.find_shard(job_id)
        if shard is None:
            return
        job = self.get_job(shard, job_id)
        if job.state == "open":
            await self._append_cancellation(shard, job)
            job = self.get_job(shard, job_id)
        if job.state == "cancelled":
            # Also if another request cancelled the job: it may still be waiting for the
            # owner, or may have failed meanwhile.
            await self._wait_until_stopped(shard, job)
        self.write_json(describe_job(job))

    async def _append_cancellation(self, shard, job):
        cancelled = batch_record.make_cancelled(
            job.id, self.get_caller(), time.time(), self.get_client_address()
        )
        try:
            await shard.replica.append([cancelled], self.entry.settings.append_s)
        except exception.LogError as error:
            # Agents are notified only after the append: they would otherwise reject the
            # items of a job that stays open if the record is never written.
            raise _make_log_refusal(error, verdict.Verdict.MAY_HAVE_RUN) from error

    async def _wait_until_stopped(self, shard, job):
        """Return once the owner has stopped the job or can no longer dispatch items."""
        if await self._stop_at_owner(shard, job):
            return
        await self._stop_at_agents(job)
        # An owner that does not respond has either read the cancellation or stops
        # renewing leases after FRESH_S without reading the log. Its last renewal may
        # be in flight for up to the heartbeat timeout; then the lease has to expire.
        renewed_s = dispatch.MAX_LOG_LAG_S + membership_fleet.HEARTBEAT_TIMEOUT_S
        await asyncio.sleep(renewed_s + self._get_max_lease_s() + CLOCK_MARGIN_S)

    async def _stop_at_agents(self, job):
        # Items of a previous owner may still run. Agents that have confirmed the order
        # reject items of the job from any owner.
        try:
            await self.entry.stop_job(job.id)
        except exception.UnavailableError as error:
            logger.warning(
                "cancel: Not all agents confirmed the stop of job {}. {}", job.id, error
            )

    def _get_max_lease_s(self):
        leases = [
            peer.report.get("lease_s") for peer in self.entry.fleet.peers.values()
        ]
        known = [lease for lease in leases if lease is not None]
        if leases and not known:
            # This entry has just started and does not know the lease duration yet.
            error = exception.LogUnavailableError("No agent is known yet.")
            raise _make_log_refusal(error, verdict.Verdict.MAY_HAVE_RUN)
        return max(known, default=0.0)

    async def _stop_at_owner(self, shard, job):
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
    """``POST /peer/stop-job``: another entry cancelled a job that this entry owns."""

    async def post(self):
        """Respond 200 once this entry has read the cancellation and stopped the job."""
        data = self.read_json()
        shard = self.entry.table.find(data["job"])
        if shard is None or data["owner"] != self.entry.owner:
            self.write_json({"stopped": False}, 409)
            return
        try:
            # If this replica has not applied the cancellation yet, the next cycle of
            # the dispatcher would resume the job.
            await shard.replica.catch_up(STOP_TIMEOUT_S / 2)
            await self.entry.stop_job(data["job"])
        except (exception.LogError, exception.UnavailableError):
            self.write_json({"stopped": False}, 503)
            return
        self.write_json({"stopped": True})
