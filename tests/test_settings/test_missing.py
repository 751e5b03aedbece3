"""The error about a missing required setting names it and its allowed values."""

from __future__ import annotations

import pytest

from berylnotch.errors import ConfigurationError
from berylnotch.settings import read_controller, read_router

CONTROLLER = {
    "name": "control-1",
    "failure-domain": "howrah",
    "listen": "127.0.0.1:0",
    "data-folder": "data",
    "secret-file": "secret",
}
ROUTER = {
    "name": "entry-1",
    "failure-domain": "howrah",
    "http": "127.0.0.1:0",
    "listen": "127.0.0.1:0",
    "secret-file": "secret",
}
CASES = [
    pytest.param(kind, settings, read, name, id=f"{kind}-{name}")
    for kind, settings, read in (
        ("controller", CONTROLLER, read_controller),
        ("router", ROUTER, read_router),
    )
    for name in settings
]


@pytest.mark.parametrize(("kind", "settings", "read", "name"), CASES)
def test_missing_setting_is_named(tmp_path, kind, settings, read, name):
    lines = [f"{key} = {value}" for key, value in settings.items() if key != name]
    file = tmp_path / "process.ini"
    file.write_text("\n".join([f"[{kind}]", *lines, ""]), encoding="utf-8")
    with pytest.raises(ConfigurationError) as caught:
        read(str(file))
    assert f"{name} in [{kind}] is missing; it takes" in str(caught.value)
