"""Features of a chat completion's prompt for placement."""

from __future__ import annotations

import json
from typing import Any

from figpaddle.routing import DEFAULT_OUTPUT_TOKENS, prompt_shape
from figpaddle.wire import PromptShape


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
    return prompt_shape(
        "\n".join(contents),
        output_tokens=max_tokens if isinstance(max_tokens, int) else DEFAULT_OUTPUT_TOKENS,
        body_bytes=len(data),
        streamed=document.get("stream") is True,
    )
