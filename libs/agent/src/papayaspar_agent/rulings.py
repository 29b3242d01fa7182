"""What an agent keeps of the rules: the newest records and the homes on its worker."""

from papayaspar_events import journal, lines
from papayaspar_model import errors
from papayaspar_rules import records, relays
from papayaspar_slots import ledger
from papayaspar_wire import messages


class Rulings:
    """The newest rules and homes an entry passed on; their revisions only rise.

    The records are kept whole, so that entries which start while the log is away get them back.

    :param book: the worker's ledger, which checks homes.
    :param record: the process's journal.
    """

    def __init__(self, book: ledger.Ledger, record: journal.Journal) -> None:
        self._ledger = book
        self._journal = record
        self._relay = relays.Relay()

    @property
    def revision(self) -> int:
        """Number of the newest revision of the rules."""
        return self._relay.revision

    def newest(self) -> messages.RulesInForce:
        """Return the newest rules, to pass on."""
        return messages.RulesInForce(tuple(records.encode(one) for one in self._relay.all()))

    def take(self, message: messages.RulesInForce) -> None:
        """Take what an entry passes on; older revisions change nothing."""
        before = self._relay.revision
        try:
            for data in message.records:
                self._relay.take(records.decode(data))
        except errors.RulesError as error:
            self._journal.record(lines.EventKind.RULES_REFUSED, code=error.code)
        if self._relay.revision != before:
            detail = f"revision {self._relay.revision}"
            self._journal.record(lines.EventKind.RULES_IN_FORCE, detail=detail)
        if self._ledger.set_homes(message.homes, message.homes_revision):
            detail = f"revision {message.homes_revision}"
            self._journal.record(lines.EventKind.HOMES_IN_FORCE, detail=detail)
