"""Harness and command builders for the tests of the control state."""

from __future__ import annotations

from berylnotch.control.commands import ApplyText, GiveKey, OpenClaim, Proposal
from berylnotch.control.state import AppliedCommand, ControlState
from berylnotch.transport.codec import encode

TEXT = """\
[fleet]
region = bengal-east
failure-domains = kolkata-a, howrah
weight-loads = 60 loads/min
[vm entry-1]
address = 127.0.0.1:8001
failure-domain = kolkata-a
[organisation importer-desk]
rate = 20000 tokens/s   ; over all VMs
burst = 60000 tokens
share = 4
[organisation clerks]
rate = 100 tokens/s
burst = 300 tokens
[service sake-llm]
kind = language
models = sake-1
weights = v1
optional = prompt-keep
[service prompt-keep]
kind = kv-store
[target prompt-keep-1]
service = prompt-keep
address = 127.0.0.1:9101
failure-domain = howrah
[target sake-llm-1]
service = sake-llm
address = 127.0.0.1:9001
failure-domain = kolkata-a
checks-orders = yes
[target sake-llm-2]
service = sake-llm
address = 127.0.0.1:9002
failure-domain = howrah
capacity = 8 requests
[target sake-llm-3]
service = sake-llm
address = 127.0.0.1:9003
failure-domain = howrah
[route /v1]
service = sake-llm
"""


class Machine:
    """Control state that applies commands at consecutive log indexes and times."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0
        self.at_ms = 1_000_000

    def run(self, command: object, at_ms: int = 0) -> AppliedCommand:
        self.index += 1
        self.at_ms = at_ms or self.at_ms + 10
        proposal = Proposal(self.at_ms, encode(command))
        return self.state.apply(self.index, proposal)


def configured_harness(text: str = TEXT) -> Machine:
    """Return a harness with a fleet configuration in force."""
    harness = Machine()
    harness.run(ApplyText("c-0", "asha", 0, text))
    return harness


def give_key(number: int, organisation: str = "clerks") -> GiveKey:
    key_hash = number.to_bytes(32, "big")
    return GiveKey(f"give-{number}", "asha", f"k{number}", organisation, key_hash)


def claim(attempt: str = "a1", router: str = "entry-1/i1") -> OpenClaim:
    return OpenClaim("clerks", "order-7", b"f" * 8, router, attempt)
