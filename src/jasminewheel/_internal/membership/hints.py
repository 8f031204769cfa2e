"""Use the platform's list of leaving VMs as a hint."""

import logging
from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.events import membership as events
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.membership.vm_list import VmList
from jasminewheel.errors import JasminewheelError

PERIOD_SECONDS = 10.0
_LOGGER = logging.getLogger(__name__)


@define
class VmHints:
    """Rank members that are listed as leaving last as slot owners.

    The list lags and may name a VM that was replaced under its old name, so
    it is used for nothing else.
    """

    vms: VmList
    membership: Membership
    random: Random = field(factory=Random)

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            try:
                await self.read()
            except JasminewheelError as error:
                events.HINT_FAILED.log(_LOGGER, problem=error)
            await trio.sleep(PERIOD_SECONDS * self.random.uniform(1, 2))

    async def read(self) -> None:
        """Read the list once and apply it."""
        rows = await self.vms.rows()
        leaving = frozenset(row.member for row in rows if row.leaving)
        self.membership.set_leaving_hint(leaving)
