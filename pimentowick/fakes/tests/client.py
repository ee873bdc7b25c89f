import asyncio
import contextlib
import json

from tornado import httpclient


@contextlib.asynccontextmanager
async def run(stand_in):
    await stand_in.start()
    try:
        yield stand_in
    finally:
        await stand_in.close()


async def fetch(stand_in, path, body=None, method=None, headers=None, timeout=5.0):
    url = f"http://{stand_in.address}{path}"
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
    # The client raises these whatever raise_error says: no answer came.
    except httpclient.HTTPError as error:
        request = httpclient.HTTPRequest(url)
        return httpclient.HTTPResponse(request, error.code, error=error)
    finally:
        client.close()


async def ask(stand_in, path, body=None, method=None, headers=None):
    answer = await fetch(stand_in, path, body, method, headers)
    return answer.code, json.loads(answer.body) if answer.buffer else None


async def generate(engine, request_id, prompt, max_tokens, **fields):
    body = {"request_id": request_id, "attempt": 1, "model": "model"}
    body |= {"prompt": prompt, "max_tokens": max_tokens, **fields}
    answer = await fetch(engine, "/generate", body)
    return answer.code, [json.loads(line) for line in answer.body.splitlines()]


async def wait_for(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.001)
