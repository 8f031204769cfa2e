"""Check the data folder of a stopped replica of turns and budgets."""

from pathlib import Path

from attrs import frozen

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.log_file import (
    log_files,
    stored_bytes,
)
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode


@frozen
class FolderReport:
    """Summarise the contents of a data folder."""

    files: int
    whole_bytes: int
    torn_bytes: int
    turns: int
    programs: int
    set_revision: int
    missing_ancestors: int

    def lines(self) -> list[str]:
        """Return the report as text."""
        return [
            f'files: {self.files}',
            f'bytes in whole entries: {self.whole_bytes}',
            f'bytes after the last whole entry: {self.torn_bytes}',
            f'turns: {self.turns}',
            f'turns whose chain is continued on other disks:'
            f' {self.missing_ancestors}',
            f'programs with a budget: {self.programs}',
            f'newest replica set seen: {self.set_revision}',
        ]


def check_folder(folder: Path) -> FolderReport:
    """Return a report on the folder; raise CommandError without a log."""
    paths = log_files(folder)
    if not paths:
        raise CommandError(
            f'{folder} contains no log of turns',
            ExitCode.missing,
            remedy='pass the data folder of a history',
        )
    state = ConversationState()
    Journal(folder, state).load(0)
    sizes = [stored_bytes(path) for path in paths]
    ancestors = [kept.record.previous_id for kept in state.turns.values()]
    return FolderReport(
        files=len(paths),
        whole_bytes=sum(size.whole for size in sizes),
        torn_bytes=sum(size.torn for size in sizes),
        turns=len(state.turns),
        programs=len(state.programs),
        set_revision=state.set_revision,
        missing_ancestors=sum(
            turn_id not in state.turns for turn_id in filter(None, ancestors)
        ),
    )
