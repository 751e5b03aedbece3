"""Outgoing links to other processes, opened on demand."""

from __future__ import annotations

from berylnotch.errors import ConfigurationError
from berylnotch.transport.link import Link, LinkHandler, LinkSettings, open_link
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop


class PeerLinks:
    """Outgoing links by address; a message that cannot be sent is dropped.

    The protocols that use the links retransmit their messages where delivery matters.

    Parameters
    ----------
    loop : Loop
        Event loop that serves the links.
    classes : tuple of type
        Message classes that are accepted.
    handler : callable
        Receives each message.
    log : EventLog
        Log of the process.
    settings : LinkSettings
        Time-outs and back-off of the links.
    """

    def __init__(
        self,
        loop: Loop,
        classes: tuple[type, ...],
        handler: LinkHandler,
        log: EventLog,
        settings: LinkSettings,
    ) -> None:
        self._loop = loop
        self._classes = classes
        self._handler = handler
        self._log = log
        self._settings = settings
        self._links: dict[str, Link] = {}
        self._retry_at: dict[str, float] = {}

    def send(self, address: str, message: object) -> None:
        """Send a message; opens a link first if there is none."""
        link = self._links.get(address) or self._open(address)
        if link is not None:
            link.send(message)

    def close(self) -> None:
        """Close all links."""
        for link in tuple(self._links.values()):
            link.close()

    def _open(self, address: str) -> Link | None:
        if boot_time() < self._retry_at.get(address, 0.0):
            return None
        self._retry_at[address] = boot_time() + self._settings.retry_s
        try:
            link = open_link(
                self._loop,
                parse_address(address),
                self._classes,
                self._handler,
                self._on_close,
                self._settings,
            )
        except (OSError, ConfigurationError) as error:
            self._log.warning("link_failed", peer=address, reason=str(error))
            return None
        self._links[address] = link
        link.start()
        return link

    def _on_close(self, link: Link, reason: str) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._retry_at[link.peer] = boot_time() + self._settings.retry_s
        self._log.info("link_closed", peer=link.peer, reason=reason)
