"""TLS: which peers are accepted, and that no secrets are logged."""

import asyncio

import pytest
import trustme
from cleo.io.inputs import argv_input
from cleo.io.outputs import buffered_output
from loguru import logger

from pimentowick import client as http_client
from pimentowick import exception, settings, tls
from pimentowick import web as http_web
from pimentowick.cli import application
from pimentowick.entry import daemon
from pimentowick.fakes import embedded
from pimentowick.fakes import hosts as fake_hosts
from pimentowick.fakes import log as fake_log


def write_certificate(directory, name, authority, address="127.0.0.1"):
    issued = authority.issue_cert(address, common_name=name)
    issued.private_key_pem.write_to_path(directory / f"{name}.key")
    issued.cert_chain_pems[0].write_to_path(directory / f"{name}.pem")


def make_tls_fields(directory, name, authority="fleet"):
    return {
        "certificate": str(directory / f"{name}.pem"),
        "key": str(directory / f"{name}.key"),
        "authority": str(directory / f"{authority}.pem"),
    }


@pytest.fixture(scope="module")
def certificate_dir(tmp_path_factory):
    directory = tmp_path_factory.mktemp("keys")
    fleet, other = trustme.CA(), trustme.CA()
    fleet.cert_pem.write_to_path(directory / "fleet.pem")
    other.cert_pem.write_to_path(directory / "other.pem")
    write_certificate(directory, "host", fleet)
    write_certificate(directory, "stranger", other)
    write_certificate(directory, "elsewhere", fleet, "127.0.0.9")
    return directory


def run(certificate_dir, check, **entry_settings):
    async def run_check():
        files = {"tls": make_tls_fields(certificate_dir, "host")}
        fleet = embedded.EmbeddedDeployment(
            entry_settings={**files, **entry_settings}, agent_settings=files
        )
        fleet.caller_client = http_client.Client(
            tls=tls.ClientTls(str(certificate_dir / "fleet.pem"))
        )
        try:
            await fleet.caller_client.start()
            await fleet.start()
            await check(fleet)
        finally:
            await fleet.close()
            await fleet.caller_client.close()

    lines = []
    sink = logger.add(lines.append, level="TRACE", serialize=True)
    try:
        asyncio.run(run_check())
    finally:
        logger.remove(sink)
    return "".join(lines)


async def fetch_with(client_tls, address, path, method="GET"):
    client = http_client.Client(tls=client_tls)
    await client.start()
    try:
        return await client.fetch(method, address, path, timeout_s=2.0)
    finally:
        await client.close()


def test_requests_over_tls_log_no_secrets(certificate_dir, tmp_path):
    tokens = []

    async def check(fleet):
        tokens.extend([fleet.operator_token, *fleet.tokens.values()])
        answer = await fleet.chat("Which stands are free?")
        assert answer.status == 200
        job = (await fleet.submit(embedded.make_job_lines(20), "k")).decode()
        await fleet.wait_for_job(job["id"], entry="entry-1")
        unauthorized = await fleet.fetch(
            "GET", "/v1/models", token="no.secret-of-a-caller"
        )
        assert unauthorized.status == 401
        arguments = ["pimentowick", "fleet", "status", "--json"]
        arguments.append(f"--entry={fleet.entries['entry-0'].address}")
        (tmp_path / "token").write_text(fleet.operator_token)
        arguments.append(f"--token-file={tmp_path / 'token'}")
        output = buffered_output.BufferedOutput()
        codes = []
        for options in ([], [f"--authority={certificate_dir / 'fleet.pem'}"]):
            command_input = argv_input.ArgvInput([*arguments, *options])
            code = await asyncio.to_thread(
                application.run_command, command_input, output, output
            )
            codes.append(code)
        assert codes == [4, 0]

    log = run(certificate_dir, check)
    assert "listens" in log
    for secret in [*tokens, "no.secret-of-a-caller"]:
        assert secret.partition(".")[2] not in log
    assert "PRIVATE KEY" not in log


