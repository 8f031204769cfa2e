"""Serve pins, export and import of the fake engine's prefix cache."""

import json
from base64 import urlsafe_b64decode, urlsafe_b64encode

import trio
from attrs import define
from quart import Response, jsonify

from jasminewheel._internal.fakes.app import Route, error_response, request_json
from jasminewheel._internal.fakes.engine_cache import (
    PrefixCache,
)
from jasminewheel._internal.targets.prefix import PrefixBlock

_BAD_REQUEST = 400
_NO_ROOM = 507


@define
class MemoryViews:
    """Serve the routes of the prefix cache."""

    cache: PrefixCache
    is_fenced: bool
    kv_bytes_per_token: int
    import_bytes_per_second: float

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of pins, export and import."""
        pins = '/v1/cache/pins'
        return (
            Route('GET', pins, self.list_pins),
            Route('POST', pins, self.pin),
            Route('DELETE', f'{pins}/<block>', self.unpin),
            Route('POST', '/v1/cache/export', self.export_blocks),
            Route('POST', '/v1/cache/import', self.import_blocks),
        )

    async def list_pins(self) -> Response:
        """Return the pins that have not expired."""
        now = trio.current_time()
        self.cache.expire(now)
        pins = [
            {
                'block': block,
                'expires_seconds': pin.expires_at - now,
                'fence': pin.fence,
            }
            for block, pin in self.cache.pins.items()
        ]
        return jsonify({'pins': pins})

    async def pin(self) -> Response:
        """Pin a prefix or renew its pin."""
        fields = await request_json()
        block = str(fields.get('block', ''))
        seconds = float(fields.get('expires_seconds', 0))
        fence = int(fields.get('fence', 0))
        if seconds <= 0:
            return error_response(
                _BAD_REQUEST, 'expires_seconds is not above zero'
            )
        if self.is_fenced:
            self.cache.check_fence(block, fence)
        self.cache.pin(block, trio.current_time() + seconds, fence)
        return jsonify({'block': block})

    async def unpin(self, block: str) -> Response:
        """Remove a pin."""
        return jsonify({'was_pinned': self.cache.unpin(block)})

    async def export_blocks(self) -> Response:
        """Export a prefix; return it with its size in tokens and bytes."""
        block = str((await request_json()).get('block', ''))
        names = self.cache.prefix_of(block)
        pairs = [[name, self.cache.blocks[name].tokens] for name in names]
        tokens = sum(count for _, count in pairs)
        blob = urlsafe_b64encode(json.dumps(pairs).encode()).decode()
        size = tokens * self.kv_bytes_per_token
        return jsonify({'tokens': tokens, 'size_bytes': size, 'blob': blob})

    async def import_blocks(self) -> Response:
        """Store a prefix that another engine exported."""
        try:
            pairs = json.loads(
                urlsafe_b64decode((await request_json()).get('blob', '')),
            )
            blocks = [
                PrefixBlock(str(name), int(count)) for name, count in pairs
            ]
        except (TypeError, ValueError):
            return error_response(
                _BAD_REQUEST, 'blob is not an exported prefix'
            )
        tokens = sum(block.tokens for block in blocks)
        size = tokens * self.kv_bytes_per_token
        await trio.sleep(size / self.import_bytes_per_second)
        present = self.cache.cached_prefix(blocks)
        if not self.store(blocks, present):
            return error_response(_NO_ROOM, 'no memory for the prefix')
        return jsonify({'tokens': tokens})

    def store(self, blocks: list[PrefixBlock], present: int) -> bool:
        """Store the missing blocks; return whether they fit."""
        missing = blocks[present:]
        self.cache.acquire(blocks[:present])
        tokens = sum(block.tokens for block in missing)
        has_room = self.cache.make_room(tokens)
        self.cache.release(blocks[:present])
        if not has_room:
            return False
        parent = blocks[present - 1].block if present else ''
        for block in missing:
            self.cache.store(block, parent, is_prompt=False)
            parent = block.block
        self.cache.counts.imported_tokens += tokens
        return True
