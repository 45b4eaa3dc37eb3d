"""The platform's directory of clients, behind an abstract base class."""

from __future__ import annotations

import abc
import dataclasses
import hashlib
from typing import Any

import pydantic

from figpaddle.deployment._configuration import faults_of
from figpaddle.errors import DirectoryError


@dataclasses.dataclass(frozen=True, kw_only=True)
class Client:
    """One client of a member."""

    #: Name of the client, unique in the directory.
    name: str
    #: Member that the client belongs to.
    member: str
    #: Region where records of its non-idempotent requests are held.
    home: str
    #: Hexadecimal SHA-256 of its key.
    key_digest: str


def key_digest(key: str) -> str:
    """Return the digest under which the directory lists ``key``."""
    return hashlib.sha256(key.encode()).hexdigest()


class ClientDirectory(abc.ABC):
    """Where clients are listed."""

    @abc.abstractmethod
    def client_for_key(self, key: str) -> Client | None:
        """Return the client that holds ``key``, or None."""


class StaticClientDirectory(ClientDirectory):
    """A directory that was read once.

    >>> one = Client(name="desk", member="hanbit", home="seoul", key_digest=key_digest("secret"))
    >>> StaticClientDirectory(clients=(one,)).client_for_key("secret").name
    'desk'
    """

    def __init__(self, *, clients: tuple[Client, ...]) -> None:
        self._by_digest = {client.key_digest: client for client in clients}

    def client_for_key(self, key: str) -> Client | None:
        """Return the client that holds ``key``, or None."""
        return self._by_digest.get(key_digest(key))


def read_directory(plain: Any, *, document: str) -> StaticClientDirectory:
    """Return the directory in ``plain``, a list of clients; raises DirectoryError."""
    try:
        clients = pydantic.TypeAdapter(tuple[Client, ...]).validate_python(plain)
    except pydantic.ValidationError as error:
        raise DirectoryError(document=document, faults=faults_of(error)) from error
    return StaticClientDirectory(clients=clients)
