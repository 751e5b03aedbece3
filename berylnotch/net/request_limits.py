"""Limits on the memory for callers and on waits, and what their input costs."""

from __future__ import annotations

import resource

from attrs import frozen

from berylnotch.net.sockets import CALLER_BUFFER_BYTES

#: Shares of a process's memory for small input and for large bodies. The responses of
#: targets may take 0.4 (`response_memory`), and the rest is the process itself.
SMALL_FRACTION, LARGE_FRACTION = 0.1, 0.2

#: Size of a body in bytes up to which it needs no grant. It holds almost all bodies.
SMALL_BODY_BYTES = 64 * 1024

#: Size of a body in chunks, whose size is unknown, up to which it needs no grant.
SMALL_CHUNKED_BYTES = 16 * 1024

#: Copies of a body that exist at the same time while its request is sent to a target:
#: the body, the encoded request, and the output of the connection to the target.
BODY_COPIES = 3

#: Share of the small input that is reserved for ordinary requests, and largest cost of
#: one in bytes: it holds a prompt of some 600 tokens. The reserve is enough for 80 of
#: them at 64 MB.
RESERVED_FRACTION, ORDINARY_BYTES = 0.2, 16 * 1024

#: Cost of an open connection in bytes, besides what it holds (measured: 3.4 kB).
CONNECTION_BYTES = 4096

#: Cost in bytes of a parsed header line besides its bytes: a tuple and two strings.
HEADER_LINE_BYTES = 200

#: Cost in bytes of a body that waits for a grant, besides its bytes that were read: the
#: kernel fills its receive buffer.
WAITING_BYTES = 2 * CALLER_BUFFER_BYTES

#: Seconds that a granted body may take before its rate counts, or without any of its
#: bytes, and the rate in bytes per second that it needs while other bodies wait.
GRANT_GRACE_S, MIN_GRANTED_BYTES_PER_S = 2.0, 64 * 1024.0

#: Longest time in seconds from the start of a wait to the last grant.
MAX_WAIT_S = 60.0

#: Size of a body in bytes up to which it can wait again: what was read before the first
#: wait and what waited in the receive buffer, with room to spare.
MAX_WAITING_AGAIN_BYTES = 2 * WAITING_BYTES

#: Seconds for which the bodies of a client that lost a grant come after the others.
PENALTY_S = 30.0

#: Seconds, and rate in bytes per second beside them, in which a caller has to take a
#: response. Its connection may be evicted for others afterwards.
SENDING_GRACE_S, MIN_SENT_BYTES_PER_S = 5.0, 64 * 1024.0

#: Callers' connections per megabyte of memory, and maximum number: 3000 at 200 MB.
CONNECTIONS_PER_MB, MAX_CONNECTIONS = 15, 3000

#: Further connections at ports for operators, metrics and readiness, which answer even
#: if callers use all connections.
CONTROL_CONNECTIONS = 32

#: Share of the limit on descriptors that callers' connections may use; each request in
#: progress needs a second descriptor for its target.
DESCRIPTOR_FRACTION = 0.5

_MB = 1_000_000


@frozen
class RequestLimits:
    """Limits on the memory for callers, in bytes, and on their connections."""

    small_bytes: int
    large_bytes: int
    connections: int


def request_limits(memory_mb: float, max_descriptors: int = 0) -> RequestLimits:
    """Return the limits in a process.

    Parameters
    ----------
    memory_mb : float
        Memory in megabytes that the process may use.
    max_descriptors : int, default=0
        Descriptors that the process may have open by its settings, which may be fewer
        than the system allows; 0 if nothing is stated.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors and not 0 <= descriptors <= max_descriptors:
        descriptors = max_descriptors
    connections = min(MAX_CONNECTIONS, int(CONNECTIONS_PER_MB * memory_mb))
    if descriptors != resource.RLIM_INFINITY:
        connections = min(connections, int(DESCRIPTOR_FRACTION * descriptors))
    return RequestLimits(
        int(SMALL_FRACTION * memory_mb * _MB),
        int(LARGE_FRACTION * memory_mb * _MB),
        connections,
    )
