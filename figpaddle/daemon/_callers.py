"""HTTP port for callers: entry lookup, chat completions and application services."""

from __future__ import annotations

import dataclasses
import json
import urllib.parse
import uuid
from collections.abc import Callable
from typing import Any

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._backend_client import HOP_BY_HOP_HEADERS
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._fault_reporter import FaultReporter, InternalError
from figpaddle.daemon._gateway import Gateway
from figpaddle.daemon._http import (
    REQUEST_ID_KEY,
    CallerGoneError,
    HttpBody,
    Receive,
    Scope,
    Send,
    bearer_token,
    check_body_length,
    header_value,
    query_value,
)
from figpaddle.daemon._http_sink import HttpResponseSink
from figpaddle.daemon._in_flight import InFlightRequests
from figpaddle.daemon._metrics import Metrics, MetricsSink
from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._prompts import chat_prompt_shape
from figpaddle.daemon._request_response import (
    BodySource,
    BufferedBody,
    Headers,
    RequestHead,
)
from figpaddle.deployment import Client, ClientDirectory, ServiceConfiguration, ServiceKind
from figpaddle.errors import (
    BodyTimeoutError,
    DrainingError,
    DrainTimeoutError,
    ForbiddenError,
    InvalidRequestError,
    RegionNotAllowedError,
    RequestError,
    UnauthorizedError,
)
from figpaddle.routing import rank_entries
from figpaddle.telemetry import Log

#: Path of chat completions, on this port and on the backend servers.
CHAT_PATH = "/v1/chat/completions"
#: Path prefix of application services, followed by the service's name and the path on it.
SERVICES_PREFIX = "/services/"
#: Safe HTTP methods, which don't change the state of the service.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
#: Header with the service name of a chat completion, which is otherwise only in the body.
SERVICE_HEADER = "figpaddle-service"
#: Request headers that are meant for figpaddle and not sent to backend servers.
GATEWAY_HEADERS = frozenset({"authorization", "content-length", "x-request-id", SERVICE_HEADER})


