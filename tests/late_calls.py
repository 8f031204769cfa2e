"""Execute calls to a stand-in late, after their answer was lost."""

from collections.abc import Callable

import trio
from attrs import define


@define(eq=False)
class LateCalls:
    """Choose the calls whose answer is lost, and execute them late."""

    # Returns after how many seconds a call is executed, by its name and its
    # fields; None for a call that is executed and answered at once.
    seconds: Callable[[str, dict], float | None]
    nursery: trio.Nursery

    async def hold(
        self, name: str, fields: dict, execute: Callable[[], object]
    ) -> None:
        """Return if the call is to be answered, else execute it late."""
        late = self.seconds(name, fields)
        if late is not None:
            self.nursery.start_soon(_execute_late, execute, late)
            await trio.sleep_forever()


async def _execute_late(execute: Callable[[], object], seconds: float) -> None:
    await trio.sleep(seconds)
    execute()


@define(eq=False)
class LostWrite:
    """Lose the answers to the next writes of a key, and execute them late."""

    key: str
    # How late each of these writes is executed.
    late_seconds: list[float]

    def __call__(self, name: str, fields: dict) -> float | None:
        """Return how late a call is executed, or None if it is answered."""
        keys = [put['Key'] for put in fields.get('Puts', ())]
        if name == 'kv-txn' and self.key in keys and self.late_seconds:
            return self.late_seconds.pop(0)
        return None
