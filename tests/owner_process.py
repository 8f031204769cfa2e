"""Own a slot in a separate process and append to it continuously.

Prints one line for each record that a majority stores, and `fenced` at the end.
"""

import sys

import trio

from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.replication.placement import (
    Placement,
    PlacementView,
)
from jasminewheel.errors import FencedError


async def own(key, placement_text, *addresses):
    """Append numbered records until another owner seals the slot."""
    identity = PeerIdentity('old', '1', 'leicester-a')
    view = PlacementView(Placement.from_json(placement_text))
    known = dict(address.split('=') for address in addresses)
    async with PeerPool(identity, key.encode()) as pool:
        ownership = Ownership(pool, identity, view, known.__getitem__)
        slot = await ownership.own(0)
        index = 0
        while True:
            try:
                await slot.append('p', index, 'started', b'old-%d' % index)
            except FencedError:
                sys.stdout.write('fenced\n')
                return
            sys.stdout.write(f'{index}\n')
            sys.stdout.flush()
            index += 1


if __name__ == '__main__':
    trio.run(own, *sys.argv[1:])
