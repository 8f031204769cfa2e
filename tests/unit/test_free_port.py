"""Check that the ports of test processes cannot be taken meanwhile."""

from tests.free_port import free_port, outgoing_ports


def test_ports_are_none_of_outgoing_connections():
    """A port stays free until its process listens, and is given once."""
    found = [free_port() for _ in range(50)]
    assert len(set(found)) == len(found)
    assert not set(found) & set(outgoing_ports())
