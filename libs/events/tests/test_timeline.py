"""Tests of event lines, the journal and the timeline."""

import hypothesis
import pytest
from hypothesis import strategies

from papayaspar_events import journal, lines, metrics, timeline
from papayaspar_model import causality, clock


class SkewedClock(clock.ManualClock):
    """A clock whose wall time has a constant offset."""

    def __init__(self, wall_offset_s):
        super().__init__(1_000_000.0)
        self.wall_offset_s = wall_offset_s

    def wall_s(self):
        """Return the skewed time."""
        return self.now_s() + self.wall_offset_s


@pytest.fixture
def make_journal():
    def make(process, wall_offset_s=0.0):
        hybrid_clock = causality.HybridClock(SkewedClock(wall_offset_s))
        return journal.Journal(process, "dc-1", hybrid_clock, metrics.Metrics())

    return make


@hypothesis.example(detail="\\n", worker="")
@hypothesis.given(detail=strategies.text(max_size=40), worker=strategies.text("abc-9", max_size=8))
def test_event_line_round_trip(detail, worker):
    event = lines.Event(5, lines.EventKind.JOB_PLACED, "p", worker=worker, detail=detail)
    assert lines.from_line(lines.to_line(event)) == event


def test_effect_follows_cause_despite_clock_skew(make_journal):
    fast = make_journal("fast", wall_offset_s=30.0)
    slow = make_journal("slow", wall_offset_s=-30.0)
    fast.record(lines.EventKind.REQUEST_DISPATCHED, request="r")
    slow.hybrid_clock.observe(fast.newest(1)[0].stamp)
    slow.record(lines.EventKind.REQUEST_STARTED, request="r")
    slow.record(lines.EventKind.JOB_PLACED, job="j")
    merged = timeline.merge([slow.newest(9), fast.newest(9)], timeline.Filter(request="r"))
    assert [event.process for event in merged] == ["fast", "slow"]


def test_lines_without_an_event_are_skipped():
    assert timeline.parse(["hello world", "stamp=x event=job_placed process=p"]) == []


def test_braces_in_a_detail_are_logged_unchanged(make_journal):
    process_journal = make_journal("p")
    process_journal.record(lines.EventKind.JOB_PLACED, detail="{not a field}")
    assert process_journal.newest(1)[0].detail == "{not a field}"
