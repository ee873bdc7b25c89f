"""Buffering of results before they are appended to the log."""

import asyncio
import json

from pimentowick.batch import writer
from pimentowick.batch.tests import stubs
from pimentowick.replication.tests import memory


def test_late_result_of_an_old_epoch_drops_none_of_the_new_one():
    """A shard is lost and reacquired, and an item of the earlier epoch ends late.

    Its result must not discard the results buffered under the new epoch, whose items
    would never complete.
    """

    async def check():
        log = memory.MemoryLog()
        shard = stubs.make_shard(0, log)
        results = writer.ResultWriter(stubs.make_settings())
        body = {"custom_id": "x"}
        results.add(shard, 2, "j", 0, "succeeded", body)
        results.add(shard, 1, "j", 1, "succeeded", body)
        await results.flush()
        written = [json.loads(text) for _, text in log.stored.read("shard-0", 0)]
        rows = [(each["epoch"], each["results"]) for each in written]
        assert rows == [(2, [["j", 0, "succeeded", body]])]
        assert results.bytes == 0

    asyncio.run(check())
