"""The measures of a prompt that are available before it runs: length and prefix."""

from hashlib import blake2b
from typing import NamedTuple

from cranberrywick.errors import InvalidRequest

__all__ = ["PREFIX_BLOCK_TOKENS", "Prompt", "measure_prompt"]

# Average number of bytes in a token: byte-pair vocabularies come close to four for
# European text. The cost estimate learns a correction for each organisation from
# outcomes.
BYTES_PER_TOKEN = 4

# Number of tokens in a block of a prefix. Engines cache prefixes in blocks too; the
# sizes need not agree, since keys only show which requests have a prefix in common.
PREFIX_BLOCK_TOKENS = 1_024

# Number of leading blocks that get a key. 32 are enough to distinguish instructions and
# rulebooks; hashing more of a prompt of a million tokens would not improve placement.
MAX_PREFIX_BLOCKS = 32

DIGEST_BYTES = 8
DEFAULT_MAX_OUTPUT_TOKENS = 512


class Prompt(NamedTuple):
    """A prompt's estimated length in tokens, and digests of its leading blocks."""

    tokens: int
    max_output_tokens: int
    prefix_keys: tuple[str, ...]


def measure_prompt(document: dict) -> Prompt:
    """Return the measures of a chat completion's body, already parsed from JSON.

    Raises `InvalidRequest` that names the field if one is missing or has the wrong
    type.

    >>> measure_prompt({"messages": [{"role": "user", "content": "four"}]}).tokens
    1
    """
    text = "\n".join(_contents(document.get("messages"))).encode()
    return Prompt(
        tokens=max(1, len(text) // BYTES_PER_TOKEN),
        max_output_tokens=_max_output_tokens(document),
        prefix_keys=_prefix_keys(text),
    )


def _contents(messages: object) -> list[str]:
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest("messages: a list of at least one message is needed")
    return [_content(message, index) for index, message in enumerate(messages)]


def _content(message: object, index: int) -> str:
    if not isinstance(message, dict):
        raise InvalidRequest(f"messages[{index}]: an object is needed")
    content = message.get("content")
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_part_text(part, index) for part in content)
    raise InvalidRequest(f"messages[{index}].content: text is needed")


def _part_text(part: object, index: int) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return part["text"]
    raise InvalidRequest(f"messages[{index}].content: only text parts are served")


def _max_output_tokens(document: dict) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = document.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise InvalidRequest(f"{name}: a whole number above 0 is needed")
        return value
    return DEFAULT_MAX_OUTPUT_TOKENS


def _prefix_keys(text: bytes) -> tuple[str, ...]:
    block_bytes = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN
    n_blocks = min(MAX_PREFIX_BLOCKS, len(text) // block_bytes)
    digest = blake2b(digest_size=DIGEST_BYTES)
    keys = []
    for index in range(n_blocks):
        digest.update(text[index * block_bytes : (index + 1) * block_bytes])
        keys.append(digest.hexdigest())
    return tuple(keys)
