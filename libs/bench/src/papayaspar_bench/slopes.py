"""Measures, on this machine, the slopes and message sizes of the capacity experiment."""

import time
import tracemalloc
from collections.abc import Callable

import anyio
import attrs

from papayaspar_entry import records
from papayaspar_estimates import quantiles
from papayaspar_membership import members
from papayaspar_model import causality, clock, rulesets, work, workers
from papayaspar_placement import completions, fleet, homes, queues, shape_keeping
from papayaspar_rules import parsing, revisions
from papayaspar_rules import records as rule_records
from papayaspar_slots import claims, messages
from papayaspar_wire import codecs, peers, transports
from papayaspar_wire import messages as wire_messages

STREAM_COUNTS = (50, 150, 300)
STREAM_MEASUREMENT_S = 4.0
WORKER_COUNTS = (500, 1000, 2000)
TEAM_COUNTS = (250, 500, 750)
REPORTS = 2000
JOBS = 200
WORKERS_PER_RACK = 20


@attrs.frozen
class Slope:
    """A cost that grows linearly with a size: ``base + per_unit * size``.

    :param base: cost at size zero.
    :param per_unit: additional cost per unit of size.
    """

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return max(0.0, self.base) + self.per_unit * size


def fit(sizes: tuple[int, ...], costs: list[float]) -> Slope:
    """Return the least-squares line through the measured costs."""
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    squared_deviations = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, costs, strict=True)
    per_unit = (
        sum((size - mean_size) * (cost - mean_cost) for size, cost in pairs) / squared_deviations
    )
    return Slope(mean_cost - per_unit * mean_size, per_unit)


class _IdleHandler(peers.Handler):
    """A handler for idle streams, which ignores notices."""

    async def handle_call(self, peer: peers.Peer, message: object) -> object:
        """Reply to every call with a ``Welcome``."""
        return wire_messages.Welcome("bench", ())

    async def handle_notice(self, peer: peers.Peer, message: object) -> None:
        """Ignore the notice."""


def idle_stream_core_ratio() -> Slope:
    """Return the share of a core that both ends of idle streams use, by number of streams."""
    costs = [anyio.run(_measure_streams, size) for size in STREAM_COUNTS]
    return fit(STREAM_COUNTS, costs)


async def _measure_streams(count: int) -> float:
    hybrid_clock = causality.HybridClock(clock.BootClock())
    codec = wire_messages.codec()
    listener = await transports.listen(transports.Address("127.0.0.1", 0))

    async def serve(stream: anyio.abc.ByteStream) -> None:
        await peers.Peer(stream, codec, _IdleHandler(), hybrid_clock).run()

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        for _ in range(count):
            stream = await transports.connect(listener.address)
            group.start_soon(peers.Peer(stream, codec, _IdleHandler(), hybrid_clock).run)
        await anyio.sleep(1.0)
        core_s = time.process_time()
        await anyio.sleep(STREAM_MEASUREMENT_S)
        core_s = time.process_time() - core_s
        group.cancel_scope.cancel()
    return core_s / STREAM_MEASUREMENT_S


def worker_report(number: int, gangs: int = 4, sequence: int = 1) -> workers.WorkerReport:
    """Return the report of a worker that runs a number of gangs."""
    identity = workers.WorkerIdentity(
        f"worker-{number:05d}", 1, f"rack-{number // WORKERS_PER_RACK:04d}", "dc-1", "region-1"
    )
    gang_uses = []
    for index in range(gangs):
        gang_uses.append(
            workers.GangUse(
                job_id=f"job-{number:012d}{index:012d}",
                attempt=1_754_277_937_105,
                team=f"team-{index}",
                accelerators=(index,),
                stoppable=True,
                checkpoint=True,
                elapsed_s=100.0,
                remaining_s=14_000.0,
                lead_worker=f"worker-{number:05d}",
            )
        )
    capacity = workers.Capacity()
    return workers.WorkerReport(
        identity, capacity, sequence, 2, False, tuple(gang_uses), "127.0.0.1:7802"
    )


def frame_bytes(message: object, kind: codecs.FrameKind) -> int:
    """Return the encoded size of a message in bytes, without TCP and IP headers."""
    codec = wire_messages.codec(messages.Renew, messages.Grant)
    return len(codec.pack(codecs.Frame(kind, 1, 7 << 60, message)))


def report_frame_bytes() -> int:
    """Return the encoded size of a worker report in bytes."""
    return frame_bytes(wire_messages.Report(worker_report(1)), codecs.FrameKind.NOTICE)


def renew_frame_bytes() -> int:
    """Return the encoded size of a run lease renewal and its answer in bytes."""
    fence = claims.Fence("job-000000000000000000000000", 1_754_277_937_105)
    renew = messages.Renew(fence, "worker-00001", 7, messages.Phase.RUNNING, 1000.5)
    grant = messages.Grant(fence, messages.Verdict.GO, 5.0, 1000.5)
    call = frame_bytes(renew, codecs.FrameKind.CALL)
    return call + frame_bytes(grant, codecs.FrameKind.REPLY)


