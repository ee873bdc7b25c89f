"""Tests of the client for the log service."""

import asyncio

from pimentowick import client as http_client
from pimentowick.external import log as external_log
from pimentowick.fakes import log as fake_log


def test_broken_text_in_a_record_hides_no_other_record():
    """A record with an unpaired surrogate must not prevent reads of other records."""

    async def check():
        log = fake_log.Log()
        client = http_client.Client(4)
        await log.start()
        await client.start()
        try:
            log.append("s", [{"text": "\ud800"}, {"text": "whole"}])
            page = await external_log.HttpLog(log.address, client).read("s", 0)
            assert [record["text"] for _, record in page.records] == ["\ud800", "whole"]
            assert page.head == 2
        finally:
            await client.close()
            await log.close()

    asyncio.run(check())
