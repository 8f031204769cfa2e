"""An entry and its peers, which all read one store."""

import trio
from attrs import define, field

from jasminewheel._internal.gateway.gateway import RoutesHolder
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.store.change_log import ChangeLog
from jasminewheel._internal.store.followed_store import FollowedStore
from jasminewheel._internal.store.known_items import KnownItemsService
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.reader_choice import Reader, ReaderChoice
from jasminewheel._internal.store.reader_service import ReaderService
from jasminewheel._internal.wire.gen.conversation.ttypes import AwaitChanges
from jasminewheel.errors import PeerError
from jasminewheel.platform.listener import PlatformListener
from tests.watched_store import SharedStore, StoreConnection


@define(eq=False)
class Process:
    """Represent a process that watches the store by its own connection."""

    connection: StoreConnection
    directory: RunnerDirectory = field(factory=RunnerDirectory)
    mirror: StoreMirror = field(init=False)
    log: ChangeLog = field(init=False)
    unresponsive: bool = False

    def __attrs_post_init__(self) -> None:
        """Fill the directory of runners from the mirror of the store."""
        listener = PlatformListener(RoutesHolder(), self.directory, None)
        contact = self.directory.contact
        self.mirror = StoreMirror(self.connection, [listener], contact=contact)
        self.log = ChangeLog(self.mirror)
        self.mirror.listeners.append(self.log)

    def uses(self, runner_id: str) -> bool:
        """Return whether new calls may go to the runner."""
        usable = self.directory.usable_runners('desk', trio.current_time())
        return runner_id in {view.runner.runner_id for view in usable}


@define(eq=False)
class Processes:
    """Represent an entry and its peers, which all watch one store.

    The entry may follow its peers, and watch the store without them only.
    """

    follows: bool
    store: SharedStore = field(factory=SharedStore)
    entry: Process = field(init=False)
    others: dict[str, Process] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register two runners in the store."""
        self.entry = Process(StoreConnection(self.store))
        self.others = {
            name: Process(StoreConnection(self.store))
            for name in ('a', 'b', 'c')
        }
        self.store.list_runner('left')
        self.store.list_runner('stays')
        if self.follows:
            self.entry.mirror.store = self.followed_store()

    def followed_store(self) -> FollowedStore:
        """Return the store as the entry reads it through its peers."""
        choice = ReaderChoice(
            'entry', lambda zone: 0, lambda: list(map(Reader, self.others))
        )
        contact = self.entry.directory.contact
        return FollowedStore(self.entry.connection, self, choice, contact)

    def all(self) -> list[Process]:
        """Return all processes."""
        return [self.entry, *self.others.values()]

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Send a request to a peer, as a pool of peers does."""
        other = self.others[address]
        if other.unresponsive:
            await trio.sleep(timeout_seconds)
            raise PeerError(f'{address} did not answer')
        await trio.sleep(0.002)
        if isinstance(message, AwaitChanges):
            return await ReaderService(other.log).await_changes(None, message)
        return await KnownItemsService(other.mirror).read(None, message)
