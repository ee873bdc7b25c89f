"""Execution of experiments against the entries of a fleet."""

import asyncio
import random
import time

import orjson

from pimentowick import client as http_client
from pimentowick import exception, verdict
from pimentowick.load import experiment as load_experiment
from pimentowick.load import report

__all__ = ["Runner"]

CHAT_PATH = "/v1/chat/completions"
IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 1000


class Runner:
    """Sends the traffic of an experiment and measures the responses.

    Args:
        experiment: `pimentowick.load.experiment.Experiment`.
        entries: Addresses of entries, ``IP:port``, used in round-robin order.
        tokens: Dictionary of workspace names to tokens.
        is_correct: Function of the prompt, max_tokens and response text that returns
            whether the response is correct, or None to accept all complete responses.
    """

    def __init__(self, experiment, entries, tokens, is_correct=None):
        self.samples = []
        self.jobs = {}
        self._experiment = experiment
        self._entries = entries
        self._tokens = tokens
        self._is_correct = is_correct
        self._client = http_client.Client(MAX_CONNECTIONS)
        self._entry_counter = 0

    async def start(self):
        """Open the connection pool."""
        await self._client.start()

    async def close(self):
        """Close the connection pool."""
        await self._client.close()

    async def run(self):
        """Run the experiment and return the report."""
        started_at = time.monotonic()
        jobs = [await self._submit(batch) for batch in self._experiment.batch]
        senders = [self._send_all(traffic) for traffic in self._experiment.traffic]
        await asyncio.gather(*senders)
        for batch, job_id in zip(self._experiment.batch, jobs, strict=True):
            self.jobs[batch.name] = await self._fetch_job(batch, job_id)
        return report.make_report(
            self.samples, self.jobs, time.monotonic() - started_at
        )

    def _get_entry(self):
        self._entry_counter += 1
        return self._entries[self._entry_counter % len(self._entries)]

    def _make_headers(self, workspace, **fields):
        return {"Authorization": f"Bearer {self._tokens[workspace]}", **fields}

    async def _send_all(self, traffic):
        # Each stream has its own generator, so that its arrivals are reproducible.
        rng = random.Random(f"{self._experiment.seed}/{traffic.name}")
        prompts = load_experiment.make_prompts(traffic.prompt)
        arrival = load_experiment.make_arrival(traffic.arrival)
        started_at = time.monotonic()
        tasks = []
        for arrival_s in arrival.generate(rng, self._experiment.duration_s):
            prompt = prompts.make(rng)
            await asyncio.sleep(max(0.0, started_at + arrival_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(traffic, prompt)))
        await asyncio.gather(*tasks)

    async def _send(self, traffic, prompt):
        sample = report.Sample(traffic.name, "answered")
        started_at = time.monotonic()
        try:
            text = await self._read(traffic, prompt, sample, started_at)
        except http_client.TransportError as error:
            sample.outcome = "no_answer"
            sample.verdict = str(error.verdict)
        except exception.RefusedError as error:
            sample.outcome = error.refusal.code
            sample.verdict = str(error.refusal.verdict)
        else:
            if self._is_correct and not self._is_correct(
                prompt, traffic.max_tokens, text
            ):
                sample.outcome = "wrong"
        sample.total_s = time.monotonic() - started_at
        self.samples.append(sample)

    async def _read(self, traffic, prompt, sample, started_at):
        body = {
            "model": traffic.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": traffic.max_tokens,
            "stream": True,
        }
        stream = self._client.open_stream(
            "POST",
            self._get_entry(),
            CHAT_PATH,
            body,
            self._make_headers(traffic.workspace),
            timeout_s=self._experiment.timeout_s,
            idle_s=IDLE_TIMEOUT_S,
        )
        texts = []
        previous = None
        while True:
            lines = await stream.read_lines()
            if not lines:
                raise exception.RefusedError(_make_truncation_refusal())
            now = time.monotonic()
            if _parse_events(lines, texts):
                return "".join(texts)
            if previous is None:
                sample.first_token_s = now - started_at
            else:
                sample.gaps_s.append(now - previous)
            previous = now
            sample.tokens += len(lines)

    async def _submit(self, batch):
        rng = random.Random(f"{self._experiment.seed}/{batch.name}")
        prompts = load_experiment.make_prompts(load_experiment.PromptSettings())
        rows = []
        for number in range(batch.items):
            messages = [{"role": "user", "content": prompts.make(rng)}]
            body = {
                "model": batch.model,
                "messages": messages,
                "max_tokens": batch.max_tokens,
            }
            rows.append(orjson.dumps({"custom_id": str(number), "body": body}))
        key = f"{batch.name}-{time.time_ns()}"
        headers = self._make_headers(batch.workspace, **{"Idempotency-Key": key})
        response = await self._client.fetch(
            "POST",
            self._get_entry(),
            "/v1/batches",
            b"\n".join(rows),
            headers,
            timeout_s=self._experiment.timeout_s,
        )
        if response.status != 202:
            raise exception.ValidationError(response.body.decode())
        return response.decode()["id"]

    async def _fetch_job(self, batch, job_id):
        response = await self._client.fetch(
            "GET",
            self._get_entry(),
            f"/v1/batches/{job_id}",
            headers=self._make_headers(batch.workspace),
        )
        return response.decode()


def _parse_events(lines, texts):
    """Append the tokens of event lines to `texts`; return whether the stream ended.

    Raises:
        RefusedError: An event is a refusal.
    """
    for line in lines:
        data = line.removeprefix(b"data: ")
        if data == b"[DONE]":
            return True
        event = orjson.loads(data)
        if "error" in event:
            raise exception.RefusedError(verdict.Refusal.from_dict(event))
        texts.append(event["choices"][0]["delta"].get("content") or "")
    return False


def _make_truncation_refusal():
    return verdict.Refusal(
        502, "broken", "The answer broke off.", verdict.Verdict.MAY_HAVE_RUN
    )
