"""State of a caller's request while the router processes it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from berylnotch.admission.ticket import Ticket
    from berylnotch.fleet.model import Organisation, Route, Service
    from berylnotch.gateways.transfers import Transfer
    from berylnotch.membership.targets import Dispatch
    from berylnotch.net.response_memory import HeldResponse
    from berylnotch.placement.placer import Prompt
    from berylnotch.server.caller import CallerConnection
    from berylnotch.server.intake import CallerRequest, LanguageCall
    from berylnotch.streams.actions import Action, SendBytes
    from berylnotch.streams.exchange import Exchange
    from berylnotch.streams.inputs import ResponseHead
    from berylnotch.util.loop import Timer


@define(eq=False)
class Attempt:
    """One attempt to run a request at a target."""

    number: int
    target: str
    dispatch: Dispatch
    transfer: Transfer | None = None
    head: ResponseHead | None = None
    #: Memory of a response that is buffered.
    held: HeldResponse | None = None


@define(eq=False)
class UnchargedBytes:
    """Bytes that wait until their tokens are charged."""

    action: SendBytes
    tokens: int


@define(eq=False)
class Job:
    """State of one request from admission to the last byte.

    Parameters
    ----------
    request : CallerRequest
        The request as the caller sent it, without the key.
    key : str
        The caller's key, which must not be sent to targets; empty on an open route.
    key_hash : bytes
        Keyed hash by which the key is looked up; empty on an open route.
    organisation : Organisation or None
        Organisation of the caller's key; None on an open route.
    route : Route
        Route that the request's path matched.
    service : Service
        Service whose target answers the request.
    fingerprint : bytes
        Hash of organisation, path and body, which identifies the request in crash
        reports and when a stream is resumed.
    arrived_at : float
        Monotonic time of arrival.
    deadline : float
        Monotonic time after which the caller gets no answer.
    caller : CallerConnection
        The caller's connection.
    idempotent : bool
        Whether the request may safely run more than once.
    language : LanguageCall or None
        Parsed body of a request to a language service; None for other services.
    prompt : Prompt or None
        Prompt of a language request, with its prefix hashes.
    uncharged : list of UnchargedBytes
        Bytes held until their tokens are charged.
    claim_attempt : str
        Identifier of the claim under which the request runs; empty without a claim.
    held_actions : list of Action
        Answer to a claimed request, held until the outcome is recorded.
    held_head : bytes
        Head of a whole answer, sent with its first bytes; empty once it is sent.
    pending_finish : callable or None
        Called at the end of an answer whose last bytes wait for tokens; None while no
        answer waits to be ended.
    is_poison : bool
        Whether the request is refused because targets were lost while running it.
    lost_targets : set of str
        Targets that were lost while running the request, as this router reported.
    """

    request: CallerRequest
    key: str = field(repr=False)
    key_hash: bytes = field(repr=False)
    organisation: Organisation | None
    route: Route
    service: Service
    fingerprint: bytes
    arrived_at: float
    deadline: float
    idempotent: bool
    language: LanguageCall | None = None
    prompt: Prompt | None = None
    resume_after: int = 0
    resume_weights: str = ""
    caller: CallerConnection | None = None
    exchange: Exchange | None = None
    ticket: Ticket | None = None
    attempt: Attempt | None = None
    timer: Timer | None = None
    uncharged: list[UnchargedBytes] = field(factory=list)
    chunked: bool = False
    charged_tokens: int = 0
    first_byte_at: float = 0.0
    last_event_at: float = 0.0
    claim_attempt: str = ""
    held_actions: list[Action] = field(factory=list)
    held_head: bytes = b""
    pending_finish: Callable[[], None] | None = None
    has_ended: bool = False
    is_poison: bool = False
    lost_targets: set[str] = field(factory=set)

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty on an open route."""
        return self.organisation.name if self.organisation is not None else ""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is streamed."""
        return self.language is not None and self.language.stream

    @property
    def cost_tokens(self) -> int:
        """Tokens charged when the request is sent to a target."""
        return self.language.prompt_tokens if self.language is not None else 0
