import asyncio

from pimentowick.fakes import deployment, wait


def test_cancelled_start_kills_the_process(monkeypatch):
    # A test may end while it restarts a crashed engine. An orphaned process would keep
    # its port and memory after the test run.
    started = []
    create = asyncio.create_subprocess_exec

    async def record(*arguments, **options):
        started.append(await create(*arguments, **options))
        return started[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", record)

    async def run():
        fleet = deployment.Deployment({"entries": 0, "targets": []})
        arguments = ["-c", "import time; time.sleep(600)"]
        starting = asyncio.create_task(fleet._spawn("x", arguments))
        await wait.wait_for(lambda: started, 10, 0.01)
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        assert started[0].returncode is not None

    asyncio.run(run())
