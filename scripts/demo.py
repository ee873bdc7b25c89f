"""The main job on an embedded deployment: ``make demo``.

Starts a deployment on loopback, sends online requests and a batch job generated from
the text of docs/, kills an agent while they run, and checks that every item completed
exactly once and every online request was answered correctly.
"""

import argparse
import asyncio
import json
import pathlib
import random
import sys
import time

from pimentowick.fakes import deployment, engine

__all__ = ["run"]

ROOT = pathlib.Path(__file__).resolve().parents[1]
ITEMS = 300
ONLINE_CALLS = 60
CONFIRMED_CALLS = 10
MAX_TOKENS = 24
TIMEOUT_S = 120.0
SEED = 7


def read_sentences(count):
    """Return `count` sentences from the pages of docs/."""
    pages = [path.read_text(encoding="utf-8") for path in (ROOT / "docs").glob("*.md")]
    text = " ".join(" ".join(pages).split())
    sentences = [part.strip() for part in text.split(". ") if len(part) > 20]
    random.Random(SEED).shuffle(sentences)
    return [f"{i}: {sentences[i % len(sentences)]}" for i in range(count)]


def make_lines(model, sentences):
    """Return the JSON lines of a batch job."""
    lines = []
    for number, sentence in enumerate(sentences):
        messages = [{"role": "user", "content": f"Summarise: {sentence}"}]
        body = {"model": model, "messages": messages, "max_tokens": MAX_TOKENS}
        lines.append(json.dumps({"custom_id": f"item-{number}", "body": body}))
    return "\n".join(lines).encode()


def make_expected_answer(content):
    """Return the text that the fake engine generates for one user message."""
    return engine.make_expected_text(f"user: {content}", MAX_TOKENS)


async def send_chat(fleet, model, token, sentence, number):
    """Send one chat request and check its response.

    Returns:
        Description of the problem, or None.
    """
    content = f"Answer: {sentence}"
    body = {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": MAX_TOKENS,
    }
    path = "/v1/chat/completions"
    answer = await fleet.fetch(number, "POST", path, body, token, timeout_s=30.0)
    if answer.status != 200:
        return f"online call {number}: {answer.status} {answer.body.decode()}"
    text = answer.decode()["choices"][0]["message"]["content"]
    if text != make_expected_answer(content):
        return f"online call {number}: the response does not match the prompt"
    return None


async def send_confirmation(fleet, service, token, number):
    """Send one call with an idempotency key.

    Returns:
        Description of the problem, or None.
    """
    headers = {"Idempotency-Key": f"stand-{number}", "Content-Type": "application/json"}
    path = f"/v1/services/{service}/confirm"
    body = {"stand": number}
    answer = await fleet.fetch(number, "POST", path, body, token, headers=headers)
    return None if answer.status == 200 else f"call {number}: {answer.body.decode()}"


async def submit_twice(fleet, token, lines):
    """Submit the batch job twice with one idempotency key, as a retrying client does.

    Returns:
        Id of the job.

    Raises:
        SystemExit: If a submission is refused, or the submissions create two jobs.
    """
    headers = {"Idempotency-Key": "nightly"}
    ids = set()
    for number in range(2):
        answer = await fleet.fetch(
            number, "POST", "/v1/batches", lines, token, headers=headers
        )
        if answer.status != 202:
            raise SystemExit(
                f"The job was refused with status {answer.status}: "
                f"{answer.body.decode()}"
            )
        ids.add(answer.decode()["id"])
    if len(ids) != 1:
        raise SystemExit(f"One idempotency key created several jobs: {ids}")
    return ids.pop()


async def wait_for_job(fleet, token, job_id, min_ended):
    """Wait until at least `min_ended` items of the job have ended; return the job."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        answer = await fleet.fetch(0, "GET", f"/v1/batches/{job_id}", token=token)
        job = answer.decode()
        counts = job["request_counts"]
        if counts["completed"] + counts["failed"] >= min_ended:
            return job
        if time.monotonic() > deadline:
            raise SystemExit(
                f"Fewer than {min_ended} items ended within {TIMEOUT_S:g} s: {job}"
            )
        await asyncio.sleep(0.1)


async def check_results(fleet, token, job_id, sentences):
    """Return descriptions of missing, duplicate, failed and wrong results."""
    path = f"/v1/batches/{job_id}/results"
    answer = await fleet.fetch(1, "GET", path, token=token)
    results = [json.loads(line) for line in answer.body.splitlines()]
    problems = []
    seen = set()
    for result in results:
        number = int(result["custom_id"].removeprefix("item-"))
        if number in seen:
            problems.append(f"item {number} completed twice")
        seen.add(number)
        if result["response"] is None:
            problems.append(f"item {number} failed: {result['error']}")
            continue
        message = result["response"]["body"]["choices"][0]["message"]
        if message["content"] != make_expected_answer(
            f"Summarise: {sentences[number]}"
        ):
            problems.append(
                f"item {number} has a response that does not match its prompt"
            )
    problems.extend(f"item {n} is missing" for n in range(ITEMS) if n not in seen)
    return problems


def start_calls(fleet, model, service):
    """Start the online requests of all workspaces and return their tasks."""
    tokens = list(fleet.workspace_tokens.values())
    calls = [
        send_chat(fleet, model, tokens[i % len(tokens)], sentence, i)
        for i, sentence in enumerate(read_sentences(ONLINE_CALLS))
    ]
    calls += [
        send_confirmation(fleet, service, tokens[0], i) for i in range(CONFIRMED_CALLS)
    ]
    return [asyncio.create_task(call) for call in calls]


async def run(path):
    """Run the demo on a deployment file and return descriptions of problems."""
    topology = deployment.load_topology(path)
    model = next(t["service"] for t in topology["targets"] if t["kind"] == "engine")
    service = next(t["service"] for t in topology["targets"] if t["kind"] == "service")
    fleet = deployment.Deployment(topology)
    started_at = time.monotonic()
    try:
        await fleet.start()
        await fleet.publish()
        count = len(fleet.processes)
        print(f"{count} processes run after {time.monotonic() - started_at:.1f} s.")
        token = next(iter(fleet.workspace_tokens.values()))
        sentences = read_sentences(ITEMS)
        job_id = await submit_twice(fleet, token, make_lines(model, sentences))
        print(f"Job {job_id} with {ITEMS} items is accepted, once for two submissions.")
        calls = start_calls(fleet, model, service)
        await wait_for_job(fleet, token, job_id, ITEMS // 4)
        killed_agent = f"agent-{model}-0"
        await fleet.kill(killed_agent)
        print(f"Killed {killed_agent} with work in flight.")
        problems = [problem for problem in await asyncio.gather(*calls) if problem]
        print(f"{len(calls) - len(problems)} of {len(calls)} online calls answered.")
        job = await wait_for_job(fleet, token, job_id, ITEMS)
        print(f"The job is {job['status']}: {job['request_counts']}.")
        problems += await check_results(fleet, token, job_id, sentences)
        print(f"It took {time.monotonic() - started_at:.1f} s in all.")
        return problems
    finally:
        await fleet.close()


def main():
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", default=str(ROOT / "deployments/bajio.yaml"))
    problems = asyncio.run(run(parser.parse_args().deployment))
    for problem in problems:
        print(f"FAULT: {problem}")
    print("Not all is well." if problems else "Every item once, every call answered.")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
