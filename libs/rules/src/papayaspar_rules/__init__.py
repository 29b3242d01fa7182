"""Rules file, its validation, and the chain of revisions.

``parsing.parse`` reads a file, ``printing.print_rules`` writes it in canonical form,
``rule_tables.RuleTable`` compares and changes rules, ``faults`` holds the errors, ``records``
encodes revisions for the log, ``revisions.Chain`` determines which revision is in force, and
``relays.Relay`` keeps rules to forward them.
"""

from papayaspar_rules import faults, parsing, printing, records, relays, revisions, rule_tables

__all__ = ["faults", "parsing", "printing", "records", "relays", "revisions", "rule_tables"]
