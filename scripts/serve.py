"""Start a deployment on loopback as separate processes, until interrupted."""

import argparse
import asyncio
import pathlib
import signal

from pimentowick.cli import secret
from pimentowick.fakes import deployment

__all__ = ["serve"]

ROOT = pathlib.Path(__file__).resolve().parents[1]
ENVIRONMENT = "environment"


def write_access(fleet, directory):
    """Write how the fleet is reached, for ``. DIRECTORY/environment`` in a shell.

    Tokens go into files that only their owner can read, not to the terminal.
    """
    directory.mkdir(parents=True, exist_ok=True)
    directory = directory.resolve()
    secret.write_secret(directory / "operator.token", fleet.operator_token)
    for name, token in fleet.workspace_tokens.items():
        secret.write_secret(directory / f"{name}.token", token)
    entries = ",".join(entry.address for entry in fleet.entries)
    part = directory / f"{ENVIRONMENT}.part"
    part.write_text(
        f"export PIMENTOWICK_ENTRIES={entries}\n"
        f"export PIMENTOWICK_TOKEN=$(cat '{directory}/operator.token')\n",
        encoding="utf-8",
    )
    # Renamed at the end: whoever waits for the file finds all of it.
    part.rename(directory / ENVIRONMENT)


async def serve(path, directory, empty):
    """Start the deployment and print how to reach it.

    Args:
        path: Path of the deployment's description.
        directory: Where the tokens and the file ``environment`` go.
        empty: Whether to leave template and workspaces to the operator.
    """
    fleet = deployment.Deployment(deployment.load_topology(path), log_level="INFO")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        await fleet.start()
        if not empty:
            await fleet.publish()
        for name, process in fleet.processes.items():
            print(f"{name:<24} {process.address}")
        write_access(fleet, directory)
        print(f"In a shell: . {directory / ENVIRONMENT}", flush=True)
        await stopped.wait()
    finally:
        await fleet.close()


def main():
    """Serve from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default=str(ROOT / "deployments/bajio.yaml"))
    parser.add_argument(
        "--directory",
        type=pathlib.Path,
        required=True,
        help="new directory for the tokens and the file to source in a shell",
    )
    parser.add_argument(
        "--empty", action="store_true", help="publish no template and no workspace"
    )
    options = parser.parse_args()
    asyncio.run(serve(options.deployment, options.directory, options.empty))


if __name__ == "__main__":
    main()
