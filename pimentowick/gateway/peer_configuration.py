"""The newest configuration from another entry, for one that the store turns away.

Notes:
    An entry that alone hears nothing of the store has to refuse the holders of keys
    within seconds (see `pimentowick.gateway.policy.freshness`), while its neighbours
    are told of each change. It asks one of them, which answers with its version, with
    the record if that is newer, and with how long ago it asked the store itself. What
    is known then is as old as that was when this entry asked: the answer may have been
    on its way for any time.
"""

import asyncio
import base64
import binascii
import math
import random

import orjson
from tornado import httputil

from pimentowick import client, exception
from pimentowick.gateway import decision

__all__ = ["PeerConfiguration"]

PATH = "/peer/configuration"
# In touch with the store, an entry hears of it twice in this time.
ASK_AGE_S = 2.0
ASK_EVERY_S = 0.3
ASK_TIMEOUT_S = 0.5


class PeerConfiguration:
    """Asks other entries, and answers them.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        feed: The `pimentowick.gateway.feed.Feed` that keeps it up to date.
        list_peers: Function that returns the addresses of the entries that are heard.
        is_wanted: Function that returns whether the age of the configuration matters.
    """

    def __init__(self, configuration, feed, list_peers, is_wanted):
        self._configuration = configuration
        self._feed = feed
        self._list_peers = list_peers
        self._is_wanted = is_wanted
        self._client = client.Client()
        self._helped = False

    async def start(self):
        """Start the client."""
        await self._client.start()

    async def close(self):
        """Close the client."""
        await self._client.close()

    async def run(self):
        """Ask while the store does not answer, until cancelled."""
        while True:
            await asyncio.sleep(ASK_EVERY_S)
            if not self._is_wanted() or self._get_age() < ASK_AGE_S:
                self._note_helped(False)
                continue
            peers = self._list_peers()
            if peers:
                await self.ask(random.choice(peers))

    async def ask(self, address):
        """Take what another entry knows of the configuration."""
        asked_at = self._feed.clock()
        known = self._configuration.current
        after = "" if known is None else known.version
        try:
            answer = await self._client.fetch(
                "GET", address, f"{PATH}?after={after}", timeout_s=ASK_TIMEOUT_S
            )
            found = answer.decode()
            version, age_s = int(found["version"]), _check_age(found["age_s"])
            record = found["record"]
            value = None if record is None else base64.b64decode(record, validate=True)
        except (
            exception.PimentowickError,
            binascii.Error,
            ValueError,
            TypeError,
            KeyError,
        ) as error:
            why = f"{type(error).__name__}: {error}"
            decision.note_belief("configuration.not_asked", neighbour=address, why=why)
            return
        if value is not None:
            self._configuration.take(value)
        known = self._configuration.current
        if known is not None and known.version >= version:
            self._feed.fresh_at_boottime = max(
                self._feed.fresh_at_boottime, asked_at - age_s
            )
            self._note_helped(True, neighbour=address, version=known.version)

    async def answer(self, request):
        """Answer another entry's `pimentowick.gateway.exchange.Exchange`."""
        known = self._configuration.current
        if request.path != PATH or known is None:
            await request.answer(404, httputil.HTTPHeaders())
            return
        record = None
        if request.query.get("after") != str(known.version):
            record = base64.b64encode(self._configuration.record).decode()
        data = {"version": known.version, "age_s": self._get_age(), "record": record}
        await request.answer_json(orjson.dumps(data))

    def _get_age(self):
        return self._feed.clock() - self._feed.fresh_at_boottime

    def _note_helped(self, helped, **fields):
        if helped != self._helped:
            self._helped = helped
            name = "configuration.by_neighbour" if helped else "configuration.by_store"
            decision.note_belief(name, age_s=self._get_age(), **fields)


def _check_age(value):
    """Return an age in seconds; one below 0 would make what is known look new."""
    age_s = float(value)
    if not 0 <= age_s < math.inf:
        raise ValueError(f"no age: {value}")
    return age_s
