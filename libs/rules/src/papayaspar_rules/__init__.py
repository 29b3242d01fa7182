"""Rules file, its validation, and the chain of revisions.

``parsing.parse`` reads a file, ``printing.print_rules`` writes it in canonical form,
``books.Book`` compares and changes rules, ``faults`` holds the errors, ``records`` the form of a
revision on the log, and ``revisions.Chain`` says which revision is in force.
"""

from papayaspar_rules import books, faults, parsing, printing, records, revisions

__all__ = ["books", "faults", "parsing", "printing", "records", "revisions"]
