"""What the body of a chat completion tells its placement."""

from __future__ import annotations

import json
from typing import Any

from figpaddle.routing import DEFAULT_OUTPUT_TOKENS, prompt_shape
from figpaddle.wire import PromptShape


def shape_of_chat(data: bytes) -> PromptShape:
    """Return the shape of the prompt in a body that is known to be a JSON object."""
    plain: Any = json.loads(data)
    messages = plain.get("messages")
    contents = [
        str(item.get("content", ""))
        for item in (messages if isinstance(messages, list) else [])
        if isinstance(item, dict)
    ]
    limit = plain.get("max_tokens")
    return prompt_shape(
        "\n".join(contents),
        output_tokens=limit if isinstance(limit, int) else DEFAULT_OUTPUT_TOKENS,
        body_bytes=len(data),
        streamed=plain.get("stream") is True,
    )
