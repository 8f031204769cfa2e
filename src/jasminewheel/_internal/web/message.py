"""Send a message with its body."""

import trio

# A longer body is sent after the head, rather than copied behind it.
MAX_JOINED_BYTES = 65536


async def send_message(
    stream: trio.abc.SendStream, head: bytes, body: bytes
) -> None:
    """Send a head and its body, together if the body is short."""
    if len(body) > MAX_JOINED_BYTES:
        await stream.send_all(head)
        await stream.send_all(body)
    else:
        await stream.send_all(b'%b%b' % (head, body))
