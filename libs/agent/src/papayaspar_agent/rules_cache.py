"""Cache of the newest rules and homes that an agent has received."""

from papayaspar_events import journal, lines
from papayaspar_model import errors
from papayaspar_rules import records, relays
from papayaspar_slots import ledger
from papayaspar_wire import messages


class RulesCache:
    """The newest rules and homes received from entries; their revisions never decrease.

    The records are kept complete, so that entries which start while the log is unavailable can
    fetch them.

    :param worker_ledger: the worker's ledger, which enforces homes.
    :param event_journal: event journal of the process.
    """

    def __init__(self, worker_ledger: ledger.Ledger, event_journal: journal.Journal) -> None:
        self._ledger = worker_ledger
        self._journal = event_journal
        self._relay = relays.Relay()

    @property
    def revision(self) -> int:
        """Number of the newest revision of the rules."""
        return self._relay.revision

    def newest(self) -> messages.RulesInForce:
        """Return the newest rules, for an entry."""
        return messages.RulesInForce(
            tuple(records.encode(record) for record in self._relay.revision_records())
        )

    def apply(self, message: messages.RulesInForce) -> None:
        """Apply rules and homes from an entry; older revisions are ignored."""
        previous_revision = self._relay.revision
        try:
            for data in message.records:
                self._relay.apply(records.decode(data))
        except errors.RulesError as error:
            self._journal.record(lines.EventKind.RULES_REFUSED, code=error.code)
        if self._relay.revision != previous_revision:
            detail = f"revision {self._relay.revision}"
            self._journal.record(lines.EventKind.RULES_IN_FORCE, detail=detail)
        if self._ledger.set_homes(message.homes, message.homes_revision):
            detail = f"revision {message.homes_revision}"
            self._journal.record(lines.EventKind.HOMES_IN_FORCE, detail=detail)
