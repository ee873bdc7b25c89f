"""Request and response bodies of OpenAI-compatible completions."""

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


class _ContentPart(pydantic.BaseModel):
    type: str
    text: str | None = None


class _Message(pydantic.BaseModel):
    role: str
    content: str | list[_ContentPart] | None = None


class _CompletionRequest(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    model: str = pydantic.Field(min_length=1)
    messages: list[_Message] | None = pydantic.Field(None, min_length=1)
    prompt: str | None = None
    adapter: str | None = None
    max_tokens: int | None = pydantic.Field(None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(None, ge=1)
    stream: bool = False


def parse_generation(data, workspace):
    """Return the model, adapter, prompt and max_tokens of a completion request.

    Args:
        data: Decoded request body, a dictionary.
        workspace: `pimentowick.configuration.workspace.Workspace` of the caller.

    Raises:
        RefusedError: The body is invalid, or the workspace lacks the model or adapter.
    """
    try:
        body = _CompletionRequest.model_validate(data)
    except pydantic.ValidationError as error:
        raise http_web.make_input_error(
            describe_validation_error(error) + "."
        ) from error
    policy = workspace.models.get(body.model)
    if policy is None:
        raise _make_unknown_name_error("model", body.model, workspace.models)
    if body.adapter is not None and body.adapter not in policy.adapters:
        raise _make_unknown_name_error("adapter", body.adapter, policy.adapters)
    requested_tokens = body.max_tokens or body.max_completion_tokens
    return {
        "model": body.model,
        "adapter": body.adapter,
        "prompt": _get_prompt(body),
        "max_tokens": min(requested_tokens or DEFAULT_MAX_TOKENS, policy.max_tokens),
    }


def _get_prompt(body):
    if body.messages is not None:
        return render_messages(body.messages)
    if body.prompt is not None:
        return body.prompt
    raise http_web.make_input_error("messages: Field required (or prompt).")


def render_messages(messages):
    """Return the messages joined into one prompt, one line per message."""
    lines = []
    for message in messages:
        content = message.content or ""
        if isinstance(content, list):
            content = "".join(part.text or "" for part in content)
        lines.append(f"{message.role}: {content}")
    return "\n".join(lines)


def _make_unknown_name_error(kind, name, known_names):
    names = ", ".join(sorted(known_names)) or "none"
    return exception.RefusedError(
        verdict.Refusal(
            404,
            f"unknown_{kind}",
            f"This workspace has no {kind} {name!r}. It has: {names}.",
        )
    )


def describe_validation_error(error):
    """Return the location and message of the first error in a pydantic error."""
    first_error = error.errors()[0]
    location = ".".join(str(part) for part in first_error["loc"])
    return f"{location}: {first_error['msg']}" if location else first_error["msg"]


def _make_common_fields(request_id, model, kind):
    return {
        "id": request_id,
        "object": kind,
        "created": int(time.time()),
        "model": model,
    }


def _make_usage(prompt, tokens):
    # Approximated by words, as the engine's tokenizer is not available here.
    prompt_tokens = len(prompt.split())
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def make_chat_body(request_id, generation, text, finish_reason, tokens):
    """Return the response body of a chat completion."""
    body = _make_common_fields(request_id, generation["model"], "chat.completion")
    message = {"role": "assistant", "content": text}
    body["choices"] = [{"index": 0, "message": message, "finish_reason": finish_reason}]
    body["usage"] = _make_usage(generation["prompt"], tokens)
    return body


def make_text_body(request_id, generation, text, finish_reason, tokens):
    """Return the response body of a text completion."""
    body = _make_common_fields(request_id, generation["model"], "text_completion")
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
    """Return one chunk of a streamed chat completion."""
    body = _make_common_fields(request_id, generation["model"], "chat.completion.chunk")
    delta = {"role": "assistant", "content": text} if text else {}
    body["choices"] = [{"index": 0, "delta": delta, "finish_reason": finish_reason}]
    return body


def make_text_chunk(request_id, generation, text, finish_reason=None):
    """Return one chunk of a streamed text completion."""
    body = _make_common_fields(request_id, generation["model"], "text_completion")
    choice = {
        "index": 0,
        "text": text,
        "finish_reason": finish_reason,
        "logprobs": None,
    }
    body["choices"] = [choice]
    return body
