import asyncio

from pimentowick.fakes import platform_site, replica, wait

CAPACITY = 10_000_000
BODY = b"x" * 2_000_000
POLL_S = 0.01
WAIT_S = 20.0


async def open_bounded_site(check):
    server = replica.Replica(slots=30)
    server.holds_last_event = True
    async with platform_site.open_site([server], memory_mb=4000.0) as site:
        gateway = site.gateways[0]
        # The resident memory of a test process varies; the capacity is set here.
        gateway._supervisor.stop_child("resources")
        budget = gateway._caller_server.held.budget
        budget.capacity = CAPACITY
        async with asyncio.timeout(3 * WAIT_S):
            await check(site, server, budget)


def send(site, number, body):
    name = f"r{number}"
    return asyncio.create_task(
        site.call("POST", "/chat/", body, X_Pimentowick_Request_Id=name)
    )


def test_bodies_beyond_the_memory_are_refused_and_have_not_run():
    # Guards against a gateway that is killed by the bodies that wait for a target.
    async def check(site, server, budget):
        large = [send(site, number, BODY) for number in range(12)]
        await wait.wait_for(
            lambda: sum(task.done() for task in large) + server.running == 12,
            WAIT_S,
            POLL_S,
        )
        assert server.running == 4
        assert budget.held <= CAPACITY
        small = [send(site, 100 + number, b"small") for number in range(10)]
        await wait.wait_for(lambda: server.running == 14, WAIT_S, POLL_S)
        server.release.set()
        responses = await asyncio.gather(*large, *small)
        served = [each for each in responses if each.status == 200]
        refused = [each for each in responses if each.status == 503]
        assert len(served) == 14
        assert len(refused) == 8
        assert all(b'"not_run"' in each.body for each in refused)
        assert all(float(each.headers["Retry-After"]) > 0 for each in refused)
        assert sum(server.runs.values()) == 14
        await wait.wait_for(lambda: not budget.held, WAIT_S, POLL_S)
        # The refused ones may return.
        again = await asyncio.gather(*(send(site, 200 + n, BODY) for n in range(3)))
        assert [each.status for each in again] == [200] * 3

    asyncio.run(open_bounded_site(check))


def test_metrics_show_what_is_held_and_the_levels():
    # Guards against a limit that operators cannot see.
    async def check(site, server, budget):
        resources = site.gateways[0].resources
        resources.observe(resources._counters.observed_at + 1.0)
        held = send(site, 1, BODY)
        await wait.wait_for(lambda: server.running == 1, WAIT_S, POLL_S)
        gateway = site.gateways[0]
        gateway.metrics.set_state(gateway._collect_state())
        text = gateway.metrics.render()[0].decode()
        assert 'pimentowick_gateway_held_bytes{kind="request"} 2000000' in text
        assert 'pimentowick_gateway_resource_level{resource="memory"} 0' in text
        assert 'pimentowick_gateway_resource_use{resource="memory"}' in text
        assert 'pimentowick_gateway_connections{peer="targets"} 1' in text
        server.release.set()
        await held

    asyncio.run(open_bounded_site(check))
