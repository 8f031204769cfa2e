"""Compress values, also as what differs from an earlier value of a key."""

import zstandard

from jasminewheel.errors import PeerError

# A value that another process sent may not unpack to more: 16 MiB.
MAX_UNPACKED_BYTES = 16777216
_LEVEL = 3
_MIN_WINDOW_BITS = 10


def pack(stored: bytes, base: bytes = b'') -> bytes:
    """Return the compressed value; who unpacks it needs the same base."""
    # The window has to reach from the end of the value back into the base.
    window_bits = (len(stored) + len(base)).bit_length()
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL,
        source_size=len(stored),
        dict_size=len(base),
        window_log=max(_MIN_WINDOW_BITS, window_bits),
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(base)
    )
    return compressor.compress(stored)


def unpack(packed: bytes, base: bytes = b'') -> bytes:
    """Return the value; raise PeerError if it is unreadable or too large."""
    try:
        size = zstandard.frame_content_size(packed)
        if size > MAX_UNPACKED_BYTES:
            raise PeerError(
                f'a packed value of {size} bytes exceeds {MAX_UNPACKED_BYTES}'
            )
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        return decompressor.decompress(
            packed, max_output_size=MAX_UNPACKED_BYTES
        )
    except zstandard.ZstdError as error:
        raise PeerError(f'a packed value is unreadable: {error}') from error


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
