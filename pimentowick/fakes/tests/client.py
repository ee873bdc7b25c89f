import asyncio
import contextlib
import json

from tornado import httpclient


@contextlib.asynccontextmanager
async def run_server(fake):
    await fake.start()
    try:
        yield fake
    finally:
        await fake.close()


async def fetch(fake, path, body=None, method=None, headers=None, timeout=5.0):
    url = f"http://{fake.address}{path}"
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=1000)
    try:
        return await client.fetch(
            url,
            method=method or ("GET" if body is None else "POST"),
            body=None if body is None else json.dumps(body),
            headers=headers,
            request_timeout=timeout,
            raise_error=False,
        )
    # Raised for timeouts and closed connections even if raise_error is false.
    except httpclient.HTTPError as error:
        request = httpclient.HTTPRequest(url)
        return httpclient.HTTPResponse(request, error.code, error=error)
    finally:
        client.close()


async def fetch_json(fake, path, body=None, method=None, headers=None):
    response = await fetch(fake, path, body, method, headers)
    return response.code, json.loads(response.body) if response.buffer else None


async def generate(engine, request_id, prompt, max_tokens, **fields):
    body = {"request_id": request_id, "attempt": 1, "model": "model"}
    body |= {"prompt": prompt, "max_tokens": max_tokens, **fields}
    response = await fetch(engine, "/generate", body)
    return response.code, [json.loads(line) for line in response.body.splitlines()]


async def wait_for(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.001)
