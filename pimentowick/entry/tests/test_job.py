"""The batch API of entries, without failures."""

from pimentowick.fakes import embedded, engine


def test_job_completes_and_its_results_are_readable():
    async def check(fleet):
        answer = await fleet.submit(embedded.make_job_lines(40), "k")
        assert answer.status == 202
        job = answer.decode()
        again = await fleet.submit(embedded.make_job_lines(40), "k", entry="entry-1")
        assert again.decode()["id"] == job["id"]
        other = await fleet.submit(embedded.make_job_lines(41), "k")
        assert other.status == 409
        await fleet.wait_for_job(job["id"], entry="entry-1")
        results = await fleet.read_results(job["id"], entry="entry-1")
        assert len(results) == 40
        for result in results:
            body = result["response"]["body"]
            expected = engine.make_expected_text(f"user: {result['custom_id']}", 4)
            assert body["choices"][0]["message"]["content"] == expected
        hidden = await fleet.fetch(
            "GET", f"/v1/batches/{job['id']}", token=fleet.tokens["b"]
        )
        assert hidden.status == 404

    embedded.run(check)


def test_invalid_lines_are_reported_and_nothing_is_stored():
    async def check(fleet):
        lines = embedded.make_job_lines(3) + b'\n{"custom_id": "x"'
        answer = await fleet.submit(lines, "k")
        assert answer.status == 400
        assert answer.decode()["error"]["message"].startswith("Line 4: ")
        assert answer.decode()["error"]["verdict"] == "not_run"
        good = await fleet.submit(embedded.make_job_lines(3), "k")
        assert good.status == 202

    embedded.run(check)


def test_cancelled_job_stops():
    async def check(fleet):
        answer = await fleet.submit(embedded.make_job_lines(200, 50), "k")
        job_id = answer.decode()["id"]
        engines = [fleet.targets["lm-0"], fleet.targets["lm-1"]]
        await fleet.wait_for(lambda: any(each.runs for each in engines))
        path = f"/v1/batches/{job_id}/cancel"
        cancelled = await fleet.fetch("POST", path, {}, entry="entry-1")
        assert cancelled.decode()["status"] == "cancelled"
        runs = [dict(each.runs) for each in engines]
        done = cancelled.decode()["request_counts"]["completed"]
        await fleet.submit(embedded.make_job_lines(20, prefix="next"), "next")
        job = await fleet.fetch("GET", f"/v1/batches/{job_id}")
        assert job.decode()["request_counts"]["completed"] == done
        for before, each in zip(runs, engines, strict=True):
            started = {name for name in each.runs if name.startswith(job_id)}
            assert started == {name for name in before if name.startswith(job_id)}

    embedded.run(check)
