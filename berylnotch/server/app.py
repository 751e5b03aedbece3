"""WSGI application that reads and checks callers' requests."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from attrs import field, frozen
from loguru import logger
from werkzeug import Request, Response

from berylnotch.fleet.model import ServiceKind
from berylnotch.keys.keyring import hash_key
from berylnotch.membership.addresses import answer as address_answer
from berylnotch.placement.placer import Prompt
from berylnotch.server import intake, responses
from berylnotch.server.errors import Refusal
from berylnotch.server.handover import DETACH_KEY
from berylnotch.server.job import Job
from berylnotch.streams.errors import StreamReferenceError
from berylnotch.streams.reference import fingerprint, verify
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.fleet.model import Organisation, Route, Service
    from berylnotch.keys.keyring import AcceptedKey
    from berylnotch.server.context import Context
    from berylnotch.server.engine import RequestPath

#: Prefix of the paths that the router serves without a target.
SYSTEM_PREFIX = "/berylnotch/"
ADDRESS_PATH = SYSTEM_PREFIX + "address"
HEALTH_PATH = SYSTEM_PREFIX + "health"
#: Longest duration of a streamed answer, in seconds.
_STREAM_TIMEOUT_S = 3600.0


@frozen
class _ResolvedRequest:
    """A request with its route, and with the organisation of a verified key."""

    caller: intake.CallerRequest
    key: str = field(repr=False)
    key_hash: bytes = field(repr=False)
    organisation: Organisation | None
    route: Route
    arrived_at: float

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty on an open route."""
        return self.organisation.name if self.organisation is not None else ""

    def make_job(
        self,
        service: Service,
        request_fingerprint: bytes,
        timeout_s: float,
        is_idempotent: bool,
    ) -> Job:
        """Return the job of this request, without the fields for a language call."""
        return Job(
            request=self.caller,
            key=self.key,
            key_hash=self.key_hash,
            organisation=self.organisation,
            route=self.route,
            service=service,
            fingerprint=request_fingerprint,
            arrived_at=self.arrived_at,
            deadline=self.arrived_at + timeout_s,
            idempotent=is_idempotent,
        )


