"""Decoding of requests and encoding of answers of the engine stand-in."""

import json
from typing import NamedTuple

from cranberrywick.prompts import measure_prompt
from cranberrywick.standin.engine_core import Generation, Prompt
from cranberrywick.standin.server import Request

__all__ = ["NO_EVENT", "StreamFaults", "event", "read_prompt", "whole_answer"]

# Length of the answer to a request that sets no limit.
DEFAULT_OUTPUT_TOKENS = 16
# Stands for "no event". Neither -2 nor the number after it, -1, is an event's
# number: `EngineStandIn` compares with the number of the event before, too.
NO_EVENT = -2


class StreamFaults(NamedTuple):
    """Faults of one streamed answer, each with the number of the event it affects."""

    drop_after: int = NO_EVENT
    cut_after: int = NO_EVENT
    skip: int = NO_EVENT
    repeat: int = NO_EVENT
    cross: int = NO_EVENT
    no_usage: bool = False


def read_prompt(request: Request, body: dict) -> Prompt:
    """Return the prompt that a request's headers and parsed JSON body describe."""
    measured = measure_prompt(body)
    limited = "max_tokens" in body or "max_completion_tokens" in body
    imports = request.headers.get("x-cache-id", "")
    return Prompt(
        request_id=request.headers.get("x-request-id", ""),
        attempt=int(request.headers.get("x-attempt", "1")),
        owner=request.headers.get("x-owner", ""),
        prefix_keys=measured.prefix_keys,
        prompt_tokens=measured.tokens,
        output_tokens=measured.max_output_tokens if limited else DEFAULT_OUTPUT_TOKENS,
        priority=int(request.headers.get("x-priority", "0")),
        imports=tuple(imports.split(",")) if imports else (),
    )


def event(generation: Generation, number: int, faults: StreamFaults) -> bytes:
    """Return server-sent event ``number``, which carries token ``number``.

    The event after the last token carries the finish reason and the token count.
    """
    prompt = generation.prompt
    stream_id = "another.1" if number == faults.cross else prompt.stream_id
    chunk = {"id": stream_id, "object": "chat.completion.chunk"}
    if number < prompt.output_tokens:
        choice = {"index": 0, "delta": {"content": f"w{number} "}}
        chunk["choices"] = [{**choice, "finish_reason": None}]
    else:
        chunk["choices"] = [{"index": 0, "delta": {}, "finish_reason": "length"}]
        if not faults.no_usage:
            chunk["usage"] = _usage(prompt)
    return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()


def whole_answer(generation: Generation) -> dict:
    """Return the JSON body of an answer that is not streamed."""
    prompt = generation.prompt
    content = "".join(f"w{number} " for number in range(prompt.output_tokens))
    message = {"role": "assistant", "content": content}
    return {
        "id": prompt.stream_id,
        "object": "chat.completion",
        "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
        "usage": _usage(prompt),
    }


def _usage(prompt: Prompt) -> dict:
    return {
        "prompt_tokens": prompt.prompt_tokens,
        "completion_tokens": prompt.output_tokens,
        "total_tokens": prompt.prompt_tokens + prompt.output_tokens,
    }
