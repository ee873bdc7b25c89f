"""Dispatch of callers' requests to the relay or to the API of batch jobs."""

import time

from pimentowick import exception, verdict
from pimentowick.gateway import decision_log, route, workspace
from pimentowick.gateway.policy import quota
from pimentowick.platform import message

__all__ = ["Dispatcher"]

# An entry reads the configuration within tenths of a second of its start.
NOT_READY_RETRY_S = 0.3


class Dispatcher:
    """Authenticates requests, applies rate limits and chooses the handler.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        feed: The `pimentowick.gateway.feed.Feed` that updates the configuration.
        authentication: `pimentowick.gateway.authentication.Authentication`.
        quotas: The rate limits, a `pimentowick.gateway.policy.quota.SharedQuota`.
        relay: `pimentowick.gateway.relay.Relay`.
        job_api: `pimentowick.gateway.job_api.JobApi`.
    """

    def __init__(self, configuration, feed, authentication, quotas, relay, job_api):
        self._configuration = configuration
        self._feed = feed
        self._authentication = authentication
        self._quotas = quotas
        self._relay = relay
        self._job_api = job_api

    async def serve(self, request):
        """Answer the request of an `exchange.Exchange`.

        Raises:
            RefusedError: The request is refused.
        """
        call = message.decode_request_headers(request.headers)
        current = self._configuration.current
        if current is None:
            raise exception.RefusedError(
                verdict.Refusal(
                    503,
                    "not_ready",
                    "This entry knows no configuration yet.",
                    retry_after=NOT_READY_RETRY_S,
                )
            )
        job_call = message.find_job_operation(request.method, request.path)
        if job_call is not None:
            is_public = current.has_public_batch(request.host)
            caller_workspace = await self._identify(request, call, is_public)
            await self._serve_job(request, call, caller_workspace, *job_call)
            return
        try:
            matched_route = self._find_route(current, request, call)
        except exception.RefusedError:
            if not await self._confirm_job(current, request, call):
                raise
            return
        caller_workspace = await self._identify(request, call, matched_route.is_public)
        if self._configuration.current is not current:
            # Authentication may have refreshed the configuration.
            current = self._configuration.current
            matched_route = self._find_route(current, request, call)
        if matched_route.kind == route.Kind.BATCH:
            await self._job_api.submit(request, matched_route, call, caller_workspace)
            return
        await self._serve_online(
            request, matched_route, call, caller_workspace, current
        )

    async def _identify(self, request, call, is_public):
        caller_workspace = await self._authentication.identify(call, is_public)
        request.workspace = None if caller_workspace is None else caller_workspace.name
        return caller_workspace

    async def _confirm_job(self, current, request, call):
        """Answer a repeated submission of a job whose route has been removed.

        Returns:
            Whether the request was one.
        """
        if request.method != "POST" or not call.request_id:
            return False
        caller_workspace = None
        if current.workspaces is not None and call.key:
            caller_workspace = current.workspaces.find(call.key)
        name = None if caller_workspace is None else caller_workspace.name
        job_id = workspace.scope_job_id(name, call.request_id)
        return await self._job_api.confirm(request, job_id)

    def _find_route(self, current, request, call):
        matched_route = current.find(request.host, request.path)
        if matched_route is None:
            decision_log.log_request_event(
                "online.no_route",
                call.request_id,
                outcome="unknown_route",
                configuration=current.version,
                age_s=time.monotonic() - self._feed.fresh_at,
            )
            raise exception.RefusedError(
                verdict.Refusal(404, "unknown_route", "No route takes this path.")
            )
        return matched_route

    async def _serve_online(
        self, request, matched_route, call, caller_workspace, current
    ):
        is_limited = caller_workspace is not None and caller_workspace.rate_per_s > 0
        if is_limited:
            self._take_quota(call, caller_workspace, current)
        may_have_run = True
        try:
            may_have_run = await self._relay.serve(
                request,
                matched_route,
                call,
                current.version,
                caller_workspace,
                current.workspaces is not None,
            )
        finally:
            if is_limited and not may_have_run:
                self._quotas.refund(caller_workspace.name, time.monotonic())

    def _take_quota(self, call, caller_workspace, current):
        limit = quota.Limit(caller_workspace.rate_per_s, caller_workspace.burst)
        wait_s = self._quotas.take(caller_workspace.name, limit, time.monotonic())
        if not wait_s:
            return
        decision_log.log_request_event(
            "caller.over_quota",
            call.request_id,
            outcome="rate_limit",
            workspace=caller_workspace.name,
            rate_per_s=caller_workspace.rate_per_s,
            burst=caller_workspace.burst,
            wait_s=wait_s,
            share=self._quotas.share,
            configuration=current.version,
        )
        raise exception.RefusedError(
            verdict.Refusal(
                429,
                "rate_limit",
                "The workspace sends more than its limit. Come back later.",
                retry_after=wait_s,
            )
        )

    async def _serve_job(self, request, call, caller_workspace, operation, job_id):
        name = None if caller_workspace is None else caller_workspace.name
        job_id = workspace.scope_job_id(name, job_id)
        if operation == message.JobOperation.END:
            await self._job_api.cancel(request, job_id)
        elif operation == message.JobOperation.READ:
            await self._job_api.read_results(request, job_id, call)
        elif operation == message.JobOperation.BODY:
            await self._job_api.read_body(request, job_id)
        else:
            raise exception.RefusedError(
                verdict.Refusal(405, "wrong_method", "This path takes other methods.")
            )
