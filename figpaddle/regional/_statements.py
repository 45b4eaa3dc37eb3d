"""Tells the entry that forwarded a request how many attempts are used for it."""

from __future__ import annotations

from figpaddle.errors import ConnectionLostError
from figpaddle.http1 import Responder
from figpaddle.regional._exchange import CallerGoneError
from figpaddle.regional._forwarding import (
    PROCESSING,
    encode_silence,
    encode_statement,
    interim_headers,
)
from figpaddle.regional._request_context import RequestContext


async def state_attempts(
    context: RequestContext,
    responder: Responder,
    *,
    in_progress: bool,
    silent_s: float | None = None,
) -> None:
    """Tell the entry that forwarded a request how many attempts are used here.

    ``in_progress`` is whether another one is about to be made, or is in progress. ``silent_s`` is for how
    long the server of the present one is silent, if no other place here can take the request: that entry
    may offer it elsewhere then. Before the answer has begun it is told nothing until such a silence, unless it
    only offers the request, and nothing twice: a statement ends its offer. One that takes turns is told of each
    silence, within a stream too. Raises CallerGoneError.
    """
    used = context.attempts_used(in_progress=in_progress)
    if used is None:
        return
    try:
        if responder.started:
            await _state_in_stream(context, responder, used, silent_s=silent_s)
            return
        is_silent = silent_s is not None
        is_awaited = is_silent or context.is_offered or context.informed is not None
        if context.reads_interim and is_awaited:
            begins_turn = is_silent and context.takes_turns
            if context.informed == (used, is_silent) and not begins_turn:
                return
            context.informed = used, is_silent
            await responder.inform(PROCESSING, interim_headers(used, silent_s=silent_s))
    except ConnectionLostError as error:
        raise CallerGoneError(what="the caller closed the connection", where="caller") from error


async def _state_in_stream(
    context: RequestContext, responder: Responder, used: int, *, silent_s: float | None
) -> None:
    key = context.statement_key
    if key and silent_s is None:
        await responder.write(encode_statement(key, used))
    elif key and silent_s is not None and context.takes_turns:
        await responder.write(encode_silence(key, silent_s=silent_s))
