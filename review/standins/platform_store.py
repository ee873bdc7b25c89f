"""The platform's store as a process: the project's own fake, and a way to write to it.

The operator and the replicas write to topics that the system may not write to. They do
so with `PUT /stand-in/TOPIC/KEY`, whose body is the value; `DELETE` removes the key.
"""

import asyncio
import sys

from tornado import web

from pimentowick.fakes import platform_store


class _Record(web.RequestHandler):
    def initialize(self, server):
        self.server = server

    def put(self, topic, key):
        self.server.put(f"keyed.{topic}", key, self.request.body)

    def delete(self, topic, key):
        self.server.put(f"keyed.{topic}", key, b"")


class _Store(platform_store.PlatformStore):
    def list_routes(self):
        return [("/stand-in/([^/]+)/([^/]+)", _Record), *super().list_routes()]


async def _main(port):
    store = _Store(port)
    await store.start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1])))
