"""Messages between the routers and controllers of a fleet."""

from __future__ import annotations

from attrs import frozen

from berylnotch.consensus import messages as consensus
from berylnotch.group.rollouts import RolloutPolicy, RolloutReport
from berylnotch.membership.announced_weights import NamedWeights
from berylnotch.membership.listing import ListedTarget
from berylnotch.quota.messages import GrantReply, GrantRequest
from berylnotch.transport.packing import message_classes


@frozen
class JoinRequest:
    """Request of a controller outside the group to join it."""

    name: str
    replica: str
    address: str
    failure_domain: str


@frozen
class Redirect:
    """Answer of a controller that is not the leader.

    ``leader`` is the address of the leader, empty if it is unknown; ``members`` are
    the addresses of all controllers that the sender knows.
    """

    leader: str
    members: tuple[str, ...]


@frozen
class TargetLoad:
    """In-flight work of one router, or of all routers, at a target.

    ``unread`` is the estimated number of prompt tokens that the target has not
    prefilled yet. ``long`` is the number of long requests; it is set only in the
    reports of routers.
    """

    target_id: str
    requests: int
    unread: int = 0
    long: int = 0


@frozen
class PromptNote:
    """Note on a shared prompt prefix that a target or a store holds or will hold.

    ``prompt`` identifies the prefix (`berylnotch.placement.chains.hash_prefix`), and
    ``tokens`` is its length. ``holder`` is a target's identity or a store's address.
    ``own_tokens`` is the number of tokens in the rest of the prompt, which occupy the
    target's KV cache as well. ``is_ready`` is true once the prefix is prefilled, so
    that other targets can copy it from the holder. ``unread`` is the number of tokens
    that the target has still to prefill for the request.
    """

    prompt: int
    tokens: int
    holder: str
    own_tokens: int = 0
    is_ready: bool = True
    unread: int = 0


@frozen
class CrashMark:
    """Identity of a request that a target was running when the target ended.

    ``fingerprint`` identifies the whole request or a part of its prompt
    (`berylnotch.membership.crash_causes`). ``age_ms`` is the time since the loss in
    reports of routers. ``run`` is the same number for all marks of one request in a
    report; 0 if the router, of an earlier version, does not tell.
    """

    fingerprint: bytes
    target_id: str
    age_ms: int = 0
    run: int = 0


@frozen
class CompletionNotice:
    """Identity of a suspect that a target wrote an answer on, ``age_ms`` ago."""

    identity: bytes
    age_ms: int


@frozen
class LeavingWord:
    """Announcement by a target, in an answer to a router, that it is leaving.

    ``born_ms`` is the Unix time in milliseconds of the target's start, as known to the
    router. The announcement applies only to the process that started at this time.
    """

    target_id: str
    born_ms: int


@frozen
class LimitNotice:
    """Limit that a target announced to a router, for the requests of all routers.

    ``born_ms`` identifies the incarnation as in `LeavingWord`. ``per_s`` is the number
    of requests per second, infinite if the target ended its limit. ``age_ms`` is the
    time since the announcement.
    """

    target_id: str
    born_ms: int
    per_s: float
    age_ms: int


@frozen
class IdleRetries:
    """Retries that requests for a service earned and their router did not use.

    ``count`` is the number since the router's process started. They exceed what the
    router may save, so that the quota owner may grant them to other routers.
    """

    service: str
    count: int


@frozen
class SpeedRecords:
    """Measured speeds of targets in the encoding of `berylnotch.group.speed_columns`.

    ``records`` are records of a fixed size, which refer to targets by the numbers of
    ``numbering``.
    """

    numbering: int = 0
    records: bytes = b""


