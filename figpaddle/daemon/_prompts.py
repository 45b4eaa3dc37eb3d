"""Features of a chat completion's prompt for placement."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from typing import Any

from figpaddle.routing import DEFAULT_OUTPUT_TOKENS, prompt_shape
from figpaddle.wire import PromptShape

#: Largest number of messages of a prompt that may be quarantined.
MAX_SHARED_PARTS = 64


def chat_prompt_shape(data: bytes) -> PromptShape:
    """Return the shape of the prompt; ``data`` must be a JSON object."""
    document: Any = json.loads(data)
    messages = document.get("messages")
    contents = [
        str(item.get("content", ""))
        for item in (messages if isinstance(messages, list) else [])
        if isinstance(item, dict)
    ]
    max_tokens = document.get("max_tokens")
    shape = prompt_shape(
        "\n".join(contents),
        output_tokens=max_tokens if isinstance(max_tokens, int) else DEFAULT_OUTPUT_TOKENS,
        body_bytes=len(data),
        streamed=document.get("stream") is True,
    )
    # The last message is the request's own; those before it may be in other prompts too.
    shared_parts = dict.fromkeys(
        hashlib.blake2b(content.encode(), digest_size=12).digest()
        for content in contents[:-1][:MAX_SHARED_PARTS]
    )
    return dataclasses.replace(shape, shared_parts=tuple(shared_parts))
