"""Start a deployment on loopback as separate processes, until interrupted."""

import argparse
import asyncio
import pathlib
import signal

from pimentowick.fakes import deployment

ROOT = pathlib.Path(__file__).resolve().parents[1]


async def serve(path):
    """Start the deployment and print how to reach it."""
    fleet = deployment.Deployment(deployment.load_topology(path), log_level="INFO")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        await fleet.start()
        await fleet.publish()
        for name, process in fleet.processes.items():
            print(f"{name:<24} {process.address}")
        print(f"operator token           {fleet.operator_token}")
        for name, token in fleet.workspace_tokens.items():
            print(f"token of {name:<15} {token}", flush=True)
        await stopped.wait()
    finally:
        await fleet.close()


def main():
    """Serve from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default=str(ROOT / "deployments/bajio.yaml"))
    asyncio.run(serve(parser.parse_args().deployment))


if __name__ == "__main__":
    main()
