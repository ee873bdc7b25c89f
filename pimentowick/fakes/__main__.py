"""Runs one fake server as a process."""

import argparse
import asyncio
import json
import signal

from pimentowick.fakes import engine, hosts, log, service, weights

__all__ = ["run"]

KINDS = {
    "engine": engine.Engine,
    "hosts": hosts.HostList,
    "log": log.Log,
    "service": service.Service,
    "weights": weights.WeightStore,
}


def parse_setting(text):
    """Return name and value of ``name=value``; the value is JSON or a plain string."""
    name, separator, value = text.partition("=")
    if not separator:
        raise argparse.ArgumentTypeError(f"not name=value: {text!r}")
    try:
        return name, json.loads(value)
    except ValueError:
        return name, value


def make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m pimentowick.fakes")
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument(
        "--set", dest="settings", type=parse_setting, action="append", default=[]
    )
    return parser


async def serve(fake):
    """Start a fake, print its address and serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await fake.start()
    print(json.dumps({"listening": fake.address}), flush=True)
    await stopped.wait()
    await fake.close()


def run(arguments=None):
    """Run the fake given on the command line."""
    parser = make_parser()
    options = parser.parse_args(arguments)
    try:
        fake = KINDS[options.kind](options.port, **dict(options.settings))
    except TypeError as error:
        parser.error(str(error))
    asyncio.run(serve(fake))


if __name__ == "__main__":
    run()