def test_agents_and_peer_paths_require_a_fleet_certificate(certificate_dir):
    """Clients without a certificate of the fleet's authority call internal paths.

    They could otherwise send work to targets without admission control, drain hosts
    or stop jobs. A certificate of another authority is not accepted either.
    """

    async def check(fleet):
        caller = tls.ClientTls(str(certificate_dir / "fleet.pem"))
        stranger = tls.ClientTls(
            str(certificate_dir / "fleet.pem"),
            str(certificate_dir / "stranger.pem"),
            str(certificate_dir / "stranger.key"),
        )
        peer = tls.make_client_tls(
            settings.TlsSettings(**make_tls_fields(certificate_dir, "host"))
        )
        agent = fleet.agents["agent-lm-0"].address
        entry = fleet.entries["entry-0"].address
        for refused in (None, caller, stranger):
            for path in ("/work", "/heartbeat", "/drain", "/health"):
                with pytest.raises(http_client.TransportError):
                    await fetch_with(refused, agent, path, "POST")
        assert not fleet.agents["agent-lm-0"].shutdown_requests.requested
        assert (await fetch_with(peer, agent, "/ready")).status == 200
        assert (await fetch_with(caller, entry, "/health")).status == 200
        assert (await fetch_with(peer, entry, "/peer/version")).status == 200
        for path, method in (("/peer/version", "GET"), ("/peer/stop-job", "POST")):
            answer = await fetch_with(caller, entry, path, method)
            assert answer.decode()["error"]["code"] == "no_certificate"

    run(certificate_dir, check)


@pytest.mark.parametrize("trusted", [[], ["127.0.0.1"]])
def test_forwarded_address_is_audited_for_trusted_proxies_only(
    certificate_dir, trusted
):
    """A caller cancels a job with a forged X-Forwarded-For header.

    The header is used only if the request comes from a trusted proxy.
    """

    async def check(fleet):
        lines = embedded.make_job_lines(200, 100)
        job = (await fleet.submit(lines, "k")).decode()
        path = f"/v1/batches/{job['id']}/cancel"
        headers = {"X-Forwarded-For": "192.0.2.7"}
        await fleet.fetch("POST", path, {}, headers=headers)
        trail = await fleet.fetch("GET", "/v1/audit?kind=cancel")
        (event,) = trail.decode()["audit"]
        assert event["client"] == ("192.0.2.7" if trusted else "127.0.0.1")

    run(certificate_dir, check, trusted_proxies=trusted)


def test_platform_connections_may_use_tls(certificate_dir):
    async def check():
        files = make_tls_fields(certificate_dir, "host")
        context = tls.make_entry_context(settings.TlsSettings(**files))
        fakes = (fake_log.Log(), fake_hosts.HostList())
        servers = [
            http_web.Server(each.make_application(), ssl_context=context)
            for each in fakes
        ]
        for server in servers:
            await server.start()
        fleet = embedded.EmbeddedDeployment(entries=1, engines=0, services=0)
        await fleet.client.start()
        platform = {"log": servers[0].address, "hosts": servers[1].address}
        entry = daemon.Entry(
            settings.EntrySettings(
                name="entry-0",
                failure_domain="here",
                platform={**platform, "tls": files},
            )
        )
        await entry.start()
        try:
            await fleet.wait_for(lambda: entry.is_ready and entry.fleet.hosts_read_at)
        finally:
            await entry.close()
            for server in servers:
                await server.close()
            await fleet.client.close()

    asyncio.run(check())


def test_server_must_hold_a_certificate_for_its_address(certificate_dir):
    """A server presents a certificate of the fleet that is for another address.

    The client must not send its token to it; the verdict is not_run.
    """

    async def check():
        files = make_tls_fields(certificate_dir, "elsewhere")
        fleet = embedded.EmbeddedDeployment(entries=1, engines=0, services=0)
        await fleet.log.start()
        await fleet.hosts.start()
        await fleet.client.start()
        fleet._entry_settings["tls"] = files
        entry = await fleet.add_entry("entry-0")
        try:
            caller = tls.ClientTls(str(certificate_dir / "fleet.pem"))
            with pytest.raises(http_client.TransportError) as caught:
                await fetch_with(caller, entry.address, "/health")
            assert caught.value.verdict == "not_run"
        finally:
            await fleet.close()

    asyncio.run(check())


@pytest.mark.parametrize("part", ["certificate", "key", "authority"])
def test_invalid_tls_file_is_named_in_the_error(certificate_dir, part):
    files = make_tls_fields(certificate_dir, "host")
    files[part] = str(certificate_dir / "names")
    with pytest.raises(exception.SettingsError, match="names"):
        tls.make_client_tls(settings.TlsSettings(**files))
