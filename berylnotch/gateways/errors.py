"""Errors of the gateways."""

from __future__ import annotations

from berylnotch.errors import GatewayError


class ForbiddenRequestError(GatewayError):
    """A caller's request may not be passed on as it is; nothing was run."""


class BadAnswerError(GatewayError):
    """A system outside answered something that can't be read."""
