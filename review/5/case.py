"""A gateway is stopped while it answers streams on kept connections."""

import asyncio
import pathlib
import random
import signal
import time

import harness

CLIENTS = 12
REQUESTS = 2
GRACE_S = 8
LAST_EXCUSED_S = 3
STREAM = "/cotiza/"
DEADLINE_MS = 5000
# 42 events, one each tenth of a second: below the timeout and the pause of the route.
EVENTS = 42
INTERVAL_S = 0.1
# Between the first requests of two clients.
STAGGER_S = 0.05


class Client:
    """A client that keeps its connection for as long as the answers allow."""

    def __init__(self, case, number):
        self.case = case
        self.number = number
        self.answered = 0
        self.cut = []

    async def run(self, gateway):
        """Send requests on one connection until it is closed or asked to close."""
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        try:
            for count in range(1, REQUESTS + 1):
                request_id = f"c{self.number:02d}n{count}"
                lines = [
                    f"POST {STREAM}{self.number} HTTP/1.1",
                    f"Host: {harness.HOST}",
                    f"X-Pimentowick-Request-Id: {request_id}",
                    "X-Pimentowick-Model: m",
                    "X-Pimentowick-Token-Usage: 450,100",
                    f"X-Pimentowick-Deadline-Ms: {DEADLINE_MS}",
                    "Content-Length: 2",
                    "",
                    "{}",
                ]
                sent_at = time.monotonic()
                writer.write("\r\n".join(lines).encode())
                self.case.record.write(f"client {self.number} sends {request_id}")
                try:
                    answer = await harness.read_answer(reader)
                except harness.Broken:
                    took_s = time.monotonic() - sent_at
                    self.cut.append((request_id, sent_at, took_s))
                    self.case.record.write(f"{request_id} is cut after {took_s:.2f} s")
                    return
                self.answered += 1
                self.case.record.write(
                    f"{request_id} gets {answer.status}, Connection "
                    f"{answer.headers.get('connection')}, "
                    f"{time.monotonic() - sent_at:.2f} s after it was sent"
                )
                if answer.headers.get("connection") == "close":
                    return
                await asyncio.sleep(random.uniform(0.0, 0.05))
        except OSError as error:
            self.case.record.write(f"client {self.number}: {error!r}")
        finally:
            writer.close()


async def check(case, trouble):
    """Run the case; return how the rule was broken, or None."""
    await case.start([harness.make_route(STREAM, "stream", max_attempts=1)])
    replicas = [
        await case.start_replica(f"i-{n}", events=EVENTS, interval_s=INTERVAL_S)
        for n in range(3)
    ]
    gateway = await case.start_gateway(1)
    await case.start_gateway(2)
    await asyncio.sleep(0.5)
    clients = [Client(case, number) for number in range(CLIENTS)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.run(gateway)))
        await asyncio.sleep(STAGGER_S)
    # Each client has the head of its first answer.
    await asyncio.sleep(0.3)
    stopped_at = time.monotonic()
    if trouble:
        gateway.process.signal(signal.SIGTERM)
        case.record.write("gateway 1 gets SIGTERM")
    await asyncio.wait(tasks, timeout=GRACE_S + 4)
    if trouble:
        async with asyncio.timeout(GRACE_S):
            await gateway.process.process.wait()
        case.record.write("gateway 1 has ended")
    ran = {line.split()[1] for each in replicas for line in each.find("runs ")}
    cut = [row for client in clients for row in client.cut if row[0] in ran]
    counted = [
        row
        for row in cut
        if row[1] - stopped_at > LAST_EXCUSED_S and row[2] < DEADLINE_MS / 1000 - 0.2
    ]
    answered = sum(client.answered for client in clients)
    case.record.write(
        f"{answered} requests answered; {len(cut)} passed on to a replica and cut, "
        f"{len(counted)} of them sent later than {LAST_EXCUSED_S} s after the SIGTERM"
    )
    for request_id, sent_at, took_s in counted:
        case.record.write(
            f"{request_id} was sent {sent_at - stopped_at:.2f} s after the SIGTERM and "
            f"cut after {took_s:.2f} s"
        )
    if counted:
        return f"LOST: {len(counted)} requests were passed on and cut, around a SIGTERM"
    if not answered:
        raise harness.Failed("no request was answered")
    return None


harness.run(pathlib.Path(__file__).parent, check)
