from __future__ import annotations

import doctest
from pathlib import Path

import pytest

from berylnotch import consensus, quota
from berylnotch.cmd.config import read_settings
from berylnotch.fleet.text import parse, read
from berylnotch.settings import read_controller, read_router
from examples import limiter

ROOT = Path(__file__).parents[1]
THREE_VMS = ROOT / "examples" / "three-vms"


def test_embedding_page():
    page = ROOT / "docs" / "embedding.md"
    results = doctest.testfile(str(page), module_relative=False)
    assert results.attempted > 20
    assert results.failed == 0


def test_limiter_keeps_to_rate_and_burst(capsys):
    limit = 1000.0 * 10 + 2000.0
    assert limit / 2 < limiter.run(10.0) * limiter.COST <= limit
    assert limiter.main() == 0
    assert "tokens in 10 s" in capsys.readouterr().out


@pytest.mark.parametrize("package", [consensus, quota])
def test_public_names_exist(package):
    for name in package.__all__:
        assert getattr(package, name) is not None


def test_unknown_public_name():
    with pytest.raises(AttributeError, match="no attribute 'Raplica'"):
        consensus.Raplica  # noqa: B018


@pytest.fixture
def three_vms(tmp_path, monkeypatch):
    for file in THREE_VMS.glob("*.ini"):
        (tmp_path / file.name).write_bytes(file.read_bytes())
    (tmp_path / "secret").write_text("0" * 32)
    (tmp_path / "asha.key").write_text("00" * 32)
    monkeypatch.chdir(tmp_path)
    return tmp_path


def test_files_of_three_vms(three_vms):
    fleet = parse(read("fleet.ini"), "fleet.ini")
    operator = read_settings("operator.ini")
    controllers = {c.name: c.address for c in operator.controllers}
    assert len(controllers) == len(operator.routers) == len(fleet.vms) == 3
    for number in (1, 2, 3):
        controller = read_controller(f"control-{number}.ini")
        router = read_router(f"entry-{number}.ini")
        assert controllers[controller.name] == controller.listen
        assert fleet.vms[router.name].address == router.http
        assert fleet.vms[router.name].failure_domain == router.failure_domain
        assert {c.name: c.address for c in router.controllers} == controllers
