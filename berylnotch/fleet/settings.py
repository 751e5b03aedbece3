"""Declarations of all settings of the operators' text.

The parser, the error messages and the operators' documentation use this table.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from typing import Any

from attrs import frozen

from berylnotch.fleet import values


@frozen
class Setting:
    """Declaration of one setting.

    Parameters
    ----------
    section : str
        Kind of section that holds the setting.
    name : str
        Name of the setting in the text.
    field : str
        Field of the model class.
    convert : callable
        Converts the text of the value into the model's value; raises ValueError that
        says why the text is invalid.
    allowed : str
        Description of the type, unit and range.
    affects : str
        Description of what the setting affects.
    default : str or None, default=None
        Default in the form of the text, or None if the setting is required.
    unit : str, default=""
        Unit of the model's value.
    """

    section: str
    name: str
    field: str
    convert: Callable[[str], Any]
    allowed: str
    affects: str
    default: str | None = None
    unit: str = ""

    def format_value(self, value: Any) -> str:
        """Format a value of the model in the form of the text."""
        return values.format_value(value, self.unit)


#: Kinds of section, mapped to whether the header holds a name.
SECTIONS = {
    "fleet": False,
    "vm": True,
    "organisation": True,
    "service": True,
    "target": True,
    "route": True,
}

_NAME = "a name: letters a-z, digits and hyphens, at most 63"
_NAMES = "names, separated by commas"
_ADDRESS = "IP:port, the port from 1 to 65535; IPv6 as [IP]:port"
_MODELS = "model names, separated by commas"
_VERSION = "letters, digits, dots, underscores and hyphens, at most 64"

#: All settings, in the order of the operators' documentation.
SETTINGS = (
    Setting(
        "fleet", "region", "region", values.name, _NAME, "only the name in reports"
    ),
    Setting(
        "fleet",
        "failure-domains",
        "failure_domains",
        values.names,
        _NAMES,
        "which failure domains VMs and targets may name",
    ),
    Setting(
        "fleet",
        "address-keep",
        "address_keep_s",
        values.duration(1.0, 3600.0),
        "seconds or minutes, 1 s to 60 min",
        "how long callers keep an address answer, and so how long a stop takes",
        "30 s",
        unit="s",
    ),
    Setting(
        "fleet",
        "weight-loads",
        "weight_loads_per_min",
        values.quantity("loads/min", 1, 10_000),
        "loads/min, 1 to 10000",
        "how fast engines are ordered to load from the weight store",
        "30 loads/min",
        unit="loads/min",
    ),
    Setting(
        "vm",
        "address",
        "address",
        values.address,
        _ADDRESS,
        "the address that callers are told; connected callers stay",
    ),
    Setting(
        "vm",
        "failure-domain",
        "failure_domain",
        values.name,
        _NAME,
        "which targets count as near to the VM's router",
    ),
    Setting(
        "organisation",
        "rate",
        "rate",
        values.quantity("tokens/s", 1, 1_000_000_000),
        "tokens/s, 1 to 1000000000",
        "tokens a second over all VMs, from the next grant on",
        unit="tokens/s",
    ),
    Setting(
        "organisation",
        "burst",
        "burst",
        values.quantity("tokens", 1, 100_000_000_000),
        "tokens, 1 to 100000000000",
        "tokens that may be charged at once after a quiet time",
        unit="tokens",
    ),
    Setting(
        "organisation",
        "share",
        "share",
        values.number(1, 1000),
        "a whole number, 1 to 1000",
        "weight against other organisations when targets are busy",
        "1",
    ),
    Setting(
        "service",
        "kind",
        "kind",
        values.kind,
        "language, plain or kv-store",
        "how its targets are spoken to",
    ),
    Setting(
        "service",
        "models",
        "models",
        values.models,
        _MODELS,
        "the model names that callers may ask for; language services only",
        "",
    ),
    Setting(
        "service",
        "weights",
        "weights",
        values.version,
        _VERSION,
        "a rollout of this version begins; language services only",
        "",
    ),
    Setting(
        "service",
        "requires",
        "requires",
        values.names,
        _NAMES,
        "while one of these cannot serve, requests are refused as not run",
        "",
    ),
    Setting(
        "service",
        "optional",
        "optional",
        values.names,
        _NAMES,
        "while one of these cannot serve, the service runs without it",
        "",
    ),
    Setting(
        "target",
        "service",
        "service",
        values.name,
        "the name of a service",
        "which requests the target gets",
    ),
    Setting(
        "target",
        "address",
        "address",
        values.address,
        _ADDRESS,
        "where new requests go; running ones stay where they are",
    ),
    Setting(
        "target",
        "failure-domain",
        "failure_domain",
        values.name,
        _NAME,
        "which routers count it as near",
    ),
    Setting(
        "target",
        "checks-orders",
        "checks_orders",
        values.yes_no,
        "yes or no",
        "whether an order waits out the previous leader's lease (no) or not",
        "no",
    ),
    Setting(
        "target",
        "capacity",
        "capacity",
        values.quantity("requests", 1, 100_000),
        "requests, 1 to 100000",
        "how many requests a router sends it at once before they queue",
        "16 requests",
        unit="requests",
    ),
    Setting(
        "route",
        "service",
        "service",
        values.name,
        "the name of a service",
        "who answers below the prefix",
    ),
    Setting(
        "route",
        "open",
        "open",
        values.yes_no,
        "yes or no",
        "whether requests without a key are served",
        "no",
    ),
    Setting(
        "route",
        "idempotent-methods",
        "idempotent_methods",
        values.methods,
        "methods in capitals, separated by commas",
        "which methods may be repeated after a failure; all others run at most once",
        "GET, HEAD",
    ),
    Setting(
        "route",
        "timeout",
        "timeout_s",
        values.duration(0.1, 3600.0),
        "seconds, milliseconds or minutes, 100 ms to 60 min",
        "how long a request may take before it is given up",
        "30 s",
        unit="s",
    ),
)


@cache
def settings_of(section: str) -> dict[str, Setting]:
    """Return the settings of a kind of section by name."""
    return {setting.name: setting for setting in SETTINGS if setting.section == section}
