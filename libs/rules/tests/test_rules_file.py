"""Tests of parsing, validating, printing and comparing rules files."""

import pathlib
import re
import string

import hypothesis
import pytest
from hypothesis import strategies as st

from papayaspar_model import rulesets, work
from papayaspar_rules import faults, parsing, printing

VALID = """\
# The photo service.

retry default share=7.5% floor=2/s # asked by Ms. Sen; ticket #12
team booths weight=8 # asked by Jalchhobi
team albums weight=1\t# asked by  Jalchhobi
guarantee g-booths team=booths tasks=2 accelerators=4 adjacency=rack count=2 # asked by A\r
guarantee g2 count=1 adjacency=any accelerators=1 tasks=1 team=booths data-centre=dc1 # asked by A
slots s-booths team=booths slots=6 # asked by A
quota q-albums team=albums accelerators=16 # asked by A
queue q1 urgency=batch depth=1000 # asked by A
queue q2 urgency=batch depth=10 team=albums # asked by A
"""

FAULTS = [
    ("team a weight=1", 16, "comment_missing"),
    ("team a weight=1 # by me", 17, "comment_invalid"),
    ("team a weight=1 # asked by", 17, "comment_invalid"),
    ("tram a weight=1 # asked by A", 1, "kind_unknown"),
    ("team # asked by A", 5, "name_missing"),
    ("team weight=1 # asked by A", 14, "name_missing"),
    ("team A weight=1 # asked by A", 6, "name_invalid"),
    ("retry other share=1% floor=1/s # asked by A", 7, "name_invalid"),
    ("team a weight=1 size=2 # asked by A", 17, "key_unknown"),
    ("team a weight=1 weight=2 # asked by A", 17, "key_duplicate"),
    ("team a # asked by A", 7, "key_missing"),
    ("team a weight=1 size # asked by A", 17, "pair_invalid"),
    ("team a weight=0 # asked by A", 15, "out_of_range"),
    ("team a weight=-1 # asked by A", 15, "value_invalid"),
    ("team a weight=1.5 # asked by A", 15, "value_invalid"),
    ("team a weight=1% # asked by A", 15, "unit_wrong"),
    ("team a weight=٣ # asked by A", 15, "value_invalid"),
    ("retry default share=10 floor=1/s # asked by A", 21, "unit_missing"),
    ("retry default share=10% floor=1/min # asked by A", 31, "unit_wrong"),
    ("retry default share=101% floor=1/s # asked by A", 21, "out_of_range"),
    ("queue q urgency=soon depth=1 # asked by A", 17, "value_invalid"),
    ("slots s team=ghost slots=1 # asked by A", 14, "team_unknown"),
]

NAMES = st.text(string.ascii_lowercase + string.digits, min_size=1, max_size=8)
LETTERS = st.characters(exclude_categories=("C", "Z"), include_characters=" #=")
REQUESTERS = st.text(LETTERS, min_size=1, max_size=20).map(str.strip).filter(bool)
SHARES = st.integers(0, 10**6).map(lambda number: number / 10**6)
RATES = st.integers(0, 10**6).map(lambda number: number / 10**3)
QUOTAS = st.none() | st.integers(10**6, 10**7)

DOCUMENTATION = pathlib.Path(__file__).parents[3] / "docs" / "RULES.md"


def faults_of(text: str) -> list[tuple[int, int, str]]:
    with pytest.raises(faults.InvalidRulesError) as caught:
        parsing.parse(text)
    return [(fault.line, fault.column, fault.code) for fault in caught.value.faults]


@st.composite
def valid_rulesets(draw):
    """Draw rules that can be written as a file."""

    def build_rules(build):
        names = draw(st.lists(NAMES, unique=True, max_size=4))
        return tuple(build(name) for name in sorted(names))

    teams = build_rules(
        lambda name: rulesets.Team(name, draw(st.integers(1, 10**6)), draw(REQUESTERS))
    )
    if not teams:
        return printing.with_text(rulesets.RuleSet())
    team_names = st.sampled_from([team.name for team in teams])
    shapes = st.builds(
        work.Shape, st.integers(1, 8), st.integers(1, 8), st.sampled_from(work.Adjacency)
    )

    def guarantee(name):
        data_centre = draw(st.none() | NAMES)
        count = draw(st.integers(1, 100))
        return rulesets.Guarantee(
            name, draw(team_names), draw(shapes), count, data_centre, draw(REQUESTERS)
        )

    quotas = []
    for team in teams:
        quota_values = (draw(QUOTAS), draw(QUOTAS))
        if quota_values != (None, None):
            quotas.append(rulesets.Quota(team.name, team.name, *quota_values, draw(REQUESTERS)))
    queue_limits = []
    for urgency in work.Urgency:
        depth = draw(st.integers(0, 10**6))
        queue_limits.append(
            rulesets.QueueLimit(urgency.value, urgency, depth, None, draw(REQUESTERS))
        )
    queue_limits.sort(key=lambda limit: limit.name)
    budget = rulesets.RetryBudget("default", draw(SHARES), draw(RATES), draw(REQUESTERS))
    return printing.with_text(
        rulesets.RuleSet(
            teams=teams,
            guarantees=build_rules(guarantee),
            slot_guarantees=build_rules(
                lambda name: rulesets.SlotGuarantee(
                    name, draw(team_names), draw(st.integers(1, 1000)), draw(REQUESTERS)
                )
            ),
            quotas=tuple(quotas),
            queue_limits=tuple(queue_limits),
            retry_budget=draw(st.sampled_from([budget, rulesets.RetryBudget()])),
        )
    )


