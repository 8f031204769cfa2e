"""Parse addresses of the form HOST:PORT."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raise ValueError if there is no port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
