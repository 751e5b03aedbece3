"""Messages between the routers and controllers of a fleet."""

from __future__ import annotations

from attrs import frozen

from berylnotch.consensus import messages as consensus
from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.naming import NamedWeights
from berylnotch.quota.messages import GrantReply, GrantRequest
from berylnotch.transport.packing import message_classes


@frozen
class JoinRequest:
    """A controller outside the group asks to be added."""

    name: str
    replica: str
    address: str
    failure_domain: str


@frozen
class Redirect:
    """Answer of a controller that does not lead.

    ``leader`` is empty if it knows none; ``members`` are all controllers that it
    knows.
    """

    leader: str
    members: tuple[str, ...]


@frozen
class TargetLoad:
    """Work that one router, or all, have under way at a target.

    ``unread`` are prompt tokens that the target probably has yet to read. ``long`` are
    the requests that take long, of which only routers' reports tell.
    """

    target_id: str
    requests: int
    unread: int = 0
    long: int = 0


@frozen
class PromptNote:
    """A shared prompt that a target reads or has read, or a store was sent.

    ``prompt`` is its mark (`berylnotch.placement.chains.prompt_mark`). ``holder`` is a
    target's identity or a store's address. ``own_tokens`` are those of the rest of
    the prompt, which fill the target's memory as well. ``is_ready`` tells that it
    was read, so that others may take it over from there; ``unread`` are the tokens
    that the target has yet to read for it.
    """

    prompt: int
    tokens: int
    holder: str
    own_tokens: int = 0
    is_ready: bool = True
    unread: int = 0


@frozen
class CrashMark:
    """A request, by its fingerprint, that was running when a target was lost."""

    fingerprint: bytes
    target_id: str


@frozen
class LeavingWord:
    """A target that told a router in an answer that it leaves.

    ``born_ms`` is its start as the router knows it: the word holds for that one only.
    """

    target_id: str
    born_ms: int


@frozen
class RouterReport:
    """What a router tells the leader.

    ``incarnation`` changes with each start. ``address`` is where callers connect.
    ``ejected`` are targets that failed and are left out, ``leaving`` those that said
    that they leave.
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


@frozen
class ConfigurationUpdate:
    """The configuration in force, as the operator wrote it."""

    version: int
    content: bytes


@frozen
class TargetEntry:
    """A target and whether it is loading weights, and so refuses work.

    ``is_emptying`` tells that it loads as soon as its long requests have ended, and
    gets no more of them.
    """

    target: ListedTarget
    is_loading: bool = False
    is_emptying: bool = False


@frozen
class TargetsUpdate:
    """Targets, the weights that were named, and stores out of reach.

    ``targets`` are all of them if ``is_whole``, else those that changed since the
    update before; ``gone`` are the identities of those that are not listed any more.
    ``numbers`` are those of ``targets``, in the same order, by which other messages
    with the same ``numbering`` name them.
    """

    targets: tuple[TargetEntry, ...]
    weights: tuple[NamedWeights, ...]
    down_stores: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    is_whole: bool = True
    numbering: int = 0
    numbers: tuple[int, ...] = ()


@frozen
class RouterEntry:
    """A router that callers may be sent to."""

    address: str
    failure_domain: str


@frozen
class RosterUpdate:
    """Routers that take requests.

    ``routers`` are all of them if ``is_whole``, else those that came since the update
    before; ``gone`` are the addresses of those that left.
    """

    routers: tuple[RouterEntry, ...]
    gone: tuple[str, ...] = ()
    is_whole: bool = True


@frozen
class LoadsUpdate:
    """Requests under way at each target over all routers.

    ``suspects`` are targets that several routers left out after failures.
    """

    loads: tuple[TargetLoad, ...]
    suspects: tuple[str, ...] = ()


@frozen
class LoadColumns:
    """Sums of loads on their way to routers; `berylnotch.group.columns` reads them.

    The bytes at a target's number are its requests, and its unread prompt tokens on a
    logarithmic scale. ``suspects`` are numbers of targets.
    """

    numbering: int
    requests: bytes
    unread: bytes
    suspects: tuple[int, ...] = ()


@frozen
class NoteRecords:
    """Notes of prompts on their way to routers; `berylnotch.group.columns` reads them.

    ``notes`` are records of a fixed size, ``stores`` the addresses of the stores that
    they mean.
    """

    numbering: int
    notes: bytes
    stores: tuple[str, ...] = ()


@frozen
class CrashesUpdate:
    """Suspicions of requests that other routers reported."""

    crashes: tuple[CrashMark, ...]


#: Messages between controllers.
GROUP_MESSAGES = (*message_classes(consensus), JoinRequest, Redirect)

#: Messages that a controller takes.
CONTROLLER_MESSAGES = (*GROUP_MESSAGES, RouterReport, GrantRequest)

#: Messages that a router takes.
ROUTER_MESSAGES = (
    Redirect,
    ConfigurationUpdate,
    TargetsUpdate,
    RosterUpdate,
    LoadColumns,
    CrashesUpdate,
    NoteRecords,
    GrantReply,
)
