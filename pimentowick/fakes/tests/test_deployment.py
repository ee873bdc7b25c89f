import asyncio

from pimentowick.fakes import deployment, wait


def test_process_whose_start_is_given_up_does_not_outlive_it(monkeypatch):
    # A test that starts crashed engines again ends while one is starting. Left behind,
    # the process would run on after the test run, with its port and memory.
    started = []
    create = asyncio.create_subprocess_exec

    async def record(*arguments, **options):
        started.append(await create(*arguments, **options))
        return started[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", record)

    async def run():
        fleet = deployment.Deployment({"entries": 0, "targets": []})
        silent = ["-c", "import time; time.sleep(600)"]
        starting = asyncio.create_task(fleet._spawn("x", silent))
        await wait.wait_for(lambda: started, 10, 0.01)
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        assert started[0].returncode is not None

    asyncio.run(run())
