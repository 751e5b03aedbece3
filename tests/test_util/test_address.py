import pytest

from berylnotch.errors import ConfigurationError
from berylnotch.util.address import Address, parse_address


@pytest.mark.parametrize("port", [0, 1, 65535])
def test_address_is_parsed(port):
    assert parse_address(f" 10.0.0.1:{port} ") == Address("10.0.0.1", port)


@pytest.mark.parametrize("port", ["", "65536", "-1", "+1", "1_0", "0x1", "a"])
def test_malformed_port_is_refused(port):
    with pytest.raises(ConfigurationError):
        parse_address(f"10.0.0.1:{port}")


def test_port_too_long_for_an_integer_is_refused_with_a_short_message():
    for text in ("10.0.0.1:" + "9" * 5000, "9" * 5000 + ":1"):
        with pytest.raises(ConfigurationError) as error:
            parse_address(text)
        assert len(str(error.value)) < 300


def test_port_in_digits_of_another_script_is_refused():
    with pytest.raises(ConfigurationError):
        parse_address("10.0.0.1:٣")
