"""Rules file, its validation, and the chain of revisions.

``parsing.parse`` reads a file, ``printing.print_rules`` writes it in canonical form,
``books.Book`` compares and changes rules, ``faults`` holds the errors, ``records`` the form of a
revision on the log, ``revisions.Chain`` says which revision is in force, and ``relays.Relay`` keeps
rules for passing them on.
"""

from papayaspar_rules import books, faults, parsing, printing, records, relays, revisions

__all__ = ["books", "faults", "parsing", "printing", "records", "relays", "revisions"]
