"""Draw the curves of docs/POLICY.md: ``python -m benchmarks.plot_policy``."""

import pathlib

from matplotlib import pyplot

from benchmarks import policy_runs

__all__ = ["run"]

DIRECTORY = pathlib.Path(__file__).parent.parent / "docs"
SIMULATED_S = 40.0
SIMULATIONS_AT_ONCE = 3
TRAFFIC = ("steady", "bursty")
SETTINGS = {
    "fixed": (0, 2, 4, 8, 16),
    "yielding": (0.0, 0.125, 0.25, 0.5, 1.0),
    "additive": (0.05, 0.15, 0.3, 0.5),
    "gradient": (0.02, 0.05, 0.15, 0.3),
    "model": (0.02, 0.04, 0.08, 0.12, 0.2, 0.3),
    "setting": ("averse", "throughput"),
}
PLACES = (1, 2, 4, 8, 16, 32)


def run():
    """Run the settings and draw the plots."""
    pyplot.switch_backend("Agg")
    # The same run draws the same file.
    pyplot.rcParams["svg.hashsalt"] = "policy"
    cases = {("alone",): (policy_runs.Policy("fixed", 32), None, SIMULATED_S)}
    for traffic in TRAFFIC:
        shape = policy_runs.TRAFFIC[traffic]
        none = policy_runs.POLICIES["none"]
        cases[traffic, "none"] = (none, shape, SIMULATED_S)
        for kind, values in SETTINGS.items():
            for value in values:
                policy = policy_runs.Policy(kind, value)
                cases[traffic, kind, value] = (policy, shape, SIMULATED_S)
    bursty = policy_runs.TRAFFIC["bursty"]
    for places in PLACES:
        policy = policy_runs.Policy("setting", "averse", max_batch=places)
        cases["places", places] = (policy, bursty, SIMULATED_S)
    rows = policy_runs.run_many(policy_runs.simulate, cases, SIMULATIONS_AT_ONCE)
    outcome = rows["alone",].outcome
    rate = outcome.batch_tokens / outcome.duration_s
    draw_harm(rows, rate)
    draw_places(rows, rate)


def draw_harm(rows, rate):
    """Draw harm to online against harvest for each kind of limiter."""
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, traffic in zip(axes, TRAFFIC, strict=True):
        none = rows[traffic, "none"]
        for kind, values in SETTINGS.items():
            chosen = [rows[traffic, kind, value] for value in values]
            x = [row.compute_harvest(rate, none) for row in chosen]
            y = [row.compute_ratios(none, "gap_ms")[2] for row in chosen]
            style = "k*" if kind == "setting" else "o-"
            axis.plot(x, y, style, label=kind, markersize=9 if kind == "setting" else 4)
        axis.axhline(1.05, color="grey", linewidth=0.5)
        axis.axhline(1.15, color="grey", linewidth=0.5)
        axis.set(title=traffic, xlabel="harvest of what online leaves", ylim=(0.95, 2))
    axes[0].set_ylabel("between tokens, p99, ratio to no batch")
    axes[0].legend()
    _save(figure, "policy-harm.svg")


def draw_places(rows, rate):
    """Draw what the places for batch cost the first tokens of a burst."""
    none = rows["bursty", "none"]
    chosen = [rows["places", places] for places in PLACES]
    x = [row.compute_free_harvest(rate) for row in chosen]
    ratios = [row.compute_ratios(none, "burst_ms") for row in chosen]
    figure, axis = pyplot.subplots(figsize=(5, 4))
    for index, name in enumerate(("p50", "p95", "p99")):
        axis.plot(x, [ratio[index] for ratio in ratios], "o-", label=name)
    for places, at, ratio in zip(PLACES, x, ratios, strict=True):
        axis.annotate(str(places), (at, ratio[0]))
        print(places, f"{at:.2f}", " ".join(f"{r:.2f}" for r in ratio))
    axis.set(
        xlabel="harvest of the time without online (labels: max_batch)",
        ylabel="first token of a burst, ratio to no batch",
    )
    axis.legend()
    _save(figure, "policy-burst.svg")


def _save(figure, name):
    figure.tight_layout()
    figure.savefig(DIRECTORY / name, metadata={"Date": None})
    print(f"Wrote docs/{name}.")


if __name__ == "__main__":
    run()
