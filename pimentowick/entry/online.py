"""HTTP handlers of online completions, compatible with OpenAI's API."""

import asyncio
import time

import orjson
from tornado import iostream

from pimentowick import completion, exception, verdict
from pimentowick import web as http_web
from pimentowick.entry import handler
from pimentowick.external import engine as external_engine
from pimentowick.routing import router

__all__ = ["ChatHandler", "ModelsHandler", "TextHandler", "read_deadline"]

END_MARK = b"data: [DONE]\n\n"
DEADLINE_MARGIN_S = 0.5


def read_deadline(request, limit_s):
    """Return the seconds left until the deadline of a request.

    Args:
        request: The HTTP request; its header X-Deadline may set a deadline in epoch
            seconds.
        limit_s: Maximum set by the configuration, in seconds.

    Raises:
        RefusedError: The deadline is malformed or has passed.
    """
    text = request.headers.get("X-Deadline")
    if text is None:
        return limit_s
    try:
        remaining_s = float(text) - time.time()
    except ValueError as error:
        raise http_web.make_input_error("X-Deadline must be epoch seconds.") from error
    if not remaining_s > 0:
        raise http_web.make_input_error("X-Deadline has passed.", "deadline_passed")
    return min(remaining_s, limit_s)


class _CompletionHandler(handler.CallerHandler):
    """Base of the completion handlers; runs a generation and writes the response."""

    async def post(self):
        """Respond with a completion, as one body or as a stream of events."""
        try:
            await self._respond()
        except exception.RefusedError as error:
            self.entry.metrics.count_request(error.refusal.code)
            self._write_error(error.refusal)
        except iostream.StreamClosedError:
            self.entry.metrics.count_request("caller_gone")
        else:
            self.entry.metrics.count_request("answered")

    def on_connection_close(self):
        """Cancel the generation when the caller disconnects."""
        if self._response_task is not None:
            self._response_task.cancel()

    _response_task = None

    async def _respond(self):
        handler.check_online_size(self.request.body)
        data = self.read_json()
        generation = completion.parse_generation(data, self.workspace)
        policy = self.workspace.models[generation["model"]]
        limit_s = self.entry.limit_deadline(policy.deadline_s)
        deadline_s = read_deadline(self.request, limit_s)
        request = router.make_generate_request(
            self.request_id, self.workspace, generation, deadline_s
        )
        write = self._write_stream if data.get("stream") else self._write_body
        with self.entry.limits.acquire(self.workspace):
            self._response_task = asyncio.ensure_future(write(request, generation))
            try:
                # The router enforces the deadline, but a caller that stops reading may
                # block the write, and hold a concurrency slot, indefinitely.
                async with asyncio.timeout(deadline_s + DEADLINE_MARGIN_S):
                    await self._response_task
            except TimeoutError as error:
                expired = verdict.make_deadline_refusal(verdict.Verdict.MAY_HAVE_RUN)
                raise exception.RefusedError(expired) from error
            except asyncio.CancelledError:
                raise iostream.StreamClosedError from None

    async def _write_body(self, request, generation):
        texts = []
        end = None
        async for event in self.entry.router.generate(request):
            if isinstance(event, external_engine.Tokens):
                texts.extend(event.texts)
            else:
                end = event
        _check_complete(end, len(texts))
        body = self.make_body(
            self.request_id, generation, "".join(texts), end.finish_reason, end.tokens
        )
        self.write_json(body)

    async def _write_stream(self, request, generation):
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")
        count = 0
        async for event in self.entry.router.generate(request):
            if isinstance(event, external_engine.Tokens):
                count += len(event.texts)
                # Tokens that arrive together are sent as one event in one write.
                chunk = self.make_chunk(
                    self.request_id, generation, "".join(event.texts)
                )
                self.write(_encode_event(chunk))
                await self.flush()
                continue
            _check_complete(event, count)
            last = self.make_chunk(self.request_id, generation, "", event.finish_reason)
            self.write(_encode_event(last))
        self.finish(END_MARK)

    def _write_error(self, refusal):
        if not self._headers_written:
            self.clear_header("Cache-Control")
            self.write_refusal(refusal)
            return
        stream = self.request.connection.stream
        if stream.writing():
            # The caller has stopped reading, so that an error event would block, too.
            stream.close()
            return
        # Part of the response has been sent. The error event and the missing end mark
        # show the client that the response is incomplete.
        self.finish(_encode_event(self.describe_refusal(refusal)))


def _encode_event(data):
    return b"data: " + orjson.dumps(data) + b"\n\n"


def _check_complete(end, count):
    """Check that all tokens and the end of a generation have been received.

    Raises:
        RefusedError: The generation is incomplete.
    """
    if end is not None and end.tokens == count and end.finish_reason != "cancelled":
        return
    raise exception.RefusedError(
        verdict.Refusal(
            502,
            "incomplete",
            "The target ended the answer early. Try again.",
            verdict.Verdict.MAY_HAVE_RUN,
            retry_after=1.0,
        )
    )


class ChatHandler(_CompletionHandler):
    """``POST /v1/chat/completions``."""

    make_body = staticmethod(completion.make_chat_body)
    make_chunk = staticmethod(completion.make_chat_chunk)


class TextHandler(_CompletionHandler):
    """``POST /v1/completions``."""

    make_body = staticmethod(completion.make_text_body)
    make_chunk = staticmethod(completion.make_text_chunk)


class ModelsHandler(handler.CallerHandler):
    """``GET /v1/models``: the models that the workspace may use."""

    def get(self):
        """Respond with the list of models."""
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "pimentowick"}
            for name in sorted(self.workspace.models)
        ]
        self.write_json({"object": "list", "data": data})
