"""Experiment: goodput by kind of work before, during and after a log outage of 60 s."""

import collections
import enum
import random

import anyio
import attrs

from papayaspar_bench import experiments, outage_parts, virtual_time
from papayaspar_dispatch import shard_records, shards
from papayaspar_model import errors
from papayaspar_standin import faults, memory_logs

WORKERS = 11
ENTRIES = 4
PHASE_S = 60.0
WARM_UP_S = 5.0
CALL_TIMEOUT_S = 3.0
SERVICE_MEAN_S = 0.2
IDEMPOTENT_PER_S = 20.0
NON_IDEMPOTENT_PER_S = 10.0
LOST_REPLY_RATIO = 0.03
RETRY_DELAY_S = 0.2
SLOW_LOG_S = 5.0
ENTRY_KILL_DELAY_S = 10.0
AGENT_KILL_DELAY_S = 20.0
AGENT_REPLACE_DELAY_S = 10.0


class Phase(enum.Enum):
    """The phase in which a call arrives, relative to the outage."""

    BEFORE = "before"
    DURING = "during"
    AFTER = "after"


@attrs.frozen
class Scenario:
    """The faults of one simulation.

    :param name: prefix of the names of its figures.
    :param log_faults: faults of the log during the outage.
    :param has_losses: whether one entry and one agent are also killed during the outage.
    """

    name: str
    log_faults: faults.LogFaults
    has_losses: bool


SCENARIOS = (
    Scenario("down", faults.LogFaults(down=True), has_losses=False),
    Scenario("slow", faults.LogFaults(slow_s=SLOW_LOG_S), has_losses=False),
    Scenario("down_with_losses", faults.LogFaults(down=True), has_losses=True),
)


@attrs.define
class CallCounts:
    """Counts of the calls of one kind in one phase.

    :param sent: calls that were sent.
    :param done: calls that got their result before the deadline.
    """

    sent: int = 0
    done: int = 0


class Outage(experiments.Experiment):
    """Checks that non-idempotent requests are still served while the log is unavailable."""

    name = "outage"
    summary = "goodput by kind of work before, during and after 60 s without the log"

    def run(self, seed: int) -> experiments.Outcome:
        """Run every scenario in virtual time."""
        figures: dict[str, float] = {}
        violations: list[str] = []
        for scenario in SCENARIOS:
            simulation = _OutageSimulation(scenario, seed)
            virtual_time.run(simulation.simulate, f"{seed}-{scenario.name}")
            figures.update(simulation.figures())
            violations.extend(simulation.violations())
        return experiments.Outcome(self.name, seed, figures, tuple(violations))


