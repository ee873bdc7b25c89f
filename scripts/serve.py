"""Start a deployment on loopback as separate processes, until interrupted."""

import argparse
import asyncio
import pathlib
import signal

from pimentowick.cli import secret
from pimentowick.fakes import deployment

__all__ = ["serve"]

ROOT = pathlib.Path(__file__).resolve().parents[1]
ENVIRONMENT_FILE = "environment"


def write_connection_files(fleet, directory):
    """Write the tokens and a file of environment variables for a shell to source.

    Tokens are not printed but written to files that only their owner can read.
    """
    directory.mkdir(parents=True, exist_ok=True)
    directory = directory.resolve()
    secret.write_secret(directory / "operator.token", fleet.operator_token)
    for name, token in fleet.workspace_tokens.items():
        secret.write_secret(directory / f"{name}.token", token)
    entries = ",".join(entry.address for entry in fleet.entries)
    temporary = directory / f"{ENVIRONMENT_FILE}.part"
    temporary.write_text(
        f"export PIMENTOWICK_ENTRIES={entries}\n"
        f"export PIMENTOWICK_TOKEN=$(cat '{directory}/operator.token')\n",
        encoding="utf-8",
    )
    # Renamed when complete, since scripts wait until the file exists.
    temporary.rename(directory / ENVIRONMENT_FILE)


async def serve(path, directory, empty):
    """Start the deployment, print the addresses of its processes and wait for a signal.

    Args:
        path: Path of the deployment file.
        directory: Directory for the tokens and the file ``environment``.
        empty: Whether to publish no template and no workspaces.
    """
    fleet = deployment.Deployment(deployment.load_topology(path), log_level="INFO")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        await fleet.start()
        if not empty:
            await fleet.publish()
        for name, process in fleet.processes.items():
            print(f"{name:<24} {process.address}")
        write_connection_files(fleet, directory)
        print(f"In a shell: . {directory / ENVIRONMENT_FILE}", flush=True)
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
