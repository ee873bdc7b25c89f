"""Fake of the host list."""

from tornado import web

from pimentowick.fakes import faults, lag, server

__all__ = ["HostList"]

FIELDS = ("role", "address", "failure_domain", "state")


class HostList(server.Server):
    """The list of hosts; readers see it with a fixed lag.

    Args:
        port: Port to listen on; 0 lets the kernel choose.
        lag_s: Seconds until a change is visible to readers.
    """

    def __init__(self, port=0, *, lag_s=2.0):
        super().__init__(port)
        self.lag_s = lag_s
        self._hosts = {}
        self._visible = lag.LaggedValue(lag_s, [])

    def list_routes(self):
        """Return the routes of the host list."""
        return [("/hosts", _HostsHandler), (r"/hosts/([^/]+)", _HostHandler)]

    def put(self, host, role, address, failure_domain, state="live"):
        """Add or update a host."""
        values = (role, address, failure_domain, state)
        self._hosts[host] = {"host": host, **dict(zip(FIELDS, values, strict=True))}
        self._visible.record(list(self._hosts.values()))

    def delete(self, host):
        """Remove a host; return whether it was listed."""
        found = self._hosts.pop(host, None) is not None
        self._visible.record(list(self._hosts.values()))
        return found

    def read(self):
        """Return the hosts as they were `lag_s` seconds ago."""
        return self._visible.read()


class _HostsHandler(faults.Handler):
    """`GET /hosts`."""

    async def get(self):
        await self.respond({"hosts": self.server.read()})


class _HostHandler(faults.Handler):
    """`PUT` and `DELETE /hosts/{host}`: changes made by the platform."""

    async def put(self, host):
        body = self.read_json_object()
        if any(not isinstance(body.get(name), str) for name in FIELDS):
            raise web.HTTPError(400, "a field is missing")
        self.server.put(host, *(body[name] for name in FIELDS))
        await self.respond({"host": host})

    async def delete(self, host):
        found = self.server.delete(host)
        await self.respond({"host": host}, status=200 if found else 404)