class App:
    """Reads and checks requests, and hands them to the request path.

    Runs in the HTTP server's threads. These only read the view, and need no lock
    because the event loop replaces or extends the view by single operations.

    Parameters
    ----------
    context : Context
        Shared state.
    path : RequestPath
        Receives the checked requests.
    key_secret : bytes
        Key of the keyed hashes of callers' keys.
    stream_secret : bytes
        Key that signs references to streams.
    """

    def __init__(
        self,
        context: Context,
        path: RequestPath,
        key_secret: bytes,
        stream_secret: bytes,
    ) -> None:
        self._context = context
        self._path = path
        self._key_secret = key_secret
        self._stream_secret = stream_secret
        self._address_counter = itertools.count()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        caller = None
        try:
            if request.path.startswith(SYSTEM_PREFIX):
                return self._serve_system_path(request)(environ, start_response)
            caller = intake.read_request(request)
            result = self._resolve_request(request, caller)
        except Refusal as refusal:
            request_id = caller.request_id if caller else intake.request_id(request)
            self._context.metrics.count(
                "berylnotch_refusals_total",
                Label("organisation", ""),
                Label("reason", refusal.code),
            )
            result = _refusal_response(refusal, request_id)
        if isinstance(result, Response):
            return result(environ, start_response)
        self._path.submit(result, environ[DETACH_KEY]())
        return []

    def _resolve_request(
        self, request: Request, caller: intake.CallerRequest
    ) -> Job | Response:
        arrived_at = time.monotonic()
        route = self._context.view.fleet.route(request.path)
        if route is None and not self._context.view.revision:
            raise Refusal(
                503,
                "no_configuration",
                "the router has no configuration yet",
                retry_after_s=responses.SHORT_RETRY_S,
            )
        if route is None:
            raise Refusal(404, "unknown_path", f"no route for {request.path}")
        key = intake.read_key(request)
        key_hash = b""
        organisation = None
        if not route.open:
            key_hash = hash_key(self._key_secret, key)
            organisation = self._find_organisation(self._authenticate(key, key_hash))
        service = self._context.view.fleet.services[route.service]
        resolved = _ResolvedRequest(
            caller, key, key_hash, organisation, route, arrived_at
        )
        if service.kind is not ServiceKind.LANGUAGE:
            return self._make_plain_job(resolved, service)
        if request.path == route.prefix.rstrip("/") + intake.MODELS_PATH:
            return self._list_models(caller)
        return self._make_language_job(resolved, service)

    def _authenticate(self, key: str, key_hash: bytes) -> AcceptedKey:
        if not key:
            raise Refusal(401, "missing_key", "send a key: Authorization: Bearer KEY")
        if not self._context.freshness.is_fresh(time.monotonic()):
            raise Refusal(
                503,
                "keys_unverified",
                "keys cannot be verified at present",
                retry_after_s=responses.SHORT_RETRY_S,
            )
        key_record = self._context.view.find_key(key_hash)
        if key_record is None:
            raise Refusal(401, "invalid_key", "the key is not accepted")
        return key_record

    def _find_organisation(self, key_record: AcceptedKey) -> Organisation:
        organisation = self._context.view.fleet.organisations.get(
            key_record.organisation
        )
        if organisation is None:
            raise Refusal(401, "invalid_key", "the key's organisation is not served")
        return organisation

    def _make_language_job(
        self, resolved: _ResolvedRequest, route_service: Service
    ) -> Job:
        caller, route = resolved.caller, resolved.route
        call = intake.read_language_call(caller.body, _is_chat(caller, route))
        service = self._find_service(call.model, route_service)
        organisation_name = resolved.organisation_name
        piece_bytes = self._context.settings.placement.piece_bytes
        prompt = Prompt(organisation_name, service.name, call.prompt, piece_bytes)
        # Compute the prefix hashes in this thread; in the event loop's thread they
        # would delay other requests.
        prompt.chain(service.weights)
        job = resolved.make_job(
            service,
            fingerprint(organisation_name, caller.path, caller.body),
            timeout_s=_STREAM_TIMEOUT_S if call.stream else route.timeout_s,
            is_idempotent=True,
        )
        job.language = call
        job.prompt = prompt
        if caller.last_event_id and call.stream:
            self._set_resume_position(job, caller.last_event_id)
        return job

    def _make_plain_job(self, resolved: _ResolvedRequest, service: Service) -> Job:
        caller, route = resolved.caller, resolved.route
        request_line = f"{caller.method} {caller.path}?{caller.query}"
        return resolved.make_job(
            service,
            fingerprint(resolved.organisation_name, request_line, caller.body),
            timeout_s=route.timeout_s,
            is_idempotent=caller.method in route.idempotent_methods,
        )

    def _find_service(self, model: str, route_service: Service) -> Service:
        if model in route_service.models:
            return route_service
        service = self._context.view.fleet.service_of_model(model)
        if service is None:
            raise Refusal(404, "model_not_found", f"model {model!r} is not served")
        return service

    def _set_resume_position(self, job: Job, reference: str) -> None:
        try:
            position = verify(self._stream_secret, reference)
        except StreamReferenceError as error:
            raise Refusal(400, "invalid_last_event_id", str(error)) from error
        expected = (job.organisation_name, job.fingerprint)
        if (position.organisation, position.fingerprint) != expected:
            message = "Last-Event-ID belongs to another request"
            raise Refusal(400, "invalid_last_event_id", message)
        job.resume_after = position.position
        job.resume_weights = position.weights

    def _list_models(self, caller: intake.CallerRequest) -> Response:
        services = self._context.view.fleet.services.values()
        data = [
            {"id": model, "object": "model", "created": 0, "owned_by": service.name}
            for service in services
            for model in service.models
        ]
        body = json.dumps({"object": "list", "data": data})
        response = Response(body, content_type="application/json")
        response.headers[responses.REQUEST_ID_HEADER] = caller.request_id
        return response

    def _serve_system_path(self, request: Request) -> Response:
        if request.method != "GET":
            return Response("use GET\n", 405)
        if request.path == ADDRESS_PATH:
            return self._serve_address(request)
        if request.path == HEALTH_PATH:
            return self._serve_health()
        return Response("unknown path\n", 404)

    def _serve_address(self, request: Request) -> Response:
        answer = address_answer(
            self._context.view,
            request.args.get("organisation", ""),
            request.args.get("failure-domain", ""),
            self._context.settings.membership,
            next(self._address_counter),
        )
        fields = {"addresses": list(answer.addresses), "keep_s": answer.keep_s}
        status = 200 if answer.addresses else 503
        response = Response(json.dumps(fields), status, content_type="application/json")
        response.headers["Cache-Control"] = f"max-age={answer.keep_s}"
        if not answer.addresses:
            response.headers["Retry-After"] = "1"
        return response

    def _serve_health(self) -> Response:
        fresh = self._context.freshness.is_fresh(time.monotonic())
        fields = {
            "fresh": fresh,
            "revision": self._context.view.revision,
            "running": self._path.running,
        }
        return Response(
            json.dumps(fields), 200 if fresh else 503, content_type="application/json"
        )


def _is_chat(caller: intake.CallerRequest, route: Route) -> bool:
    if caller.method != "POST":
        message = f"{caller.method} is not served here; use POST"
        raise Refusal(405, "method_not_allowed", message)
    subpath = caller.path.removeprefix(route.prefix.rstrip("/"))
    if subpath not in (intake.CHAT_PATH, intake.COMPLETIONS_PATH):
        message = f"{caller.path} is no path of a language service"
        raise Refusal(404, "unknown_path", message)
    return subpath == intake.CHAT_PATH


def _refusal_response(refusal: Refusal, request_id: str) -> Response:
    logger.info(
        "event=request_refused request={} reason={} run={}",
        request_id,
        refusal.code,
        refusal.run_status.value,
    )
    body = responses.error_body(refusal.code, refusal.message, refusal.status)
    headers = responses.refusal_headers(refusal, request_id)
    return Response(body, refusal.status, headers)
