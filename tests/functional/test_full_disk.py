"""Check that full disks refuse records and lose none."""

from functools import partial

import pytest

from jasminewheel.errors import DiskFullError, QuorumError
from tests.histories import append_with_retries, fleet, placement_of, run

THREE = ('h1', 'h2', 'h3')
PLACEMENT = placement_of(*THREE)


def test_disk_full_is_refused_and_freed_by_drops(tmp_path):
    """A full disk refuses records, loses none, and recovers by drops."""

    async def scenario(folder):
        big = b'x' * 100_000
        limits = {'quota_bytes': 3 << 20, 'segment_bytes': 1 << 19}
        async with fleet(folder, *THREE, **limits) as running:
            async with running.owner('a', PLACEMENT) as owner:
                slot = await owner.own(3)
                count = await fill(partial(slot.append, 'p'), big)
                assert count > 5
            async with running.owner('b', PLACEMENT) as owner:
                slot = await owner.own(3)
                assert len(await slot.read('p')) in {count, count + 1}
                await slot.drop('p')
                await append_with_retries(slot, 'q', 0, 'turn', big)

    run(scenario, tmp_path)


async def fill(append, payload):
    """Append until refused; return the number of accepted records."""
    count = 0
    while True:
        try:
            await append(count, 'turn', payload)
        except (DiskFullError, QuorumError) as error:
            assert 'full' in str(error)
            return count
        count += 1


def test_refusal_names_the_full_disk(tmp_path):
    """If the only replica is full, the error says so."""

    async def scenario(folder):
        async with fleet(folder, 'h1', quota_bytes=1 << 20) as running:
            async with running.owner('a', placement_of('h1')) as owner:
                slot = await owner.own(3)
                with pytest.raises(DiskFullError, match='is full'):
                    await slot.append('p', 0, 'turn', b'x' * 2000)

    run(scenario, tmp_path)
