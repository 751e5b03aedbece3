"""HTTP transfers with pycurl in the event loop."""

from __future__ import annotations

import selectors
from collections.abc import Callable
from typing import TYPE_CHECKING

import pycurl
from attrs import frozen

from berylnotch.gateways.response_checker import ResponseChecker, watch_response
from berylnotch.net.sockets import unacknowledged_bytes
from berylnotch.util.loop import Loop, Timer

if TYPE_CHECKING:
    from berylnotch.gateways.http import UpstreamRequest

#: Bytes of a response that may wait for delivery before curl is paused.
_MAX_PENDING_BYTES = 64 * 1024
_CONNECT_TIMEOUT_MS = 1000
_MAX_IDLE_CONNECTIONS = 512
#: Methods whose requests may reuse an idle connection.
_CONNECTION_REUSE_METHODS = ("GET", "HEAD")


#: Called with the lines of a response's head, the status line first.
OnHead = Callable[[tuple[bytes, ...]], None]


@frozen
class TransferEnd:
    """Outcome of a transfer.

    Parameters
    ----------
    error : str
        Description of the failure; empty if the response is sound HTTP, and complete as
        its framing declares.
    sent : bool
        Whether any byte of the request may have reached the target.
    """

    error: str
    sent: bool


class Transfer:
    """One request and its response.

    Parameters
    ----------
    request : UpstreamRequest
        The request.
    on_head, on_body, on_end : callable
        Called with the head, each part of the body, and the outcome, in this order.
        They run in the loop's thread, outside curl's callbacks.
    """

    def __init__(
        self,
        request: UpstreamRequest,
        on_head: OnHead,
        on_body: Callable[[bytes], None],
        on_end: Callable[[TransferEnd], None],
    ) -> None:
        self.curl = pycurl.Curl()
        self._response = ResponseChecker(request.method)
        self._request_body_bytes = len(request.body)
        #: Descriptor of the connection of a request that has a body, else -1.
        self._fd = -1
        #: Number of sent bytes that the target's kernel had not received at the end.
        self._unreceived_bytes = 0
        self._on_head = on_head
        self._on_body = on_body
        self._on_end = on_end
        self._is_head_delivered = False
        self._pending_chunks: list[bytes] = []
        self._pending_bytes = 0
        self._end: TransferEnd | None = None
        self._is_paused = False
        self._is_curl_paused = False
        self._is_delivery_scheduled = False
        self.is_closed = False


