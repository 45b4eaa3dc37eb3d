"""Messages about quotas of workspaces, between entries and voters and among voters."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaItem:
    """What an entry asks for one request, or ahead of later ones."""

    workspace: str
    #: Cost of a request that waits; 0 for none.
    cost: float
    #: Cost asked for beyond that.
    ahead: float
    #: Time for which the request waits, seconds.
    waits_s: float


@message("regional.quota_ask")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaAsk(Message):
    """Asks a voter for amounts of quotas."""

    #: Name of the entry, and its number of the question.
    sender: str
    number: int
    #: When the entry's process started, milliseconds of Unix time.
    incarnation: int
    items: tuple[QuotaItem, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaResult:
    """Answer to one item of a QuotaAsk."""

    #: Index of the item.
    item: int
    #: Amounts, and the time left to spend each, seconds.
    amounts: tuple[float, ...] = ()
    lives_s: tuple[float, ...] = ()
    #: Whether nothing is left, and the time until there is enough again, seconds.
    refused: bool = False
    refill_s: float = 0.0
    #: Whether the voter knows no such quota, or may grant none.
    unknown: bool = False


@message("regional.quota_grant")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaGrant(Message):
    """Answers some items of a QuotaAsk; without any, it says that they wait for loans."""

    #: Name of the voter.
    sender: str
    #: Number of the question, and the start of the process that asked it.
    number: int
    incarnation: int
    results: tuple[QuotaResult, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaLoanItem:
    """An amount of one workspace's quota."""

    workspace: str
    amount: float
    #: What the lender could lend beyond that; 0 in questions.
    spare: float = 0.0
    #: Largest cost of a recent request: at the voter that asks, and that known to the lender.
    largest: float = 0.0


@message("regional.quota_loan_ask")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaLoanAsk(Message):
    """Asks another voter to lend amounts of quotas."""

    sender: str
    number: int
    #: When the asking process started, milliseconds of Unix time.
    incarnation: int
    items: tuple[QuotaLoanItem, ...]


@message("regional.quota_loan")
@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaLoan(Message):
    """Answers a QuotaLoanAsk: the amounts have left the part of the sender."""

    sender: str
    number: int
    incarnation: int
    items: tuple[QuotaLoanItem, ...]
