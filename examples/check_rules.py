"""Validate a rules file and print all its faults."""

from papayaspar_rules import faults, parsing

TEXT = """\
team booths weight=8 # asked by the shop managers
team nights weight=heavy # asked by the season planner
quota limit team=days accelerators=8
"""

try:
    parsing.parse(TEXT, "example.rules")
except faults.InvalidRulesError as error:
    for fault in error.faults:
        print(fault)
