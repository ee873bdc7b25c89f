"""Fetches the configuration from other entries while the store is unreachable.

Notes:
    An entry that alone cannot read from the store has to refuse requests with API keys
    within seconds (see `pimentowick.gateway.policy.freshness`), while its peers still
    receive every update. It therefore fetches from one of them the version of the
    configuration, the record if that is newer, and the age of the peer's own copy. The
    fetched copy had that age when the request was sent: the answer may have been in
    transit for any time.
"""

import asyncio
import base64
import binascii
import math
import random

import orjson
from tornado import httputil

from pimentowick import client, exception
from pimentowick.gateway import decision_log

__all__ = ["PeerConfiguration"]

PATH = "/peer/configuration"
# Twice the interval at which a reachable store confirms the configuration.
FETCH_AGE_S = 2.0
FETCH_INTERVAL_S = 0.3
FETCH_TIMEOUT_S = 0.5
MAX_CONFIGURATION_BYTES = 8_388_608


class PeerConfiguration:
    """Fetches the configuration from other entries, and serves it to them.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        feed: The `pimentowick.gateway.feed.Feed` that updates it.
        list_peers: Function that returns the addresses of the live entries.
        is_needed: Function that returns whether the configuration's age is bounded.
    """

    def __init__(self, configuration, feed, list_peers, is_needed):
        self._configuration = configuration
        self._feed = feed
        self._list_peers = list_peers
        self._is_needed = is_needed
        self._client = client.Client(max_body_bytes=MAX_CONFIGURATION_BYTES)
        self._uses_peer = False

    async def start(self):
        """Start the HTTP client."""
        await self._client.start()

    async def close(self):
        """Close the HTTP client."""
        await self._client.close()

    async def run(self):
        """Fetch while the store does not answer, until cancelled."""
        while True:
            await asyncio.sleep(FETCH_INTERVAL_S)
            if not self._is_needed() or self._get_age() < FETCH_AGE_S:
                self._record_source(False)
                continue
            peers = self._list_peers()
            if peers:
                await self.fetch_from_peer(random.choice(peers))

    async def fetch_from_peer(self, address):
        """Update the configuration and its age from another entry."""
        requested_at = self._feed.clock()
        current = self._configuration.current
        after = "" if current is None else current.version
        try:
            answer = await self._client.fetch(
                "GET", address, f"{PATH}?after={after}", timeout_s=FETCH_TIMEOUT_S
            )
            data = answer.decode()
            version, age_s = int(data["version"]), _check_age(data["age_s"])
            record = data["record"]
            value = None if record is None else base64.b64decode(record, validate=True)
        except (
            exception.PimentowickError,
            binascii.Error,
            ValueError,
            TypeError,
            KeyError,
        ) as error:
            why = f"{type(error).__name__}: {error}"
            decision_log.log_event(
                "configuration.not_asked", neighbour=address, why=why
            )
            return
        if value is not None:
            self._configuration.apply_value(value)
        current = self._configuration.current
        if current is not None and current.version >= version:
            self._feed.fresh_at_boottime = max(
                self._feed.fresh_at_boottime, requested_at - age_s
            )
            self._record_source(True, neighbour=address, version=current.version)

    async def handle_request(self, request):
        """Answer the `pimentowick.gateway.exchange.Exchange` of another entry."""
        current = self._configuration.current
        if request.path != PATH or current is None:
            await request.answer(404, httputil.HTTPHeaders())
            return
        record = None
        if request.query.get("after") != str(current.version):
            record = base64.b64encode(self._configuration.record).decode()
        data = {"version": current.version, "age_s": self._get_age(), "record": record}
        await request.answer_json(orjson.dumps(data))

    def _get_age(self):
        return self._feed.clock() - self._feed.fresh_at_boottime

    def _record_source(self, uses_peer, **fields):
        if uses_peer != self._uses_peer:
            self._uses_peer = uses_peer
            name = (
                "configuration.by_neighbour" if uses_peer else "configuration.by_store"
            )
            decision_log.log_event(name, age_s=self._get_age(), **fields)


def _check_age(value):
    """Return an age in seconds; a negative one would make stale data look fresh.

    Raises:
        ValueError: It is negative, infinite or not a number.
    """
    age_s = float(value)
    if not 0 <= age_s < math.inf:
        raise ValueError(f"age_s must be finite and at least 0: {value}")
    return age_s
