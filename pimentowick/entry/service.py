"""HTTP handler of calls to services."""

import asyncio
import hashlib
import time

from pimentowick import exception, verdict
from pimentowick.batch import record as batch_record
from pimentowick.batch import shard as batch_shard
from pimentowick.entry import handler, online
from pimentowick.routing import router

__all__ = ["ServiceHandler"]

IDEMPOTENT_METHODS = frozenset(["GET", "HEAD", "OPTIONS"])
FORWARDED_HEADERS = ("Content-Type", "Accept")
# Number of slashes in "/v1/services/{service}/{path}" before the path.
PREFIX_SLASHES = 4


class ServiceHandler(handler.CallerHandler):
    """``/v1/services/{service}/{path}``, with any method."""

    async def _respond(self, service, path):
        try:
            await self._forward(service, path)
        except exception.RefusedError as error:
            self.entry.metrics.count_request(error.refusal.code)
            self.write_refusal(error.refusal)
        except asyncio.CancelledError:
            self.entry.metrics.count_request("caller_gone")
        else:
            self.entry.metrics.count_request("answered")

    def on_connection_close(self):
        """Cancel an idempotent call when the caller disconnects.

        Other calls continue; if they have an idempotency key, their outcome has to be
        recorded for retries.
        """
        if self._call_task is not None:
            self._call_task.cancel()

    _call_task = None

    get = post = put = patch = delete = _respond

    async def _forward(self, service, path):
        handler.check_online_size(self.request.body)
        policy = self.workspace.services.get(service)
        if policy is None:
            raise _make_unknown_refusal(service, self.workspace)
        limit_s = self.entry.limit_deadline(policy.deadline_s)
        deadline_s = online.read_deadline(self.request, limit_s)
        idempotent = self._is_idempotent(policy)
        key = self.request.headers.get("Idempotency-Key")
        request = self._make_request(service, idempotent, key, deadline_s)
        if idempotent or key is None:
            with self.entry.limits.acquire_call(self.workspace, service):
                call = asyncio.ensure_future(self.entry.router.call(request))
                if idempotent:
                    self._call_task = call
                self._write_answer(await call)
            return
        await self._forward_once(service, key, request, deadline_s)

    async def _forward_once(self, service, key, request, deadline_s):
        call_id = batch_record.make_call_id(self.workspace.name, service, key)
        shard = self.entry.table.find(call_id)
        if shard is None:
            number = batch_shard.find_shard(call_id, self.entry.settings.shards)
            await handler.forward(self, number, deadline_s)
            return
        with self.entry.limits.acquire_call(self.workspace, service):
            digest = self._make_digest()
            recorded_answer = await self.entry.calls.claim(
                shard, call_id, request.id, digest, deadline_s
            )
            if recorded_answer is not None:
                self.set_header("Idempotent-Replayed", "true")
                self._write_answer(recorded_answer)
                return
            await self._forward_claimed(shard, call_id, request)

    async def _forward_claimed(self, shard, call_id, request):
        found = verdict.Verdict.MAY_HAVE_RUN
        answer = None
        try:
            answer = await self.entry.router.call(request)
            found = verdict.Verdict.RAN
        except exception.RefusedError as error:
            found = error.refusal.verdict
            raise
        finally:
            # The caller gets the response before the outcome is in the log. Until then,
            # a retry with the same key is told that the call is in progress.
            self.entry.calls.record_outcome(shard, call_id, request.id, found, answer)
        self._write_answer(answer)

    def _is_idempotent(self, policy):
        text = self.request.headers.get("X-Idempotent")
        if text is not None:
            return text.lower() == "true"
        return policy.idempotent or self.request.method in IDEMPOTENT_METHODS

    def _make_digest(self):
        hashed = hashlib.sha256()
        for part in (self.request.method, self.request.uri):
            hashed.update(part.encode() + b"\0")
        hashed.update(self.request.body)
        return hashed.hexdigest()

    def _make_request(self, service, idempotent, key, deadline_s):
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {
            name: self.request.headers[name]
            for name in FORWARDED_HEADERS
            if name in self.request.headers
        }
        call = {
            "method": self.request.method,
            "path": f"{self._get_raw_path()}{query}",
            "headers": headers,
            "body": self.request.body.decode("latin-1"),
            "idempotency_key": key,
            "idempotent": idempotent,
        }
        return router.Request(
            id=self.request_id,
            workspace=self.workspace,
            service=service,
            kind="service",
            idempotent=idempotent,
            deadline=time.monotonic() + deadline_s,
            cost=1.0,
            payload={"call": call},
        )

    def _get_raw_path(self):
        # Not decoded: a decoded path may contain characters that are invalid in a
        # request line. The request would fail at every target and eject them all.
        return "/" + self.request.path.split("/", PREFIX_SLASHES)[-1]

    def _write_answer(self, answer):
        self.set_status(answer["status"])
        for name, value in answer["headers"].items():
            self.set_header(name, value)
        self.finish(answer["body"].encode("latin-1"))


def _make_unknown_refusal(service, workspace):
    names = ", ".join(sorted(workspace.services)) or "none"
    return exception.RefusedError(
        verdict.Refusal(
            404,
            "unknown_service",
            f"This workspace has no service {service!r}. It has: {names}.",
        )
    )
