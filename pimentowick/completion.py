"""The bodies of completions, as OpenAI's clients write and read them."""

import time

import pydantic

from pimentowick import exception, verdict
from pimentowick import web as http_web

__all__ = [
    "describe_validation_error",
    "make_chat_body",
    "make_chat_chunk",
    "make_text_body",
    "make_text_chunk",
    "parse_generation",
    "render_messages",
]

DEFAULT_MAX_TOKENS = 64


class _Part(pydantic.BaseModel):
    type: str
    text: str | None = None


class _Message(pydantic.BaseModel):
    role: str
    content: str | list[_Part] | None = None


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    model: str = pydantic.Field(min_length=1)
    messages: list[_Message] | None = pydantic.Field(None, min_length=1)
    prompt: str | None = None
    adapter: str | None = None
    max_tokens: int | None = pydantic.Field(None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(None, ge=1)
    stream: bool = False


def parse_generation(data, workspace):
    """Return model, adapter, prompt and max_tokens of a request's body.

    Args:
        data: The body, a dictionary.
        workspace: `pimentowick.configuration.workspace.Workspace` of the caller.

    Raises:
        RefusedError: The body is wrong, or asks for what the workspace hasn't got.
    """
    try:
        body = _Body.model_validate(data)
    except pydantic.ValidationError as error:
        raise http_web.make_input_error(
            describe_validation_error(error) + "."
        ) from error
    use = workspace.models.get(body.model)
    if use is None:
        raise _refuse_unknown("model", body.model, workspace.models)
    if body.adapter is not None and body.adapter not in use.adapters:
        raise _refuse_unknown("adapter", body.adapter, use.adapters)
    wanted = body.max_tokens or body.max_completion_tokens
    return {
        "model": body.model,
        "adapter": body.adapter,
        "prompt": _get_prompt(body),
        "max_tokens": min(wanted or DEFAULT_MAX_TOKENS, use.max_tokens),
    }


def _get_prompt(body):
    if body.messages is not None:
        return render_messages(body.messages)
    if body.prompt is not None:
        return body.prompt
    raise http_web.make_input_error("messages: Field required (or prompt).")


def render_messages(messages):
    """Return the prompt text of a list of messages."""
    lines = []
    for message in messages:
        content = message.content or ""
        if isinstance(content, list):
            content = "".join(part.text or "" for part in content)
        lines.append(f"{message.role}: {content}")
    return "\n".join(lines)


def _refuse_unknown(kind, name, known):
    names = ", ".join(sorted(known)) or "none"
    return exception.RefusedError(
        verdict.Refusal(
            404,
            f"unknown_{kind}",
            f"This workspace has no {kind} {name!r}. It has: {names}.",
        )
    )


def describe_validation_error(error):
    """Return the first fault of a pydantic error as one clause."""
    fault = error.errors()[0]
    place = ".".join(str(part) for part in fault["loc"])
    return f"{place}: {fault['msg']}" if place else fault["msg"]


def _make_base(request_id, model, kind):
    return {
        "id": request_id,
        "object": kind,
        "created": int(time.time()),
        "model": model,
    }


def _make_usage(prompt, tokens):
    # Only the engine's tokenizer knows; words are the nearest that is known here.
    prompt_tokens = len(prompt.split())
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def make_chat_body(request_id, generation, text, finish_reason, tokens):
    """Return the whole answer to a chat completion."""
    body = _make_base(request_id, generation["model"], "chat.completion")
    message = {"role": "assistant", "content": text}
    body["choices"] = [{"index": 0, "message": message, "finish_reason": finish_reason}]
    body["usage"] = _make_usage(generation["prompt"], tokens)
    return body


def make_text_body(request_id, generation, text, finish_reason, tokens):
    """Return the whole answer to a text completion."""
    body = _make_base(request_id, generation["model"], "text_completion")
    choice = {
        "index": 0,
        "text": text,
        "finish_reason": finish_reason,
        "logprobs": None,
    }
    body["choices"] = [choice]
    body["usage"] = _make_usage(generation["prompt"], tokens)
    return body


def make_chat_chunk(request_id, generation, text, finish_reason=None):
    """Return one event of a streamed chat completion."""
    body = _make_base(request_id, generation["model"], "chat.completion.chunk")
    delta = {"role": "assistant", "content": text} if text else {}
    body["choices"] = [{"index": 0, "delta": delta, "finish_reason": finish_reason}]
    return body


def make_text_chunk(request_id, generation, text, finish_reason=None):
    """Return one event of a streamed text completion."""
    body = _make_base(request_id, generation["model"], "text_completion")
    choice = {
        "index": 0,
        "text": text,
        "finish_reason": finish_reason,
        "logprobs": None,
    }
    body["choices"] = [choice]
    return body
