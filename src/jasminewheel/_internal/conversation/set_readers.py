"""List the processes that read the store for the others."""

from attrs import frozen

from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.store.reader_choice import Reader


@frozen
class SetReaders:
    """List the processes of the replica set, or the seeds before there is one.

    They are few whatever the size of the fleet, stand in several availability
    zones, and are replaced when they fail.
    """

    sets: SetHolder
    # Addresses that are known from the settings; none for a process that may
    # have to form the first replica set.
    seeds: tuple[str, ...] = ()

    def __call__(self) -> list[Reader]:
        """Return the readers."""
        replicas = self.sets.current.replicas()
        if replicas:
            return [Reader(one.address, one.zone) for one in replicas]
        return [Reader(address) for address in self.seeds]