class CallersPort:
    """ASGI application of the callers' port."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        clients: ClientDirectory,
        body_limit_bytes: int,
        caller_idle_s: float,
        metrics: Metrics,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._metrics = metrics
        self._gateway = gateway
        self._directory = directory
        self._configuration = configuration
        self._clients = clients
        self._body_limit_bytes = body_limit_bytes
        self._caller_idle_s = caller_idle_s
        self._clock = clock
        self._log = log
        self._faults = FaultReporter(configuration=configuration, log=log)
        #: Whether responses ask callers to close their connections; requests are still accepted.
        self.leaving = False
        #: Whether new requests are rejected.
        self.closed = False
        #: Number of in-flight requests, including those that are still being received.
        self.in_progress = 0
        self._in_flight = InFlightRequests(instance=directory.own.name)

    def end_unanswered_requests(self) -> None:
        """End the requests whose answers haven't begun; their callers are told the outcome."""
        self._in_flight.end_unanswered()

    def end_requests(self) -> None:
        """End all in-flight requests; their callers are told the outcome."""
        self._in_flight.end_all()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        request_id = scope[REQUEST_ID_KEY] = uuid.uuid4().hex
        sink = HttpResponseSink(
            send=send,
            request_id=request_id,
            idle_timeout_s=self._caller_idle_s,
            should_close=lambda: self.leaving,
        )
        self.in_progress += 1
        try:
            with self._in_flight.track(sink) as tracker:
                await self._route(scope, receive, sink, request_id, tracker)
        except CallerGoneError:
            self._log.info("caller_gone", request_id=request_id)
        except RequestError as error:
            if isinstance(error, DrainTimeoutError):
                self._log.info("request_interrupted", request_id=request_id)
            if isinstance(error, BodyTimeoutError):
                self._log.info("caller_silent", request_id=request_id)
            await sink.fail(error)
        except Exception as error:  # noqa: BLE001
            await sink.fail(self._faults.request_error(error, request_id=request_id))
        finally:
            self.in_progress -= 1

    async def _route(
        self,
        scope: Scope,
        receive: Receive,
        sink: HttpResponseSink,
        request_id: str,
        tracker: OutcomeTracker,
    ) -> None:
        if self.closed:
            raise DrainingError(instance=self._directory.own.name)
        client = self._authenticate(scope)
        self._configuration.require_installed(instance=self._directory.own.name)
        # The path as sent: a backend server may distinguish paths that decode to the same one.
        path = scope["raw_path"].decode("ascii")
        if path == "/v1/entries":
            await self._send_entries(scope, client, sink)
        elif path == CHAT_PATH and scope["method"] == "POST":
            await self._chat(scope, receive, sink, client, request_id, tracker)
        elif path.startswith(SERVICES_PREFIX):
            await self._application(scope, receive, sink, client, request_id, tracker)
        else:
            raise InvalidRequestError(
                what=f"unknown path {path}", hint="see the paths in the README"
            )

    def _authenticate(self, scope: Scope) -> Client:
        key = bearer_token(scope)
        client = self._clients.client_for_key(key) if key is not None else None
        if client is None:
            raise UnauthorizedError
        return client

    async def _send_entries(self, scope: Scope, client: Client, sink: HttpResponseSink) -> None:
        """Send the entry instances that may accept this client's requests.

        Without a service in the query, these are the instances allowed for all of its services.
        """
        member = self._configuration.current.member(client.member)
        services = member.services if member is not None else ()
        requested = query_value(scope, "service")
        matching = [
            set(service.regions) for service in services if requested in (None, service.name)
        ]
        allowed = tuple(sorted(set.intersection(*matching))) if matching else ()
        ranking = rank_entries(
            self._directory.instances,
            preferred_region=client.home,
            allowed_regions=allowed,
            caller=client.name,
        )
        entries = [
            {"instance": info.name, "region": info.region, "address": info.caller_address}
            for info in ranking.entries
        ]
        await sink.send_value({"entries": entries, "ttl_s": ranking.ttl_s})

    def _body(self, receive: Receive) -> HttpBody:
        return HttpBody(
            receive=receive, limit_bytes=self._body_limit_bytes, idle_timeout_s=self._caller_idle_s
        )

    def _service(self, client: Client, name: str) -> ServiceConfiguration:
        member = self._configuration.current.member(client.member)
        service = member.service(name) if member is not None else None
        if service is None:
            raise ForbiddenError
        return service

    async def _chat(
        self,
        scope: Scope,
        receive: Receive,
        sink: HttpResponseSink,
        client: Client,
        request_id: str,
        tracker: OutcomeTracker,
    ) -> None:
        self._check_chat_region(client, header_value(scope, SERVICE_HEADER))
        check_body_length(scope, limit_bytes=self._body_limit_bytes)
        data = await self._body(receive).read()
        service = self._service(client, _model_name(data))
        if service.kind is not ServiceKind.MODEL:
            raise ForbiddenError
        head_without_prompt = self._head(
            scope, client, service, target=CHAT_PATH, request_id=request_id
        )
        head = dataclasses.replace(head_without_prompt, prompt=chat_prompt_shape(data))
        await self._serve_while_connected(head, BufferedBody(data=data), sink, receive, tracker)

    def _check_chat_region(self, client: Client, requested: str | None) -> None:
        """Raise RegionNotAllowedError, before reading, if this region may not process the body.

        The service of a chat completion is named in its body. Unless a header names it as well, all
        model services of the member must be allowed in this region.
        """
        member = self._configuration.current.member(client.member)
        services = member.services if member is not None else ()
        matching = [
            service
            for service in services
            if service.kind is ServiceKind.MODEL and requested in (None, service.name)
        ]
        own_region = self._directory.own.region
        if any(own_region not in service.regions for service in matching):
            raise RegionNotAllowedError(region=own_region)

    async def _application(
        self,
        scope: Scope,
        receive: Receive,
        sink: HttpResponseSink,
        client: Client,
        request_id: str,
        tracker: OutcomeTracker,
    ) -> None:
        raw_path = scope["raw_path"].decode("ascii")
        name, _, path = raw_path[len(SERVICES_PREFIX) :].partition("/")
        service = self._service(client, urllib.parse.unquote(name))
        if service.kind is not ServiceKind.APPLICATION:
            raise ForbiddenError
        if self._directory.own.region not in service.regions:
            raise RegionNotAllowedError(region=self._directory.own.region)
        check_body_length(scope, limit_bytes=self._body_limit_bytes)
        query = scope["query_string"].decode("latin-1")
        target = f"/{path}" + (f"?{query}" if query else "")
        head = self._head(scope, client, service, target=target, request_id=request_id)
        body = self._body(receive)
        await self._serve_while_connected(head, body, sink, receive, tracker)

    def _head(
        self,
        scope: Scope,
        client: Client,
        service: ServiceConfiguration,
        *,
        target: str,
        request_id: str,
    ) -> RequestHead:
        idempotent = service.repeatable or scope["method"] in SAFE_METHODS
        key = header_value(scope, "idempotency-key")
        if not idempotent and key is None:
            raise InvalidRequestError(
                what="the request is not idempotent and has no idempotency key",
                hint="send an Idempotency-Key header, with the same key on retries",
            )
        return RequestHead(
            request_id=request_id,
            member=client.member,
            client=client.name,
            home=client.home,
            service=service.name,
            method=scope["method"],
            target=target,
            headers=_backend_headers(scope),
            idempotent=idempotent,
            idempotency_key=key,
            deadline_at=self._clock() + service.deadline_s,
            deadline_s=service.deadline_s,
            priority=service.priority,
        )

    async def _serve_while_connected(
        self,
        head: RequestHead,
        body: BodySource,
        sink: HttpResponseSink,
        receive: Receive,
        tracker: OutcomeTracker,
    ) -> None:
        error: Exception | None = None
        metrics_sink = MetricsSink(
            sink=sink,
            metrics=self._metrics,
            service_key=head.service_key,
            priority=head.priority,
            received_at=self._clock(),
            clock=self._clock,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, body, receive, sink, tasks.cancel_scope)
            try:
                await self._gateway.serve(head, body, metrics_sink, tracker)
            except Exception as failure:  # noqa: BLE001
                error = failure
            tasks.cancel_scope.cancel()
        if error is not None:
            self._metrics.count_request(head.service_key, _result_label(error))
            raise error

    async def _watch_caller(
        self, body: BodySource, receive: Receive, sink: HttpResponseSink, scope: anyio.CancelScope
    ) -> None:
        """Cancel the request if the caller disconnects after its request was read."""
        if isinstance(body, HttpBody):
            await body.wait_read_finished()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                if not sink.finished:
                    self._log.info("caller_gone", request_id=sink.request_id)
                    scope.cancel()
                return


def _result_label(error: Exception) -> str:
    if isinstance(error, RequestError):
        return error.problem
    return "caller-gone" if isinstance(error, CallerGoneError) else InternalError.problem


def _backend_headers(scope: Scope) -> Headers:
    dropped = HOP_BY_HOP_HEADERS | GATEWAY_HEADERS
    return tuple(
        (key.decode("latin-1").lower(), value.decode("latin-1"))
        for key, value in scope["headers"]
        if key.decode("latin-1").lower() not in dropped
    )


def _model_name(data: bytes) -> str:
    try:
        document: Any = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(what="the body is not JSON", hint="send a JSON object") from error
    model = document.get("model") if isinstance(document, dict) else None
    if not isinstance(model, str):
        raise InvalidRequestError(
            what="the body has no model name", hint="set 'model' to the name of a service"
        )
    return model
