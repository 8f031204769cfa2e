"""Check that a late registration of a disk ends no change of the replica set.

A VM loses its disk and registers the new one. The store loses the answer, and
executes that call right after the disk has registered that it has copied.
"""

import json
import shutil
from base64 import b64decode

import trio
from attrs import define

from tests.late_calls import LateCalls
from tests.platform_fleet import PlatformFleet, platform_fleet, stored_json

DISK_KEY = 'jasminewheel/disks/store-1'
SET_KEY = 'jasminewheel/replicas'
CHECK_SECONDS = 0.002
# The bound of the small sites for a disk to catch up.
CATCH_UP_SECONDS = 4.9
# A call without an answer is executed by then, or never.
LATEST_SECONDS = 6.0


@define(eq=False)
class UndoingWrite(LateCalls):
    """Lose the first registration, and execute it once a newer one stands."""

    fleet: PlatformFleet
    armed: bool = True
    executed: bool = False

    async def hold(self, name, fields, execute) -> None:
        """Return if the call is to be answered, else execute it late."""
        if self.armed and name == 'kv-txn' and _writes_disk(fields):
            self.armed = False
            self.nursery.start_soon(self.execute_once_undone, fields, execute)
            await trio.sleep_forever()

    async def execute_once_undone(self, fields, execute) -> None:
        """Execute the call right after the newer value, within its time."""
        lost = json.loads(b64decode(fields['Puts'][0]['Value']))
        with trio.move_on_after(LATEST_SECONDS):
            while self.copied_revision() <= lost['copied_revision']:
                await trio.sleep(CHECK_SECONDS)
            execute()
            self.executed = True

    def copied_revision(self) -> int:
        """Return for which change the stored disk has copied."""
        if DISK_KEY not in self.fleet.store.items:
            return 0
        return stored_json(self.fleet, DISK_KEY)['copied_revision']


def _writes_disk(fields: dict) -> bool:
    return fields['Puts'][0]['Key'] == DISK_KEY


def test_late_registration_ends_no_change_of_the_set(tmp_path):
    """The new disk joins in time, so that another one may be lost later."""

    async def scenario() -> None:
        async with platform_fleet(tmp_path) as fleet:
            await fleet.start_histories()
            before = stored_json(fleet, SET_KEY)
            fleet.scopes['store-1'].cancel()
            await trio.sleep(1)
            shutil.rmtree(tmp_path / 'store-1')
            late = UndoingWrite(lambda *_call: None, fleet.nursery, fleet)
            fleet.store.late_calls = late
            fleet.restart('store-1')
            with trio.move_on_after(LATEST_SECONDS):
                while not late.executed:
                    await trio.sleep(CHECK_SECONDS)
            assert late.executed
            await trio.sleep(CATCH_UP_SECONDS)
            found = stored_json(fleet, SET_KEY)
            assert not found['joining']
            assert found['members'] != before['members']

    trio.run(scenario)
