"""Controller process, which replicates the control state over the network."""

from __future__ import annotations
