"""Draw the plots of docs/POLICY.md: ``python -m benchmarks.plot_policy``."""

import pathlib

from matplotlib import pyplot

from benchmarks import policy_runs

__all__ = ["run"]

DIRECTORY = pathlib.Path(__file__).parent.parent / "docs"
SIMULATED_S = 40.0
SIMULATION_WORKERS = 3
TRAFFIC = ("steady", "bursty")
POLICY_VALUES = {
    "fixed": (0, 2, 4, 8, 16),
    "yielding": (0.0, 0.125, 0.25, 0.5, 1.0),
    "additive": (0.05, 0.15, 0.3, 0.5),
    "gradient": (0.02, 0.05, 0.15, 0.3),
    "model": (0.02, 0.04, 0.08, 0.12, 0.2, 0.3),
    "setting": ("averse", "throughput"),
}
BATCH_SLOTS = (1, 2, 4, 8, 16, 32)


def run():
    """Run the policies with all settings and draw the plots."""
    pyplot.switch_backend("Agg")
    # Makes the element ids, and so the whole file, reproducible.
    pyplot.rcParams["svg.hashsalt"] = "policy"
    cases = {("alone",): (policy_runs.Policy("fixed", 32), None, SIMULATED_S)}
    for traffic in TRAFFIC:
        shape = policy_runs.TRAFFIC[traffic]
        no_batch = policy_runs.POLICIES["none"]
        cases[traffic, "none"] = (no_batch, shape, SIMULATED_S)
        for kind, values in POLICY_VALUES.items():
            for value in values:
                policy = policy_runs.Policy(kind, value)
                cases[traffic, kind, value] = (policy, shape, SIMULATED_S)
    bursty = policy_runs.TRAFFIC["bursty"]
    for slots in BATCH_SLOTS:
        policy = policy_runs.Policy("setting", "averse", max_batch=slots)
        cases["slots", slots] = (policy, bursty, SIMULATED_S)
    rows = policy_runs.run_many(policy_runs.simulate, cases, SIMULATION_WORKERS)
    outcome = rows["alone",].outcome
    rate = outcome.batch_tokens / outcome.duration_s
    draw_latency_ratios(rows, rate)
    draw_burst_latency(rows, rate)


def draw_latency_ratios(rows, rate):
    """Draw the latency ratio of online against batch throughput for each limiter."""
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, traffic in zip(axes, TRAFFIC, strict=True):
        no_batch = rows[traffic, "none"]
        for kind, values in POLICY_VALUES.items():
            policy_rows = [rows[traffic, kind, value] for value in values]
            x = [row.compute_utilization(rate, no_batch) for row in policy_rows]
            y = [row.compute_ratios(no_batch, "gap_ms")[2] for row in policy_rows]
            style = "k*" if kind == "setting" else "o-"
            axis.plot(x, y, style, label=kind, markersize=9 if kind == "setting" else 4)
        axis.axhline(1.05, color="grey", linewidth=0.5)
        axis.axhline(1.15, color="grey", linewidth=0.5)
        axis.set(title=traffic, xlabel="harvest of what online leaves", ylim=(0.95, 2))
    axes[0].set_ylabel("between tokens, p99, ratio to no batch")
    axes[0].legend()
    _save(figure, "policy-harm.svg")


def draw_burst_latency(rows, rate):
    """Draw the time to first token in a burst against the number of batch slots."""
    no_batch = rows["bursty", "none"]
    policy_rows = [rows["slots", slots] for slots in BATCH_SLOTS]
    x = [row.compute_free_utilization(rate) for row in policy_rows]
    ratios = [row.compute_ratios(no_batch, "burst_ms") for row in policy_rows]
    figure, axis = pyplot.subplots(figsize=(5, 4))
    for index, name in enumerate(("p50", "p95", "p99")):
        axis.plot(x, [ratio[index] for ratio in ratios], "o-", label=name)
    for slots, at, ratio in zip(BATCH_SLOTS, x, ratios, strict=True):
        axis.annotate(str(slots), (at, ratio[0]))
        print(slots, f"{at:.2f}", " ".join(f"{r:.2f}" for r in ratio))
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