class _OutageSimulation:
    """A simulation of one scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(f"{seed}-{scenario.name}")
        self._log = memory_logs.MemoryLog()
        self._executions: collections.Counter[str] = collections.Counter()
        self._not_run_keys: set[str] = set()
        self._counts = {
            (phase, idempotent): CallCounts() for phase in Phase for idempotent in (True, False)
        }
        self._agents: dict[str, outage_parts.Agent] = {}
        self._entries: list[outage_parts.Entry] = []
        self._entries_started = 0

    async def simulate(self) -> None:
        """Start agents, entries and load, and run the three phases."""
        for number in range(WORKERS):
            name = f"w{number}"
            self._agents[name] = outage_parts.Agent(name, 1, self._executions)
        identities = [agent.identity for agent in self._agents.values()]
        initial_map = shards.create_initial_map(identities, self._rng)
        await self._log.append(shards.STREAM, (shard_records.encode(initial_map),))
        async with anyio.create_task_group() as background:
            for _ in range(ENTRIES):
                self._start_entry(background)
            async with anyio.create_task_group() as calls:
                calls.start_soon(self._inject_faults, background)
                calls.start_soon(self._generate_load, calls, True, IDEMPOTENT_PER_S)
                calls.start_soon(self._generate_load, calls, False, NON_IDEMPOTENT_PER_S)
            background.cancel_scope.cancel()

    def figures(self) -> dict[str, float]:
        """Return the goodput as a ratio to the number of calls sent."""
        figures: dict[str, float] = {}
        for (phase, idempotent), counts in self._counts.items():
            kind = "idempotent" if idempotent else "non_idempotent"
            name = f"{self._scenario.name}_{kind}_{phase.value}_ratio"
            figures[name] = counts.done / max(1, counts.sent)
        return figures

    def violations(self) -> list[str]:
        """Return the violations of at-most-once execution, by the targets' execution counts."""
        violations: list[str] = []
        for key, count in self._executions.items():
            if key.startswith("print") and count > 1:
                violations.append(f"{self._scenario.name}: {key} ran {count} times")
        for key in sorted(self._not_run_keys & set(self._executions)):
            violations.append(f"{self._scenario.name}: {key} ran, but was reported as not run")
        return violations

    def _start_entry(self, background: anyio.abc.TaskGroup) -> None:
        """Start an entry, which reads the shard map from the agents and the log."""
        client = outage_parts.TimeoutLog(self._log)
        rng = random.Random(self._rng.random())
        self._entries_started += 1
        name = f"entry-{self._entries_started}"
        entry = outage_parts.Entry(name, client, self._agents, rng)
        for agent in self._agents.values():
            if agent.table.link is not None:
                entry.chain.adopt(agent.table.link)
        self._entries.append(entry)
        background.start_soon(entry.follow)
        background.start_soon(entry.run_maintenance)

    async def _inject_faults(self, background: anyio.abc.TaskGroup) -> None:
        """Make the log faulty for one phase; with losses, also kill an entry and an agent."""
        await anyio.sleep_until(WARM_UP_S + PHASE_S)
        self._log.faults = self._scenario.log_faults
        if self._scenario.has_losses:
            await anyio.sleep(ENTRY_KILL_DELAY_S)
            self._entries.pop(0).kill()
            await anyio.sleep(AGENT_KILL_DELAY_S - ENTRY_KILL_DELAY_S)
            self._agents["w0"].kill()
            self._start_entry(background)
            await anyio.sleep(AGENT_REPLACE_DELAY_S)
            self._agents["w0"] = outage_parts.Agent("w0", 2, self._executions)
        await anyio.sleep_until(WARM_UP_S + 2 * PHASE_S)
        self._log.faults = faults.LogFaults()

    async def _generate_load(
        self, calls: anyio.abc.TaskGroup, idempotent: bool, rate_per_s: float
    ) -> None:
        """Send calls of one kind as a Poisson process."""
        at_s = WARM_UP_S
        kind = "check" if idempotent else "print"
        for number in range(int(3 * PHASE_S * rate_per_s * 2)):
            at_s += self._rng.expovariate(rate_per_s)
            if at_s >= WARM_UP_S + 3 * PHASE_S:
                return
            await anyio.sleep_until(at_s)
            service_s = self._rng.expovariate(1.0 / SERVICE_MEAN_S)
            call = outage_parts.Call(
                f"{kind}-{number}", idempotent, at_s, min(service_s, 1.0), at_s + CALL_TIMEOUT_S
            )
            calls.start_soon(self._call, call)

    async def _call(self, call: outage_parts.Call) -> None:
        """Send a call, with retries until a final reply or the deadline, and count the result."""
        phase = list(Phase)[int((call.at_s - WARM_UP_S) // PHASE_S)]
        counts = self._counts[(phase, call.idempotent)]
        counts.sent += 1
        reply: outage_parts.Reply | None = None
        may_have_run = False
        with anyio.move_on_after(call.deadline_s - anyio.current_time()):
            while True:
                entry = self._rng.choice(self._entries)
                previous_may_have_run = may_have_run
                may_have_run = True
                reply = await entry.serve(call)
                if reply is not None and reply.ran is errors.Ran.NO:
                    may_have_run = previous_may_have_run
                is_reply_lost = self._rng.random() < LOST_REPLY_RATIO
                if reply is not None and not is_reply_lost and _is_final(call, reply):
                    break
                await anyio.sleep(RETRY_DELAY_S)
        if reply is not None and reply.is_done:
            counts.done += 1
        if not may_have_run:
            self._not_run_keys.add(call.key)


def _is_final(call: outage_parts.Call, reply: outage_parts.Reply) -> bool:
    """Return whether a caller accepts a reply as final instead of retrying."""
    if reply.is_done:
        return True
    return not call.idempotent and reply.ran is not errors.Ran.NO