def report_core_s() -> float:
    """Return the processor time to decode a report and apply it to an entry's state, in seconds."""
    codec = wire_messages.codec()
    table = members.MemberTable()
    view = fleet.FleetView()
    encoded_reports = []
    for number in range(REPORTS):
        frame = codecs.Frame(
            codecs.FrameKind.NOTICE,
            0,
            7,
            wire_messages.Report(worker_report(number % 500, 4, number + 1)),
        )
        encoded_reports.append(codec.pack(frame))
    unpacker = codec.unpacker()
    started_s = time.process_time()
    for data in encoded_reports:
        unpacker.feed(data)
        for fields in unpacker:
            message = wire_messages.expect(codec.structure(fields).message, wire_messages.Report)
            table.observe(message.report)
            view.observe(message.report, 1.0)
    return (time.process_time() - started_s) / REPORTS


def worker_state_bytes() -> Slope:
    """Return the memory of an entry's state of its workers in bytes, by number of workers."""
    return fit(
        WORKER_COUNTS, [_allocated_bytes(_build_worker_state, size) for size in WORKER_COUNTS]
    )


def _build_worker_state(size: int) -> tuple[members.MemberTable, fleet.FleetView]:
    table = members.MemberTable()
    view = fleet.FleetView()
    for number in range(size):
        report = worker_report(number)
        table.observe(report)
        view.observe(report, 1.0)
    return table, view


def schedule_core_s() -> Slope:
    """Return the processor time to place a job in seconds, by number of workers in the view."""
    return fit(WORKER_COUNTS, [_time_schedule(size) for size in WORKER_COUNTS])


def _time_schedule(size: int) -> float:
    _, view = _build_worker_state(size)
    expected = completions.CompletionEstimator(quantiles.DurationEstimator())
    queue = queues.JobQueue(shape_keeping.ShapeKeeping(expected), expected)
    shape = work.Shape(4, 2, work.Adjacency.RACK)
    for number in range(JOBS):
        job = work.Job(
            f"job-x{number}", "team-0", "model", work.Urgency.NORMAL, shape, 14_400, True, True
        )
        queue.submit(job, float(number))
    started_s = time.process_time()
    queue.schedule(view, 2.0)
    return (time.process_time() - started_s) / JOBS


def rules_text(teams: int) -> str:
    """Return the rules text of a number of teams, each with a guarantee and a quota."""
    lines = []
    for number in range(teams):
        name = f"team-{number:04d}"
        lines.append(f"team {name} weight=2 # asked by the {name} desk")
        lines.append(
            f"guarantee {name}-g team={name} tasks=2 accelerators=4 adjacency=rack count=1 "
            f"# asked by the {name} desk"
        )
        lines.append(f"quota {name}-q team={name} accelerators=64 # asked by the {name} desk")
    return "\n".join(lines) + "\n"


def rules_change_core_s() -> Slope:
    """Return the processor time to apply a change of one rule in seconds, by number of teams."""
    return fit(TEAM_COUNTS, [_time_rules_change(teams) for teams in TEAM_COUNTS])


def _time_rules_change(teams: int) -> float:
    chain = revisions.Chain()
    text = rules_text(teams)
    first = chain.propose(0, "pub-0", "bench", text, 0.0)
    chain.observe(0, rule_records.encode(first))
    changed = parsing.parse(text).text.replace("weight=2", "weight=3", 1)
    record = chain.propose(1, "pub-1", "bench", changed, 0.0)
    data = rule_records.encode(record)
    started_s = time.process_time()
    chain.observe(1, data)
    return time.process_time() - started_s


def rules_change_bytes() -> int:
    """Return the encoded size of the record of a change of one rule in bytes."""
    chain = revisions.Chain()
    text = rules_text(100)
    chain.observe(0, rule_records.encode(chain.propose(0, "pub-0", "bench", text, 0.0)))
    changed = parsing.parse(text).text.replace("weight=2", "weight=3", 1)
    return len(rule_records.encode(chain.propose(1, "pub-1", "bench", changed, 0.0)))


def rules_state_bytes() -> Slope:
    """Return the memory of an entry's rules in bytes, by number of teams."""
    return fit(TEAM_COUNTS, [_allocated_bytes(_build_chain, teams) for teams in TEAM_COUNTS])


def _build_chain(teams: int) -> revisions.Chain:
    chain = revisions.Chain()
    record = chain.propose(0, "pub-0", "bench", rules_text(teams), 0.0)
    chain.observe(0, rule_records.encode(record))
    return chain


def pack_core_s() -> Slope:
    """Return the processor time to pack the homes of guarantees in seconds, by number of teams."""
    return fit(TEAM_COUNTS, [_time_pack(teams) for teams in TEAM_COUNTS])


def _time_pack(teams: int) -> float:
    _, view = _build_worker_state(WORKER_COUNTS[-1])
    racks = view.known_racks()
    rules: rulesets.RuleSet = parsing.parse(rules_text(teams))
    started_s = time.process_time()
    homes.pack(rules.guarantees, racks)
    return time.process_time() - started_s


def job_record_bytes() -> int:
    """Return the encoded size of the acceptance and completion records of a job in bytes."""
    shape = work.Shape(4, 2, work.Adjacency.RACK)
    job_id = "job-000000000000000000000000"
    job = work.Job(job_id, "team-0001", "model", work.Urgency.NORMAL, shape, 14_400, True, True)
    accepted = records.encode(records.JobAccepted(job, 1_764_000_000.0))
    ended = records.encode(records.JobEnded(job_id, work.JobState.DONE, 1_754_277_937_105))
    return len(accepted) + len(ended)


def _allocated_bytes(build: Callable[[int], object], size: int) -> float:
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built_object = build(size)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built_object
    return float(after - before)
