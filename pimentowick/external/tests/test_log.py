"""What readers of the log get to see."""

import asyncio

from pimentowick import client as http_client
from pimentowick.external import log as external_log
from pimentowick.fakes import log as fake_log


def test_broken_text_in_a_record_hides_no_other_record():
    """Somebody writes a record whose text ends in half of a surrogate pair.

    Each read that holds it would fail, and the reader would stand still before it
    for good, with all jobs of the shard.
    """

    async def check():
        kept = fake_log.Log()
        client = http_client.Client(4)
        await kept.start()
        await client.start()
        try:
            kept.append("s", [{"text": "\ud800"}, {"text": "whole"}])
            page = await external_log.HttpLog(kept.address, client).read("s", 0)
            assert [record["text"] for _, record in page.records] == ["\ud800", "whole"]
            assert page.head == 2
        finally:
            await client.close()
            await kept.close()

    asyncio.run(check())