@frozen
class RouterReport:
    """Periodic report of a router to the leader.

    ``incarnation`` changes with each start of the router. ``address`` is the address
    to which callers connect. ``ejected`` are the targets that the router ejected after
    failures. ``leaving`` are the announcements of leaving targets that the router
    received, and ``limits`` those of limits. ``token_request`` asks for tokens of
    limited targets, in which a target's identity takes the place of the organisation.
    ``completed`` are requests with identities that the leader suspects. ``recording``
    are the services for which the router sends the record of each stream; it has sent
    the records of the streams that it began before. ``rollouts`` tell what the router
    did for each rollout. ``idle_retries`` are retries for other routers. ``speeds`` are
    the measurements since the previous report.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    is_leaving: bool
    configuration_version: int
    loads: tuple[TargetLoad, ...] = ()
    crashes: tuple[CrashMark, ...] = ()
    prompts: tuple[PromptNote, ...] = ()
    ejected: tuple[str, ...] = ()
    leaving: tuple[LeavingWord, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    token_request: GrantRequest | None = None
    completed: tuple[CompletionNotice, ...] = ()
    recording: tuple[str, ...] = ()
    rollouts: tuple[RolloutReport, ...] = ()
    idle_retries: tuple[IdleRetries, ...] = ()
    speeds: SpeedRecords = SpeedRecords()


@frozen
class TokenReply:
    """Answer to the ``token_request`` of a report."""

    reply: GrantReply


@frozen
class RetryRequest:
    """Request of a router for retries, in which services are the organisations."""

    request: GrantRequest


@frozen
class RetryReply:
    """Answer to a `RetryRequest`."""

    reply: GrantReply


@frozen
class ConfigurationUpdate:
    """The active configuration, as the bytes that the operator submitted.

    ``cache_generation`` separates the cache entries that organisations share from those
    of earlier configurations (`berylnotch.group.cache_sharing`).
    """

    version: int
    content: bytes
    cache_generation: int = 0


@frozen
class TargetEntry:
    """A target, with the state of its weights load.

    While ``is_loading`` is true, the target refuses work. While ``is_emptying`` is
    true, the target waits for its long requests to end before it loads, and gets no
    further long requests. ``limit_per_s`` is the newest limit that the target announced
    to any router: infinite if it ended the limit, None if the leader knows of none.
    """

    target: ListedTarget
    is_loading: bool = False
    is_emptying: bool = False
    limit_per_s: float | None = None


@frozen
class TargetsUpdate:
    """Targets, announced weights and unreachable stores.

    ``targets`` are all targets if ``is_whole`` is true, else those that changed since
    the previous update. ``gone`` are the identities of targets that are no longer
    listed. ``numbers`` are the numbers of ``targets``, in the same order. ``numbering``
    identifies the leader's assignment of numbers; other messages with the same
    ``numbering`` refer to targets by these numbers. ``mixed_services`` are the services
    for which routers have to record the software version of each stream, all of them
    in each update. ``rollouts`` are the policies of all rollouts, in each update.
    """

    targets: tuple[TargetEntry, ...]
    weights: tuple[NamedWeights, ...]
    down_stores: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    is_whole: bool = True
    numbering: int = 0
    numbers: tuple[int, ...] = ()
    mixed_services: tuple[str, ...] = ()
    rollouts: tuple[RolloutPolicy, ...] = ()


@frozen
class RouterEntry:
    """A router whose address is given to callers that ask for entry VMs."""

    address: str
    failure_domain: str


@frozen
class RosterUpdate:
    """Routers that take requests.

    ``routers`` are all routers if ``is_whole`` is true, else those that were added or
    changed since the previous update. ``gone`` are the addresses of removed routers.
    """

    routers: tuple[RouterEntry, ...]
    gone: tuple[str, ...] = ()
    is_whole: bool = True


@frozen
class LoadsUpdate:
    """In-flight work at each target, summed over all routers.

    ``suspects`` are the targets that several routers ejected after failures.
    """

    loads: tuple[TargetLoad, ...]
    suspects: tuple[str, ...] = ()


@frozen
class LoadColumns:
    """Load sums in the encoding of `berylnotch.group.columns`.

    A target's number is its index in ``requests`` and ``unread``. The byte in
    ``requests`` is the number of requests at the target. The byte in ``unread`` is the
    number of prompt tokens that the target has not prefilled yet, on a logarithmic
    scale. ``suspects`` are numbers of targets. The byte in ``speeds`` is the factor of
    a target's times on a logarithmic scale, 0 if the leader does not know it. Without
    ``speeds``, routers keep the factors that they have.
    """

    numbering: int
    requests: bytes
    unread: bytes
    suspects: tuple[int, ...] = ()
    speeds: bytes = b""


@frozen
class NoteRecords:
    """Prompt notes in the encoding of `berylnotch.group.columns`.

    ``notes`` are records of a fixed size. ``stores`` are the addresses of the stores to
    which the records refer.
    """

    numbering: int
    notes: bytes
    stores: tuple[str, ...] = ()


@frozen
class CrashesUpdate:
    """Suspects and causes of crashes, all of them in each update.

    ``suspects`` are identities that ran on several lost targets; routers report the
    completions of requests with them. ``refused`` are the causes: requests with all
    identities of one are refused.
    """

    suspects: tuple[bytes, ...] = ()
    refused: tuple[tuple[bytes, ...], ...] = ()


@frozen
class StreamRecords:
    """Streams of a service that began at one software version.

    ``identities`` are those of `berylnotch.membership.stream_versions`, joined. An
    empty ``version`` means that the router cannot tell it.
    """

    service: str
    version: str
    identities: bytes


@frozen
class VersionQuery:
    """Question of a router for the software version at which a stream began.

    The reply has the same ``number``. An empty ``identity`` asks for the version of all
    streams of the service, in case that they have the same.
    """

    number: int
    service: str
    identity: bytes


@frozen
class VersionReply:
    """Software version at which a stream began, empty if it is unknown."""

    number: int
    version: str


#: Classes of the messages between controllers.
GROUP_MESSAGES = (*message_classes(consensus), JoinRequest, Redirect)

#: Classes of the messages that a controller accepts.
CONTROLLER_MESSAGES = (
    *GROUP_MESSAGES,
    RouterReport,
    GrantRequest,
    RetryRequest,
    StreamRecords,
    VersionQuery,
)

#: Classes of the messages that a router accepts.
ROUTER_MESSAGES = (
    Redirect,
    ConfigurationUpdate,
    TargetsUpdate,
    RosterUpdate,
    LoadColumns,
    CrashesUpdate,
    NoteRecords,
    GrantReply,
    TokenReply,
    RetryReply,
    VersionReply,
)