class Upstreams:
    """Transfers of a process, which share a pool of connections.

    Parameters
    ----------
    loop : Loop
        Event loop that watches the sockets.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_IDLE_CONNECTIONS)
        self._timer: Timer | None = None
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        self._callbacks_by_fd: dict[int, Callable[[int], None]] = {}
        #: Transfers whose request has a body, by the descriptor of their connection.
        self._uploads_by_fd: dict[int, Transfer] = {}

    @property
    def active(self) -> int:
        """Number of transfers that have not ended."""
        return len(self._transfers)

    def close(self) -> None:
        """Cancel all transfers."""
        for transfer in tuple(self._transfers.values()):
            self.cancel(transfer)
        self._multi.close()

    def start(
        self,
        request: UpstreamRequest,
        on_head: OnHead,
        on_body: Callable[[bytes], None],
        on_end: Callable[[TransferEnd], None],
    ) -> Transfer:
        """Send a request; the callbacks receive its response."""
        transfer = Transfer(request, on_head, on_body, on_end)
        _configure_curl(transfer.curl, request)
        watch_response(
            transfer.curl,
            transfer._response,
            lambda content: self._on_content(transfer, content),
            lambda: _must_pause(transfer),
        )
        if request.body:
            transfer.curl.setopt(
                pycurl.SOCKOPTFUNCTION,
                lambda fd, _purpose: self._on_socket_opened(transfer, fd),
            )
        self._transfers[transfer.curl] = transfer
        self._multi.add_handle(transfer.curl)
        # This call starts to connect and send at once; otherwise curl would start when
        # its timer expires.
        self._drive_curl(pycurl.SOCKET_TIMEOUT, 0)
        return transfer

    def pause(self, transfer: Transfer) -> None:
        """Stop the delivery of the response until `resume`."""
        transfer._is_paused = True

    def resume(self, transfer: Transfer) -> None:
        """Continue the delivery after `pause`."""
        transfer._is_paused = False
        self._schedule_delivery(transfer)

    def cancel(self, transfer: Transfer) -> None:
        """Abort a transfer; its connection is closed and no callback follows."""
        if transfer.is_closed:
            return
        transfer.is_closed = True
        self._release(transfer)

    def _release(self, transfer: Transfer) -> None:
        if self._uploads_by_fd.get(transfer._fd) is transfer:
            del self._uploads_by_fd[transfer._fd]
        if self._transfers.pop(transfer.curl, None) is not None:
            self._multi.remove_handle(transfer.curl)
            transfer.curl.close()

    def _on_socket_opened(self, transfer: Transfer, fd: int) -> int:
        transfer._fd = fd
        self._uploads_by_fd[fd] = transfer
        return pycurl.SOCKOPT_OK

    def _on_content(self, transfer: Transfer, content: bytes) -> None:
        transfer._pending_chunks.append(content)
        transfer._pending_bytes += len(content)
        self._schedule_delivery(transfer)

    def _schedule_delivery(self, transfer: Transfer) -> None:
        # curl forbids most calls from its callbacks, so delivery is deferred.
        if not transfer._is_delivery_scheduled:
            transfer._is_delivery_scheduled = True
            self._loop.call_soon(lambda: self._deliver(transfer))

    def _deliver(self, transfer: Transfer) -> None:
        transfer._is_delivery_scheduled = False
        if transfer.is_closed or transfer._is_paused:
            return
        if not transfer._is_head_delivered and (
            transfer._pending_chunks or _has_succeeded(transfer)
        ):
            transfer._is_head_delivered = True
            transfer._on_head(transfer._response.head_lines)
        if (
            transfer._pending_chunks
            and not transfer.is_closed
            and not transfer._is_paused
        ):
            data = b"".join(transfer._pending_chunks)
            transfer._pending_chunks.clear()
            transfer._pending_bytes = 0
            transfer._on_body(data)
        self._unpause_curl(transfer)
        self._deliver_end(transfer)

    def _unpause_curl(self, transfer: Transfer) -> None:
        if (
            transfer.is_closed
            or transfer._pending_chunks
            or not transfer._is_curl_paused
        ):
            return
        transfer._is_curl_paused = False
        if transfer.curl in self._transfers:
            transfer.curl.pause(pycurl.PAUSE_CONT)
            self._drive_curl(pycurl.SOCKET_TIMEOUT, 0)

    def _deliver_end(self, transfer: Transfer) -> None:
        if transfer.is_closed or transfer._pending_chunks or transfer._end is None:
            return
        if transfer._is_paused:
            return
        transfer.is_closed = True
        transfer._on_end(transfer._end)

    def _on_socket(self, event: int, fd: int, _multi: object, _data: object) -> None:
        upload = self._uploads_by_fd.get(fd)
        if event == pycurl.POLL_REMOVE:
            if upload is not None:
                # curl closes the connection after this call, unless it is paused.
                upload._unreceived_bytes = unacknowledged_bytes(fd)
            callback = self._callbacks_by_fd.pop(fd, None)
            if callback is not None:
                self._loop.watch(fd, 0, callback)
            return
        if upload is not None:
            upload._unreceived_bytes = 0
        events = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        callback = self._callbacks_by_fd.get(fd)
        if callback is None:
            callback = self._make_callback(fd)
            self._callbacks_by_fd[fd] = callback
        self._loop.watch(fd, events, callback)

    def _make_callback(self, fd: int) -> Callable[[int], None]:
        def on_ready(events: int) -> None:
            mask = 0
            if events & selectors.EVENT_READ:
                mask |= pycurl.CSELECT_IN
            if events & selectors.EVENT_WRITE:
                mask |= pycurl.CSELECT_OUT
            self._drive_curl(fd, mask)

        return on_ready

    def _on_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(
                timeout_ms / 1000, lambda: self._drive_curl(pycurl.SOCKET_TIMEOUT, 0)
            )

    def _drive_curl(self, fd: int, mask: int) -> None:
        self._multi.socket_action(fd, mask)
        while True:
            remaining_messages, completed, failed = self._multi.info_read()
            for curl in completed:
                self._on_curl_done(curl, "")
            for curl, code, message in failed:
                self._on_curl_done(curl, message or f"curl error {code}")
            if not remaining_messages:
                return

    def _on_curl_done(self, curl: pycurl.Curl, error: str) -> None:
        transfer = self._transfers.get(curl)
        if transfer is None:
            return
        sent_body_bytes = curl.getinfo(pycurl.SIZE_UPLOAD_T)
        is_request_received = (
            sent_body_bytes == transfer._request_body_bytes
            and not transfer._unreceived_bytes
        )
        error = transfer._response.find_problem(error, is_request_received)
        sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
        transfer._end = TransferEnd(error, sent)
        self._release(transfer)
        self._schedule_delivery(transfer)


def _must_pause(transfer: Transfer) -> bool:
    is_full = transfer._pending_bytes > _MAX_PENDING_BYTES
    transfer._is_curl_paused = transfer._is_curl_paused or is_full
    return is_full


def _has_succeeded(transfer: Transfer) -> bool:
    return transfer._end is not None and not transfer._end.error


def _configure_curl(curl: pycurl.Curl, request: UpstreamRequest) -> None:
    curl.setopt(pycurl.URL, request.url)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, _CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.TIMEOUT_MS, max(int(request.timeout_s * 1000), 1))
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.FOLLOWLOCATION, 0)
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
    if request.method not in _CONNECTION_REUSE_METHODS:
        # curl silently repeats a request if the connection that it reused was closed.
        # The request would run twice, and the router would not notice that a target
        # was lost.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE_LARGE, len(request.body))
        curl.setopt(pycurl.POSTFIELDS, request.body)
    if request.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)
    lines = [f"{header.name}: {header.value}" for header in request.headers]
    # An empty value stops curl from adding the header itself.
    lines += ["Expect:", "User-Agent: berylnotch"]
    curl.setopt(pycurl.HTTPHEADER, lines)
