"""HTTP endpoints for operators to read and change the configuration and to follow its rollout."""

from __future__ import annotations

import json
from typing import Any

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._change_submitter import ChangeSubmitter
from figpaddle.daemon._configuration_distribution import ConfigurationDistribution
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._http import HttpBody, Receive, Scope, Send, problem_document, send_json
from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._settings import OperatorSettings
from figpaddle.deployment import Change, Verdict, member_from_plain, member_to_plain
from figpaddle.errors import (
    ChangeConflictError,
    CommandReusedError,
    DocumentError,
    ForbiddenError,
    InvalidRequestError,
    PeerUnreachableError,
)
from figpaddle.wire import InForce, InForceQuestion, InstanceInfo, InstanceState

#: Path of the whole configuration; a member's name is appended to change its part.
CONFIGURATION_PATH = "/v1/configuration"
#: Path of the list of instances with the revisions that they have in force.
INSTANCES_PATH = "/v1/configuration/instances"
#: Largest request body of a change, bytes.
MAX_CHANGE_BYTES = 1024 * 1024
#: Timeout of a query to another instance, seconds.
QUERY_TIMEOUT_S = 1.5


class ConfigurationPort:
    """Serves the configuration endpoints to an authenticated operator."""

    def __init__(
        self,
        *,
        state: ConfigurationState,
        distribution: ConfigurationDistribution,
        submitter: ChangeSubmitter,
        directory: InstanceDirectory,
        network: PeerNetwork,
    ) -> None:
        self._state = state
        self._distribution = distribution
        self._submitter = submitter
        self._directory = directory
        self._network = network

    async def serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        operator: OperatorSettings,
        tracker: OutcomeTracker,
    ) -> None:
        """Serve one request below ``CONFIGURATION_PATH``; ``tracker`` is told of a change."""
        route = (scope["method"], scope["path"])
        if route == ("GET", CONFIGURATION_PATH):
            await send_json(send, status=200, value=self._configuration_view(operator))
        elif route == ("GET", INSTANCES_PATH):
            await send_json(send, status=200, value=await self._instances(operator))
        elif scope["method"] == "PUT" and scope["path"].startswith(CONFIGURATION_PATH + "/"):
            await self._change(scope, receive, send, operator, tracker)
        else:
            raise InvalidRequestError(what="unknown path or method", hint="see docs/OPERATORS.md")

    def _configuration_view(self, operator: OperatorSettings) -> dict[str, Any]:
        versioned = self._state.versioned
        members = {
            part.member.name: {
                "revision": part.revision,
                "digest": part.digest(),
                "command_id": part.command_id,
                "operator": part.operator,
                "configuration": member_to_plain(part.member),
            }
            for part in versioned.parts
            if operator.member in (None, part.member.name)
        }
        page: dict[str, Any] = {"instance": self._directory.own.name, "members": members}
        if operator.member is None:
            page["revision"] = versioned.revision
            page["digest"] = versioned.digest
        return page

    async def _instances(self, operator: OperatorSettings) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = []

        async def query(info: InstanceInfo) -> None:
            rows.append(_instance_row(info, await self._query_in_force(info), operator.member))

        async with anyio.create_task_group() as tasks:
            for info in self._directory.instances:
                if info.state is not InstanceState.GONE:
                    tasks.start_soon(query, info)
        return sorted(rows, key=lambda row: str(row["instance"]))

    async def _query_in_force(self, info: InstanceInfo) -> InForce | None:
        if info.name == self._directory.own.name:
            return self._distribution.in_force()
        try:
            reply = await self._network.request(
                info.name, InForceQuestion(), timeout_s=QUERY_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        return reply if isinstance(reply, InForce) else None

    async def _change(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        operator: OperatorSettings,
        tracker: OutcomeTracker,
    ) -> None:
        name = scope["path"].removeprefix(CONFIGURATION_PATH + "/")
        if operator.member not in (None, name):
            raise ForbiddenError
        body = await HttpBody(receive=receive, limit_bytes=MAX_CHANGE_BYTES).read()
        change = _read_change(body, member=name, operator=operator.name)
        tracker.note_may_run()
        answer = await self._submitter.submit(change)
        if answer.verdict is Verdict.REUSED:
            raise CommandReusedError(command_id=change.command_id)
        result = {"member": name, "revision": answer.revision, "command_id": change.command_id}
        if answer.verdict is Verdict.ACCEPTED:
            await send_json(send, status=200, value=result)
            return
        error = ChangeConflictError(
            member=name, revision=answer.revision, winner=answer.winner, operator=answer.operator
        )
        document = problem_document(error, request_id="")
        document |= {**result, "winner": answer.winner, "operator": answer.operator}
        await send_json(send, status=error.status, value=document)


def _instance_row(
    info: InstanceInfo, in_force: InForce | None, member: str | None
) -> dict[str, Any]:
    row: dict[str, Any] = {
        "instance": info.name,
        "region": info.region,
        "zone": info.zone,
        "reachable": in_force is not None,
        "revision": None,
        "digest": None,
        "members": {},
    }
    if in_force is None:
        return row
    if member is None:
        row["revision"], row["digest"] = in_force.revision, in_force.digest
    row["members"] = {
        part.member: part.revision for part in in_force.parts if member in (None, part.member)
    }
    return row


def _read_change(body: bytes, *, member: str, operator: str) -> Change:
    remedy = "send command_id, base_revision and configuration as JSON"
    try:
        document = json.loads(body)
        command_id, base = document["command_id"], document["base_revision"]
        configuration = member_from_plain(document["configuration"], document="configuration")
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidRequestError(what="the body is not a valid change", hint=remedy) from error
    except DocumentError as error:
        raise InvalidRequestError(what=str(error), hint=remedy) from error
    if not isinstance(command_id, str) or not command_id or not isinstance(base, int):
        raise InvalidRequestError(what="the body is not a valid change", hint=remedy)
    if configuration.name != member:
        raise InvalidRequestError(what="the path and the body name different members", hint=remedy)
    return Change(
        command_id=command_id, operator=operator, base_revision=base, member=configuration
    )
