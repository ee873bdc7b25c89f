"""Tests of experiments against an embedded deployment."""

import asyncio

from pimentowick.fakes import embedded, engine
from pimentowick.load import __main__ as load_main
from pimentowick.load import experiment, report

EXPERIMENT = {
    "duration_s": 1.0,
    "traffic": [
        {
            "name": "calm",
            "workspace": "a",
            "model": embedded.MODEL,
            "arrival": {"kind": "steady", "rate": 20},
            "max_tokens": 6,
        },
        {
            "name": "burst",
            "workspace": "b",
            "model": embedded.MODEL,
            "arrival": {"kind": "burst", "rate": 40, "on_s": 0.3, "off_s": 0.3},
            "prompt": {"prefixes": 3},
            "max_tokens": 6,
        },
    ],
    "batch": [
        {"name": "night", "workspace": "a", "model": embedded.MODEL, "items": 20}
    ],
}


def check_text(prompt, max_tokens, text):
    return text == engine.make_expected_text(f"user: {prompt}", max_tokens)


def test_experiment_is_answered_and_reported():
    async def run():
        fleet = embedded.EmbeddedDeployment()
        try:
            await fleet.start()
            definition = experiment.Experiment.model_validate(EXPERIMENT)
            entries = [entry.address for entry in fleet.entries.values()]
            return await load_main.run_experiment(
                definition, entries, fleet.tokens, check_text
            )
        finally:
            await fleet.close()

    results = asyncio.run(run())
    assert results["traffic"]["calm"]["outcomes"] == {"answered": 20}
    assert set(results["traffic"]["burst"]["outcomes"]) == {"answered"}
    assert results["jobs"]["night"]["request_counts"]["total"] == 20
    assert any(line.startswith("calm: 20") for line in report.format_report(results))
