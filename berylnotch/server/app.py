"""WSGI application towards callers."""

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

#: Paths below this prefix are the system's own.
OWN_PREFIX = "/berylnotch/"
ADDRESS_PATH = OWN_PREFIX + "address"
HEALTH_PATH = OWN_PREFIX + "health"
#: Seconds that a streamed answer may take in all.
_STREAM_LIMIT_S = 3600.0


@frozen
class _Accepted:
    """A request whose key and route were found."""

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

    def job(
        self, service: Service, mark: bytes, limit_s: float, is_idempotent: bool
    ) -> Job:
        """Return the job of this request, without what a language call adds."""
        return Job(
            request=self.caller,
            key=self.key,
            key_hash=self.key_hash,
            organisation=self.organisation,
            route=self.route,
            service=service,
            fingerprint=mark,
            arrived_at=self.arrived_at,
            deadline=self.arrived_at + limit_s,
            idempotent=is_idempotent,
        )


class App:
    """Reads and checks requests, and hands them to the request path.

    Runs in the HTTP server's threads. It only reads the view, which is
    replaced or extended by single operations.

    Parameters
    ----------
    context : Context
        Shared state.
    path : RequestPath
        Where checked requests go.
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
        self._turns = itertools.count()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        caller = None
        try:
            if request.path.startswith(OWN_PREFIX):
                return self._own(request)(environ, start_response)
            caller = intake.read_request(request)
            found = self._serve(request, caller)
        except Refusal as refusal:
            request_id = caller.request_id if caller else intake.request_id(request)
            self._context.metrics.count(
                "berylnotch_refusals_total",
                Label("organisation", ""),
                Label("reason", refusal.code),
            )
            found = _refusal_response(refusal, request_id)
        if isinstance(found, Response):
            return found(environ, start_response)
        self._path.submit(found, environ[DETACH_KEY]())
        return []

    def _serve(self, request: Request, caller: intake.CallerRequest) -> Job | Response:
        arrived_at = time.monotonic()
        route = self._context.view.fleet.route(request.path)
        if route is None:
            raise Refusal(404, "unknown_path", f"no route for {request.path}")
        key = intake.read_key(request)
        key_hash = b""
        organisation = None
        if not route.open:
            key_hash = hash_key(self._key_secret, key)
            organisation = self._organisation(self._held_key(key, key_hash))
        service = self._context.view.fleet.services[route.service]
        accepted = _Accepted(caller, key, key_hash, organisation, route, arrived_at)
        if service.kind is not ServiceKind.LANGUAGE:
            return self._plain_job(accepted, service)
        if request.path == route.prefix.rstrip("/") + intake.MODELS:
            return self._models(caller)
        return self._language_job(accepted, service)

    def _held_key(self, key: str, key_hash: bytes) -> AcceptedKey:
        if not key:
            raise Refusal(401, "missing_key", "send a key: Authorization: Bearer KEY")
        if not self._context.freshness.is_fresh(time.monotonic()):
            raise Refusal(
                503,
                "keys_unverified",
                "keys cannot be verified at present",
                retry_after_s=responses.SHORT_RETRY_S,
            )
        held = self._context.view.find_key(key_hash)
        if held is None:
            raise Refusal(401, "invalid_key", "the key is not accepted")
        return held

    def _organisation(self, held: AcceptedKey) -> Organisation:
        organisation = self._context.view.fleet.organisations.get(held.organisation)
        if organisation is None:
            raise Refusal(401, "invalid_key", "the key's organisation is not served")
        return organisation

    def _language_job(self, accepted: _Accepted, routed: Service) -> Job:
        caller, route = accepted.caller, accepted.route
        call = intake.read_language_call(caller.body, _is_chat(caller, route))
        service = self._service_of(call.model, routed)
        name = accepted.organisation_name
        piece_bytes = self._context.settings.placement.piece_bytes
        prompt = Prompt(name, service.name, call.prompt, piece_bytes)
        # Hashing belongs in this thread; the loop finds the chain made.
        prompt.chain(service.weights)
        job = accepted.job(
            service,
            fingerprint(name, caller.path, caller.body),
            limit_s=_STREAM_LIMIT_S if call.stream else route.timeout_s,
            is_idempotent=True,
        )
        job.language = call
        job.prompt = prompt
        if caller.last_event_id and call.stream:
            self._resume(job, caller.last_event_id)
        return job

    def _plain_job(self, accepted: _Accepted, service: Service) -> Job:
        caller, route = accepted.caller, accepted.route
        asked = f"{caller.method} {caller.path}?{caller.query}"
        return accepted.job(
            service,
            fingerprint(accepted.organisation_name, asked, caller.body),
            limit_s=route.timeout_s,
            is_idempotent=caller.method in route.idempotent_methods,
        )

    def _service_of(self, model: str, routed: Service) -> Service:
        if model in routed.models:
            return routed
        service = self._context.view.fleet.service_of_model(model)
        if service is None:
            raise Refusal(404, "model_not_found", f"model {model!r} is not served")
        return service

    def _resume(self, job: Job, reference: str) -> None:
        try:
            position = verify(self._stream_secret, reference)
        except StreamReferenceError as error:
            raise Refusal(400, "invalid_last_event_id", str(error)) from error
        known = (job.organisation_name, job.fingerprint)
        if (position.organisation, position.fingerprint) != known:
            message = "Last-Event-ID belongs to another request"
            raise Refusal(400, "invalid_last_event_id", message)
        job.resume_after = position.position
        job.resume_weights = position.weights

    def _models(self, caller: intake.CallerRequest) -> Response:
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

    def _own(self, request: Request) -> Response:
        if request.method != "GET":
            return Response("use GET\n", 405)
        if request.path == ADDRESS_PATH:
            return self._address(request)
        if request.path == HEALTH_PATH:
            return self._health()
        return Response("unknown path\n", 404)

    def _address(self, request: Request) -> Response:
        answer = address_answer(
            self._context.view,
            request.args.get("organisation", ""),
            request.args.get("failure-domain", ""),
            self._context.settings.membership,
            next(self._turns),
        )
        fields = {"addresses": list(answer.addresses), "keep_s": answer.keep_s}
        status = 200 if answer.addresses else 503
        response = Response(json.dumps(fields), status, content_type="application/json")
        response.headers["Cache-Control"] = f"max-age={answer.keep_s}"
        if not answer.addresses:
            response.headers["Retry-After"] = "1"
        return response

    def _health(self) -> Response:
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
    rest = caller.path.removeprefix(route.prefix.rstrip("/"))
    if rest not in (intake.CHAT, intake.COMPLETIONS):
        message = f"{caller.path} is no path of a language service"
        raise Refusal(404, "unknown_path", message)
    return rest == intake.CHAT


def _refusal_response(refusal: Refusal, request_id: str) -> Response:
    logger.info(
        "event=request_refused request={} reason={} run={}",
        request_id,
        refusal.code,
        refusal.mark.value,
    )
    body = responses.error_body(refusal.code, refusal.message, refusal.status)
    headers = responses.refusal_headers(refusal, request_id)
    return Response(body, refusal.status, headers)
