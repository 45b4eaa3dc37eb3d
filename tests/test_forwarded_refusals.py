"""What a refusal by another region's entry says of the request that was forwarded there."""

from __future__ import annotations

import pytest

from figpaddle.http1 import ResponseHead
from figpaddle.regional._forwarded_attempts import _decode_forwarded_answer
from figpaddle.regional._forwarding import NOT_RUN, OUTCOME_FIELD
from figpaddle.regional.tests.test_request_context import context
from tests.scripted_exchange import DIALECT

REFUSAL = ResponseHead(status=429, headers=((OUTCOME_FIELD, NOT_RUN), (b"Retry-After", b"2.5")))


@pytest.mark.parametrize(("is_offer", "over_quota_s"), [(False, 2.5), (True, None)])
def test_a_full_quota_elsewhere_ends_a_request_but_not_for_an_offer(
    is_offer: bool, over_quota_s: float | None
) -> None:
    request = context(last_event="")
    answer = _decode_forwarded_answer(DIALECT, REFUSAL, request, is_offer=is_offer)
    assert answer.not_run and request.over_quota_s == over_quota_s
