import asyncio
import json
import signal
import subprocess
import sys
import time

from pimentowick.fakes import hosts, log, service, weights
from pimentowick.fakes.tests import client

CONFIRM = "/confirm"


def test_log_appends_reads_and_truncates():
    async def check():
        async with client.run_server(log.Log(max_record_bytes=50)) as server:
            path = "/streams/s/records"
            _, empty = await client.fetch_json(server, path)
            assert empty == {"records": [], "first": 0, "head": 0}
            reader = asyncio.create_task(
                client.fetch_json(server, path + "?from=0&wait=5")
            )
            body = {"records": [{"n": 0}, {"n": 1}]}
            assert (await client.fetch_json(server, path, body))[1] == {
                "first": 0,
                "next": 2,
            }
            assert (await reader)[1]["records"][0] == {"offset": 0, "record": {"n": 0}}
            big = {"records": [{"n": 2}, {"n": "x" * 60}]}
            assert (await client.fetch_json(server, path, big))[0] == 413
            await client.fetch_json(server, "/streams/s/truncate", {"before": 1})
            _, rest = await client.fetch_json(server, path + "?from=0")
            assert rest["first"] == 1 and rest["head"] == 2
            assert [item["offset"] for item in rest["records"]] == [1]

    asyncio.run(check())


def test_log_drops_records_after_the_retention_time():
    async def check():
        server = log.Log(retention_s=0.0)
        server.append("s", [{}])
        await client.wait_for(lambda: server.get_offsets("s") == (1, 1))
        assert server.append("s", [{}]) == (1, 2)

    asyncio.run(check())


def test_log_over_its_rate_limit_rejects_appends():
    """A rejected append has no effect and tells the client when to retry."""

    async def check():
        async with client.run_server(log.Log(appends_per_s=0.01)) as server:
            body = {"records": [{}]}
            await client.fetch_json(server, "/streams/s/records", body)
            response = await client.fetch(server, "/streams/s/records", body)
            assert response.code == 429 and int(response.headers["Retry-After"]) >= 1
            assert server.get_offsets("s") == (0, 1)

    asyncio.run(check())


def test_hosts_are_visible_after_the_lag():
    async def check():
        async with client.run_server(hosts.HostList(lag_s=0.3)) as server:
            host = {"role": "entry", "address": "a:1", "failure_domain": "x"}
            host["state"] = "live"
            assert (await client.fetch_json(server, "/hosts/h1", host, "PUT"))[0] == 200
            assert (await client.fetch_json(server, "/hosts"))[1] == {"hosts": []}
            await client.wait_for(server.read)
            assert server.read() == [{"host": "h1", **host}]
            await client.fetch_json(server, "/hosts/h1", method="DELETE")
            await client.wait_for(lambda: not server.read())

    asyncio.run(check())


def test_transfers_share_the_bandwidth():
    async def check():
        store = weights.WeightStore(bytes_per_s=1000, weights={"m/1": 100})
        async with client.run_server(store) as server:
            start = time.monotonic()
            calls = [client.fetch_json(server, "/weights/m/1") for _ in range(3)]
            for response in await asyncio.gather(*calls):
                assert response == (200, {"name": "m", "version": "1", "bytes": 100})
            assert time.monotonic() - start >= 0.3
            assert (await client.fetch_json(server, "/weights/m/2"))[0] == 404

    asyncio.run(check())


def test_service_confirms_and_counts():
    async def check():
        async with client.run_server(service.Service()) as server:
            headers = {"X-Request-Id": "r", "Idempotency-Key": "k"}
            _, body = await client.fetch_json(
                server, CONFIRM, {"a": 1}, headers=headers
            )
            assert body == {"confirmed": {"a": 1}, "run": 1}
            _, body = await client.fetch_json(server, "/x/y", {"b": 2}, "PUT", headers)
            assert (body["method"], body["path"]) == ("PUT", "/x/y")
            _, runs = await client.fetch_json(server, "/runs")
            assert runs == {"runs": {"r": 2}, "keys": {"k": 2}}

    asyncio.run(check())


def test_faults_affect_the_chosen_requests():
    """A service is down, slow or loses responses, for a number of requests or a path.

    A request whose response is lost must have taken effect.
    """

    async def check():
        async with client.run_server(service.Service()) as server:
            fault = {"kind": "down", "count": 1, "path": CONFIRM}
            await client.fetch_json(server, "/fault", fault)
            assert (await client.fetch_json(server, "/other"))[0] == 200
            assert (await client.fetch_json(server, CONFIRM, {}))[0] == 503
            assert (await client.fetch_json(server, CONFIRM, {}))[0] == 200
            await client.fetch_json(server, "/fault", {"kind": "lose_answer"})
            assert (await client.fetch_json(server, CONFIRM, {}))[0] == 599
            assert server.total == 3
            await client.fetch_json(server, "/fault", {"kind": "clear"})
            await client.fetch_json(server, "/fault", {"kind": "slow", "seconds": 0.1})
            start = time.monotonic()
            assert (await client.fetch_json(server, CONFIRM, {}))[0] == 200
            assert time.monotonic() - start >= 0.1
            assert (await client.fetch_json(server, "/fault", {"kind": "odd"}))[
                0
            ] == 400

    asyncio.run(check())


def test_freeze_silences_only_the_open_connections():
    """A host loses its connection state: open connections stay but carry no data.

    Requests on new connections must be served.
    """

    async def check():
        async with client.run_server(service.Service()) as server:
            call = client.fetch(server, CONFIRM, {"hold_s": 0.05}, timeout=0.5)
            pending = asyncio.create_task(call)
            await client.wait_for(lambda: server.total == 1)
            await client.fetch_json(server, "/fault", {"kind": "freeze"})
            assert (await client.fetch_json(server, CONFIRM, {}))[0] == 200
            response = await pending
            assert response.code == 599 and "Timeout" in str(response.error)

    asyncio.run(check())


def test_process_prints_its_address_and_exits_on_sigterm():
    command = [sys.executable, "-m", "pimentowick.fakes", "log", "--set"]
    process = subprocess.Popen(
        [*command, "retention_s=5"], stdout=subprocess.PIPE, text=True
    )
    line = json.loads(process.stdout.readline())
    assert line["listening"].startswith("127.0.0.1:")
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=10) == 0
    assert process.stdout.read() == ""
