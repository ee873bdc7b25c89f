"""End-to-end tests with separate processes and the OpenAI client library."""

import asyncio
import importlib.util
import pathlib

import openai
import pytest

from pimentowick.fakes import deployment, engine

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOYMENTS = ["bajio", "nordland"]


def load_demo():
    spec = importlib.util.spec_from_file_location("demo", ROOT / "scripts" / "demo.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_job_completes_when_an_agent_is_killed(name):
    """An agent is killed while its target runs items of a job and online requests.

    No item is lost or completed twice, and no online request fails.
    """
    problems = asyncio.run(load_demo().run(ROOT / "deployments" / f"{name}.yaml"))
    assert problems == []


def test_stock_openai_client():
    asyncio.run(run_stock_client())


async def run_stock_client():
    topology = deployment.load_topology(ROOT / "deployments" / "bajio.yaml")
    topology["entries"] = 1
    topology["targets"][0]["replicas"] = 1
    topology["targets"][1]["replicas"] = 1
    fleet = deployment.Deployment(topology)
    try:
        await fleet.start()
        await fleet.publish()
        client = openai.AsyncOpenAI(
            base_url=f"http://{fleet.entries[0].address}/v1",
            api_key=fleet.workspace_tokens["feria-norte"],
            max_retries=0,
        )
        await check_answers(client)
        await check_errors(client)
        await client.close()
    finally:
        await fleet.close()


async def check_answers(client):
    messages = [{"role": "user", "content": "Which stands are free?"}]
    expected = engine.make_expected_text("user: Which stands are free?", 12)
    whole = await client.chat.completions.create(
        model="asistente-lm", messages=messages, max_tokens=12
    )
    assert whole.choices[0].message.content == expected
    assert whole.usage.completion_tokens == 12
    stream = await client.chat.completions.create(
        model="asistente-lm", messages=messages, max_tokens=12, stream=True
    )
    parts = [chunk.choices[0] async for chunk in stream]
    assert "".join(part.delta.content or "" for part in parts) == expected
    assert parts[-1].finish_reason == "length"
    text = await client.completions.create(
        model="asistente-lm", prompt="Hall plan", max_tokens=5
    )
    assert text.choices[0].text == engine.make_expected_text("Hall plan", 5)
    models = await client.models.list()
    assert [model.id for model in models.data] == ["asistente-lm"]


async def check_errors(client):
    with pytest.raises(openai.NotFoundError) as caught:
        await client.completions.create(model="other", prompt="x")
    assert caught.value.code == "unknown_model"
    with pytest.raises(openai.AuthenticationError):
        await client.with_options(api_key="wrong.token").models.list()
