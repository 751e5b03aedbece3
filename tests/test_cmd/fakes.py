"""Fake client that answers the tool from a control state, without processes."""

from __future__ import annotations

from typing import Any

from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.control.protocol import (
    AuditReply,
    AuditRequest,
    BootstrapReply,
    BootstrapRequest,
    ClaimReply,
    ClaimRequest,
    ControllerLine,
    JoinReply,
    JoinRequest,
    KeysReply,
    KeysRequest,
    MemberChangeReply,
    MemberChangeRequest,
    OrganisationLine,
    ProposeReply,
    ProposeRequest,
    RouterLine,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    TargetLine,
    WhyLine,
    WhyReply,
    WhyRequest,
)
from berylnotch.errors import TransportError
from berylnotch.transport.codec import decode
from tests.test_control.helpers import Machine


def member(number: int, replica: str = "0") -> Member:
    name = f"control-{number}"
    address = f"127.0.0.1:700{number}"
    return Member(name, f"{name}/{replica}", address, "kolkata-a", Role.VOTER)


class FakeCluster:
    """Replaces `Client` and the processes to which it connects."""

    router_address = "127.0.0.1:8001"

    def __init__(self) -> None:
        self.machine = Machine()
        self.members = Members(tuple(member(n) for n in (1, 2, 3)))
        self.groups: dict[str, Members] = {}
        self.answers_to_lose = 0
        self.client_arguments: tuple[Any, ...] = ()
        self.open_clients = 0

    def make_client(self, *client_arguments: Any) -> FakeCluster:
        self.client_arguments = client_arguments
        return self

    def start(self) -> None:
        self.open_clients += 1

    def close(self) -> None:
        self.open_clients -= 1

    def call(self, message: object, timeout_s: float | None = None) -> Any:
        answer = self._answer(message)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise TransportError("no answer came")
        return answer

    def call_at(self, address: str, message: object, timeout_s: float = 5.0) -> Any:
        if isinstance(message, WhyRequest):
            return self._why(address, message)
        contacted = next(m for m in self.members.members if m.address == address)
        if isinstance(message, JoinRequest):
            return JoinReply(contacted, address in self.groups)
        assert isinstance(message, BootstrapRequest)
        return BootstrapReply(self.groups.setdefault(address, message.members))

    def _answer(self, message: Any) -> Any:
        state = self.machine.state
        match message:
            case ProposeRequest():
                return ProposeReply(self.machine.run(decode(message.command)).result)
            case ShowRequest():
                return ShowReply(state.revision, state.text)
            case AuditRequest():
                return AuditReply(state.audit(message.after_index, message.limit))
            case KeysRequest():
                return KeysReply(state.keys(message.organisation))
            case ClaimRequest():
                claim = state.claim(message.organisation, message.idempotency_key)
                return ClaimReply(claim)
            case StatusRequest():
                return self._status()
            case MemberChangeRequest():
                remaining = [
                    m for m in self.members.members if m.name != message.replace
                ]
                return MemberChangeReply(Members((*remaining, member(4))))
        raise AssertionError(message)

    def _status(self) -> StatusReply:
        lines = [
            ControllerLine(m, number == 0, 41 - number, (0, 20, -1)[number])
            for number, m in enumerate(self.members.members)
        ]
        return StatusReply(
            term=3,
            leader="control-1/0",
            commit=41,
            revision=self.machine.state.revision,
            controllers=tuple(lines),
            routers=(
                RouterLine("entry-1", "i1", self.router_address, "howrah", "live", 90),
            ),
            targets=(
                TargetLine(
                    "e-1", "sake-llm", "127.0.0.1:1", "howrah", "live", True, "v1"
                ),
                TargetLine(
                    "e-2", "sake-llm", "127.0.0.1:2", "howrah", "lost", False, ""
                ),
            ),
            organisations=(
                OrganisationLine("clerks", 100, 300, 1, 300, 0),
                OrganisationLine("importer-desk", 20000, 60000, 4, 50, 19000),
            ),
        )

    def _why(self, address: str, message: WhyRequest) -> WhyReply:
        if address.endswith("1"):
            raise TransportError("no connection")
        if message.request_id != "r-1":
            return WhyReply(message.request_id, "", 0)
        lines = (
            WhyLine("sake-llm-2", True, 12.5, "3 of 4 pieces cached"),
            WhyLine("sake-llm-1", False, 240.0, "queue of 9"),
        )
        return WhyReply("r-1", "clerks", 4, lines, "ran")
