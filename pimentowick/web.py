"""What the HTTP servers of both daemons have in common."""

import asyncio

import orjson
from loguru import logger
from tornado import httpserver, netutil, web

from pimentowick import exception, verdict

__all__ = ["JsonHandler", "Server"]

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 67_108_864


class JsonHandler(web.RequestHandler):
    """Reads JSON, writes JSON, and turns errors into refusals."""

    def write_json(self, data, status=200):
        """Answer with `data`."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(data))

    def write_refusal(self, refusal):
        """Answer with a `pimentowick.verdict.Refusal`."""
        self.refusal = refusal
        for name, value in refusal.headers().items():
            self.set_header(name, value)
        self.write_json(refusal.to_dict(), refusal.status)

    def read_json(self):
        """Return the body as a JSON object.

        Raises:
            RefusedError: The body is something else.
        """
        try:
            data = orjson.loads(self.request.body)
        except ValueError as error:
            raise refuse_input(f"The body is not JSON: {error}.") from error
        if not isinstance(data, dict):
            raise refuse_input("The body must be a JSON object.")
        return data

    def log_exception(self, typ, value, tb):
        """Log only what is a fault of this process."""
        if isinstance(value, exception.RefusedError | web.HTTPError):
            return
        logger.opt(exception=(typ, value, tb)).error(
            "web: {} {} failed.", self.request.method, self.request.path
        )

    def write_error(self, status_code, **kwargs):
        """Answer an exception with JSON; see `tornado.web.RequestHandler`."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, exception.RefusedError):
            self.write_refusal(error.refusal)
            return
        self.write_refusal(_explain_status(status_code))


def _explain_status(status):
    if status == 404:
        return verdict.Refusal(
            404, "unknown_path", "There is nothing under this path. See docs/API.md."
        )
    if status == 405:
        return verdict.Refusal(
            405, "wrong_method", "This path does not take this method. See docs/API.md."
        )
    if 400 <= status < 500:
        return verdict.Refusal(status, "bad_request", "The request is malformed.")
    return verdict.Refusal(
        500,
        "internal",
        "An unexpected error. Ask again with the same idempotency key.",
        verdict.Verdict.MAY_HAVE_RUN,
        retry_after=1.0,
    )


def refuse_input(message, code="bad_request", status=400):
    """Return the error for input that a caller has to change."""
    return exception.RefusedError(verdict.Refusal(status, code, message))


class Server:
    """An HTTP server on one address.

    Args:
        application: The tornado application.
        address: IP number to listen on.
        port: TCP port; 0 lets the kernel choose.
        max_body_bytes: Largest body that is taken.
        ssl_context: For encrypted connections, or None.

    Attributes:
        address: ``IP:port`` once started.
    """

    def __init__(
        self,
        application,
        address="127.0.0.1",
        port=0,
        max_body_bytes=MAX_BODY_BYTES,
        ssl_context=None,
    ):
        self._application = application
        self._ip = address
        self._port = port
        self._max_body_bytes = max_body_bytes
        self._ssl_context = ssl_context
        self._server = None
        self.address = None

    async def start(self):
        """Listen."""
        sockets = netutil.bind_sockets(self._port, self._ip)
        self._server = httpserver.HTTPServer(
            self._application,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self._max_body_bytes,
            max_buffer_size=self._max_body_bytes + MAX_HEADER_BYTES,
            ssl_options=self._ssl_context,
        )
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"

    async def stop_listening(self):
        """Take no new connection; those that are open go on."""
        self._server.stop()

    async def close(self):
        """Close all connections."""
        if self._server is None:
            return
        self._server.stop()
        await self._server.close_all_connections()
        self._server = None
        await asyncio.sleep(0)
