"""Check that outgoing connections cannot occupy the ports of test processes."""

from tests.free_port import free_port, outgoing_ports


def test_ports_are_none_of_outgoing_connections():
    """Each port is returned once, outside the range of outgoing ports."""
    found = [free_port() for _ in range(50)]
    assert len(set(found)) == len(found)
    assert not set(found) & set(outgoing_ports())
