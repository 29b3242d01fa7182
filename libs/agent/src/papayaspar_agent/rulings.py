"""What an agent keeps of the rules: the newest record and the homes on its worker."""

from papayaspar_events import journal, lines
from papayaspar_slots import ledger
from papayaspar_wire import messages


class Rulings:
    """The newest rules and homes an entry passed on; their revisions only rise.

    The record is kept whole, so that entries which start while the log is away get it back.

    :param book: the worker's ledger, which checks homes.
    :param record: the process's journal.
    """

    def __init__(self, book: ledger.Ledger, record: journal.Journal) -> None:
        self._ledger = book
        self._journal = record
        self._newest = messages.RulesInForce(b"", 0)

    @property
    def revision(self) -> int:
        """Number of the newest revision of the rules."""
        return self._newest.revision

    def newest(self) -> messages.RulesInForce:
        """Return the newest rules, to pass on."""
        return self._newest

    def take(self, message: messages.RulesInForce) -> None:
        """Take what an entry passes on; older revisions change nothing."""
        if message.revision > self._newest.revision:
            self._newest = message
            detail = f"revision {message.revision}"
            self._journal.record(lines.EventKind.RULES_IN_FORCE, detail=detail)
        if self._ledger.set_homes(message.homes, message.homes_revision):
            detail = f"revision {message.homes_revision}"
            self._journal.record(lines.EventKind.HOMES_IN_FORCE, detail=detail)
