"""The platform's client directory and its abstract interface."""

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
    #: Region that holds the records of its non-idempotent requests.
    home: str
    #: Hexadecimal SHA-256 digest of its key.
    key_digest: str


def key_digest(key: str) -> str:
    """Return the digest under which the directory lists ``key``."""
    return hashlib.sha256(key.encode()).hexdigest()


class ClientDirectory(abc.ABC):
    """Interface of a directory of clients."""

    @abc.abstractmethod
    def client_for_key(self, key: str) -> Client | None:
        """Return the client whose key is ``key``, or None."""


class StaticClientDirectory(ClientDirectory):
    """A directory whose clients are fixed when it is created.

    >>> desk = Client(name="desk", member="hanbit", home="seoul", key_digest=key_digest("secret"))
    >>> StaticClientDirectory(clients=(desk,)).client_for_key("secret").name
    'desk'
    """

    def __init__(self, *, clients: tuple[Client, ...]) -> None:
        self._by_digest = {client.key_digest: client for client in clients}

    def client_for_key(self, key: str) -> Client | None:
        """Return the client whose key is ``key``, or None."""
        return self._by_digest.get(key_digest(key))


def read_directory(plain: Any, *, document: str) -> StaticClientDirectory:
    """Return the directory in ``plain``, a list of clients.

    Raises DirectoryError, which names ``document``.
    """
    try:
        clients = pydantic.TypeAdapter(tuple[Client, ...]).validate_python(plain)
    except pydantic.ValidationError as error:
        raise DirectoryError(document=document, faults=faults_of(error)) from error
    return StaticClientDirectory(clients=clients)
