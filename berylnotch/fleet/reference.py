"""Markdown reference of the operators' text, for the operators' documentation.

``python -m berylnotch.fleet.reference`` prints it.
"""

from __future__ import annotations

from berylnotch.fleet.settings import SECTIONS, Setting, settings_of

_TITLES = {
    "fleet": "`[fleet]`: the whole fleet, once",
    "vm": "`[vm NAME]`: an entry VM with a router",
    "organisation": "`[organisation NAME]`: a customer",
    "service": "`[service NAME]`: what requests are routed to",
    "target": "`[target NAME]`: a back end of a service",
    "route": "`[route /PREFIX]`: a path and the service below it",
}


def reference() -> str:
    """Return the tables of settings of all sections as Markdown."""
    parts = []
    for section in SECTIONS:
        parts.append(f"### {_TITLES[section]}\n")
        parts.append("| setting | allowed | default | what a change affects |")
        parts.append("|---|---|---|---|")
        parts.extend(_row(setting) for setting in settings_of(section).values())
        parts.append("")
    return "\n".join(parts)


def _row(setting: Setting) -> str:
    default = "required" if setting.default is None else f"`{setting.default}`"
    if setting.default == "":
        default = "none"
    return f"| `{setting.name}` | {setting.allowed} | {default} | {setting.affects} |"


if __name__ == "__main__":
    print(reference())
