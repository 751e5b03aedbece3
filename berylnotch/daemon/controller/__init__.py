"""Shell of a controller: runs the replicated control state over the network."""

from __future__ import annotations