def test_valid_file_is_parsed_into_sorted_rules():
    rules = parsing.parse(VALID)
    assert [team.name for team in rules.teams] == ["albums", "booths"]
    assert rules.guarantees[1].shape == work.Shape(1, 1, work.Adjacency.ANY)
    assert rules.guarantees[1].data_centre == "dc1"
    assert rules.retry_budget == rulesets.RetryBudget("default", 0.075, 2.0, "Ms. Sen; ticket #12")
    assert "share=7.5% floor=2/s # asked by Ms. Sen; ticket #12\n" in rules.text


def test_documentation_has_valid_examples_and_all_fault_codes():
    documentation = DOCUMENTATION.read_text()
    examples = re.findall(r"```rules\n(.*?)```", documentation, re.DOTALL)
    assert [len(parsing.parse(example).teams) for example in examples] == [2, 3]
    for _, _, code in FAULTS:
        assert f"`{code}`" in documentation


@pytest.mark.parametrize(("line", "column", "code"), FAULTS)
def test_fault_has_line_column_and_code(line, column, code):
    assert faults_of(f"\n{line}\n") == [(2, column, code)]


def test_all_faults_of_a_file_are_reported_together():
    text = (
        "team a weight=0 size=1\nteam b weight=1 # asked by A\nslots s team=c slots=6s # asked by A"
    )
    assert [code for _, _, code in faults_of(text)] == [
        "out_of_range",
        "key_unknown",
        "comment_missing",
        "unit_wrong",
    ]


@pytest.mark.parametrize(
    ("added_line", "column", "code"),
    [
        ("team booths weight=2 # asked by A", 6, "name_duplicate"),
        ("quota q2 team=albums slots=1 # asked by A", 1, "rule_duplicate"),
        ("queue q9 urgency=batch depth=1 # asked by A", 1, "rule_duplicate"),
        ("quota q3 team=booths slots=5 # asked by A", 1, "quota_below_guarantee"),
        ("quota q3 team=booths accelerators=16 # asked by A", 1, "quota_below_guarantee"),
    ],
)
def test_contradictory_rules_are_rejected(added_line, column, code):
    assert faults_of(VALID + added_line) == [(12, column, code)]


def test_rules_without_requester_cannot_be_printed():
    with pytest.raises(faults.UnprintableRulesError):
        printing.print_rules(rulesets.RuleSet(teams=(rulesets.Team("a"),)))


def test_diff_contains_added_removed_and_changed_rules():
    before = parsing.parse_table("team a weight=1 # asked by A\nteam b weight=1 # asked by A")
    after = parsing.parse_table("team b weight=2 # asked by A\nteam c weight=1 # asked by A")
    changed_lines = [(change.before, change.after) for change in before.diff(after)]
    assert changed_lines == [
        ("team a weight=1 # asked by A", None),
        ("team b weight=1 # asked by A", "team b weight=2 # asked by A"),
        (None, "team c weight=1 # asked by A"),
    ]


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(valid_rulesets())
def test_printed_rules_parse_to_the_same_rules(rules):
    assert parsing.parse(rules.text) == rules


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(valid_rulesets(), valid_rulesets())
def test_changes_convert_any_rules_into_any_others(before, after):
    table = parsing.parse_table(before.text)
    changes = table.format_changes_to(parsing.parse_table(after.text))
    assert table.apply_changes(changes).ruleset() == after


WORDS = st.sampled_from(
    [*"#= \t\n\r%/0.", "team", "retry", "default", "share=", "weight=", "1/s", "# asked by A", "="]
)


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(st.text() | st.lists(WORDS | st.text(max_size=4), max_size=30).map("".join))
def test_any_text_is_parsed_or_raises_invalid_rules_error(text):
    try:
        rules = parsing.parse(text)
    except faults.InvalidRulesError as error:
        assert error.faults
        return
    assert parsing.parse(rules.text) == rules


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary())
def test_any_bytes_are_parsed_or_raise_invalid_rules_error(data):
    try:
        parsing.parse_bytes(data)
    except faults.InvalidRulesError as error:
        assert error.faults


def test_invalid_utf8_is_reported_with_its_position():
    with pytest.raises(faults.InvalidRulesError) as caught:
        parsing.parse_bytes(b"# a\n  \xff")
    fault = caught.value.faults[0]
    assert (fault.line, fault.column, fault.code) == (2, 3, "encoding_invalid")
