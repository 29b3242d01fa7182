"""Property test: requests run at most once under any interleaving of operations and faults.

It uses the real claim tables and shard chains.
"""

import random

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from papayaspar_dispatch import claim_tables, claims, shard_chains, shard_records, shards
from papayaspar_model import clock, errors, workers

WORKERS = ("w1", "w2", "w3")
KEYS = ("a", "b", "c")
SHARD_COUNT = 4
ENTRIES = 2
KEY = st.sampled_from(KEYS)
NUMBER = st.integers(0, ENTRIES - 1)
OUTCOME = st.sampled_from(["ran", "lost", "not run"])
# 0: the claim is granted; 1: the request also runs; 2: its result is also sent to the owner.
STEPS = st.sampled_from([0, 1, 2, 2])
START_S = 1_000_000.0


@attrs.define
class Entry:
    """An entry: its shard chain and the offset of the next log record to read."""

    chain: shard_chains.ShardChain = attrs.field(factory=shard_chains.ShardChain)
    next_offset: int = 0


@attrs.define
class GrantedRequest:
    """A granted request: the entry that sent it, its owner, and its outcome."""

    entry: Entry
    owner: str
    claim: claims.Claim
    outcome: str = "granted"


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Entries, agents and the log with faults; the runs counted at the target are checked."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(5)
        self.clock = clock.ManualClock(START_S)
        self.log, self.first_offset, self.log_is_up = [], 0, True
        self.incarnations = dict.fromkeys(WORKERS, 1)
        self.tables = {worker: self.new_table(worker) for worker in WORKERS}
        self.entries = [Entry() for _ in range(ENTRIES)]
        self.granted_requests, self.evidence, self.exports = [], [], []
        self.first_sent_s, self.runs_by_key, self.runs_by_request = {}, {}, {}
        self.refused_requests, self.sent_count = set(), 0
        self.append(shards.create_initial_map(self.identities(), self.rng, SHARD_COUNT))
        for number in range(ENTRIES):
            self.distribute_map(number, True, set(WORKERS))

    def new_table(self, worker):
        limits = claims.ClaimLimits(claims_max=6)
        return claim_tables.ClaimTable(worker, self.incarnations[worker], self.clock, limits)

    def identities(self):
        return [
            workers.WorkerIdentity(worker, self.incarnations[worker], "r1", "dc1", "region1")
            for worker in WORKERS
            if worker in self.tables
        ]

    def append(self, shard_map):
        self.log.append(shard_records.encode(shard_map))

    def claim(self, key, has_time, entry):
        """Claim a key for another request; return the request if it was granted.

        ``has_time`` decides whether the claim contains the time at which the key was first sent.
        """
        now_s = self.clock.now_s()
        name = f"{key}-{has_time}"
        first_s = self.first_sent_s.setdefault(name, now_s)
        if not has_time and now_s - first_s > claims.RETRY_HORIZON_S:
            return None
        self.sent_count += 1
        claim = claims.Claim(
            "photo", name, "digest", f"req-{self.sent_count}", 30.0, first_s if has_time else None
        )
        link = entry.chain.link
        table = owner = None
        if link is not None:
            owner = link.shard_map.owner_of("photo", name).worker
            table = self.tables.get(owner)
        if table is None:
            self.refused_requests.add(claim.request_id)
            return None
        try:
            answer = table.claim(claim, link.shard_map.revision)
        except errors.OverloadedError:
            self.refused_requests.add(claim.request_id)
            return None
        if answer.verdict is claims.Verdict.GRANTED:
            return GrantedRequest(entry, owner, claim)
        if answer.verdict in (claims.Verdict.FROZEN, claims.Verdict.NOT_OWNER):
            self.refused_requests.add(claim.request_id)
        if answer.verdict is claims.Verdict.SETTLED:
            assert answer.answer == name.encode()
        return None

    def run(self, granted, outcome):
        """Send a granted request to the target."""
        granted.outcome = outcome
        if outcome == "not run":
            return
        claim = granted.claim
        self.runs_by_key[claim.key] = self.runs_by_key.get(claim.key, 0) + 1
        self.runs_by_request[claim.request_id] = 1

    def send_result(self, granted):
        """Send the result of a granted request to the owner."""
        claim = granted.claim
        table = self.tables.get(granted.owner)
        if granted.outcome == "not run":
            self.refused_requests.add(claim.request_id)
        if table is None:
            return
        if granted.outcome == "not run":
            table.release(claim)
            return
        table.settle(claim, claim.key.encode() if granted.outcome == "ran" else None)

    @stateful.rule(key=KEY, has_time=st.booleans(), number=NUMBER, outcome=OUTCOME, steps=STEPS)
    def send(self, key, has_time, number, outcome, steps):
        granted = self.claim(key, has_time, self.entries[number])
        if granted is None:
            return
        if steps >= 1:
            self.run(granted, outcome)
        if steps >= 2:
            self.send_result(granted)
        else:
            self.granted_requests.append(granted)

    @stateful.rule(number=NUMBER)
    def repeat_all_requests(self, number):
        for name in list(self.first_sent_s):
            key, has_time = name.split("-")
            self.send(key, has_time == "True", number, "ran", 2)

    @stateful.rule(has_time=st.booleans(), number=NUMBER)
    def send_new_key_through_both_entries(self, has_time, number):
        key = f"n{self.sent_count}"
        self.send(key, has_time, number, "ran", 2)
        self.send(key, has_time, 1 - number, "ran", 2)

    @stateful.rule()
    def recover_from_all_faults(self):
        self.log_is_up = True
        for worker in WORKERS:
            if worker not in self.tables:
                self.agent_is_replaced(worker)
        for number in range(ENTRIES):
            self.propose(number, 8, False)
        for number in range(ENTRIES):
            self.distribute_map(number, True, set(WORKERS))

    def teardown(self):
        for number in range(ENTRIES):
            self.recover_from_all_faults()
            self.repeat_all_requests(number)
            self.each_key_runs_at_most_once()
            self.refused_requests_never_ran()

    @stateful.rule(pick=st.integers(0, 99), outcome=OUTCOME)
    def continue_request(self, pick, outcome):
        if not self.granted_requests:
            return
        granted = self.granted_requests[pick % len(self.granted_requests)]
        if granted.outcome == "granted":
            self.run(granted, outcome)
            return
        self.granted_requests.remove(granted)
        self.send_result(granted)

    @stateful.rule(number=NUMBER, syncs_with_agents=st.booleans())
    def entry_restarts(self, number, syncs_with_agents):
        stopped_entry = self.entries[number]
        self.granted_requests = [
            granted for granted in self.granted_requests if granted.entry is not stopped_entry
        ]
        self.entries[number] = Entry()
        self.read_log(number)
        for table in self.tables.values():
            if syncs_with_agents and table.link is not None:
                self.entries[number].chain.adopt(table.link)

    @stateful.rule(worker=st.sampled_from(WORKERS))
    def agent_is_replaced(self, worker):
        self.incarnations[worker] += 1
        self.tables[worker] = self.new_table(worker)

    @stateful.rule(worker=st.sampled_from(WORKERS))
    def agent_is_retired(self, worker):
        if len(self.tables) == 1 or worker not in self.tables:
            return
        del self.tables[worker]
        kind = shards.EvidenceKind.RETIRED
        for incarnation in range(1, self.incarnations[worker] + 1):
            self.evidence.append(
                shards.Evidence(
                    kind, worker, incarnation, operator="ann", through_epoch=len(self.log)
                )
            )

    @stateful.rule(worker=st.sampled_from(WORKERS))
    def agent_hands_over(self, worker):
        table = self.tables.get(worker)
        if table is None or not table.owned:
            return
        exports = table.hand_over()
        self.exports.extend(exports)
        for export in exports:
            self.evidence.append(
                shards.Evidence(
                    shards.EvidenceKind.SURRENDERED,
                    worker,
                    self.incarnations[worker],
                    shards=(export.shard,),
                    through_epoch=export.epoch,
                )
            )

    @stateful.rule(pick=st.integers(0, 99), worker=st.sampled_from(WORKERS))
    def export_arrives(self, pick, worker):
        if self.exports and worker in self.tables:
            self.tables[worker].take_over(self.exports[pick % len(self.exports)])

    @stateful.rule(number=NUMBER, seed=st.integers(0, 9), is_lagging=st.booleans())
    def propose(self, number, seed, is_lagging):
        if not is_lagging:
            self.read_log(number)
        link = self.entries[number].chain.link
        if link is None or not self.log_is_up:
            return
        identities = self.identities()
        evidence = [*self.evidence, *shards.replacement_evidence(link.shard_map, identities)]
        candidates = random.Random(seed).sample(identities, k=1 + seed % len(identities))
        child = shards.reassign(link.shard_map, evidence, candidates, self.rng)
        if child is not None:
            self.append(child)

    def read_log(self, number):
        entry = self.entries[number]
        if not self.log_is_up:
            return
        if entry.next_offset < self.first_offset:
            entry.chain.observe_gap(self.first_offset)
            entry.next_offset = self.first_offset
        for offset in range(entry.next_offset, len(self.log)):
            entry.chain.observe(offset, self.log[offset])
        entry.next_offset = len(self.log)

    @stateful.rule(
        number=NUMBER, reads_log=st.booleans(), receivers=st.sets(st.sampled_from(WORKERS))
    )
    def distribute_map(self, number, reads_log, receivers):
        if reads_log:
            self.read_log(number)
        link = self.entries[number].chain.link
        if link is None:
            return
        for worker in receivers & set(self.tables):
            self.tables[worker].adopt(link)

    @stateful.rule(number=NUMBER)
    def send_map_to_peer(self, number):
        link = self.entries[number].chain.link
        if link is not None:
            self.entries[1 - number].chain.adopt(link)

    @stateful.rule(number=NUMBER)
    def restate(self, number):
        record = self.entries[number].chain.restated_head()
        if record is not None and self.log_is_up:
            self.append(record)

    @stateful.rule(keep=st.integers(0, 3))
    def trim(self, keep):
        self.first_offset = max(self.first_offset, len(self.log) - keep)

    @stateful.rule(is_up=st.sampled_from([True, True, False]))
    def set_log_available(self, is_up):
        self.log_is_up = is_up

    @stateful.rule(seconds=st.sampled_from([1.0, 40.0, 200.0, 800.0]))
    def advance_clock(self, seconds):
        self.clock.advance(seconds)

    @stateful.invariant()
    def each_key_runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs_by_key.values()), self.runs_by_key

    @stateful.invariant()
    def refused_requests_never_ran(self):
        assert not self.refused_requests & set(self.runs_by_request)

    @stateful.invariant()
    def synchronized_chains_agree(self):
        heads = {}
        for entry in self.entries:
            link = entry.chain.link
            if link is None:
                continue
            head = link.shard_map
            assert heads.setdefault(head.revision, head.map_id) == head.map_id


@pytest.fixture
def options():
    return hypothesis.settings(
        max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
    )


def test_each_key_runs_at_most_once_under_any_interleaving(options):
    stateful.run_state_machine_as_test(ClaimMachine, settings=options)
