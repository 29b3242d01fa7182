"""Tests of the admission queue: rejection, deadlines, cancellation, quotas and rule changes."""

import random

import pytest
import trio
import trio.testing

from papayaspar_model import errors, rulesets, work

NORMAL = work.Urgency.NORMAL


def test_full_queue_rejects_the_caller_with_the_longest_queue_with_retry_after(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        limits = [rulesets.QueueLimit("q", NORMAL, 4)]
        queue = make_queue(make_rules(limits=limits, a=(1, 0, None)), capacity=1)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(6):
                await client.send(make_request(caller="flood"))
            assert [request.caller for request, _ in client.refused] == ["flood"]
            await client.send(make_request(caller="small"))
            assert [request.caller for request, _ in client.refused] == ["flood", "flood"]
            for _, error in client.refused:
                assert isinstance(error, errors.OverloadedError)
                assert error.retry_after_s > 0
                assert error.ran is errors.Ran.NO
            await trio.sleep(3)
            assert client.count(caller="small") == 1

    run(scenario)


def test_request_is_rejected_at_once_if_the_wait_exceeds_its_deadline(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None)), capacity=1)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(20):
                await client.send(make_request())
            await trio.sleep(5.5)
            with pytest.raises(errors.OverloadedError) as raised:
                await queue.acquire(make_request(deadline_s=trio.current_time() + 3))
            assert raised.value.retry_after_s == pytest.approx(15, abs=3)
            nursery.cancel_scope.cancel()

    run(scenario)


def test_request_is_not_started_after_its_deadline_passed_in_the_queue(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None)), capacity=1)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            await client.send(make_request(), service_s=10)
            late = make_request(deadline_s=trio.current_time() + 2)
            await client.send(late)
            await trio.sleep(3)
            assert [request for request, _ in client.refused] == [late]
            assert isinstance(client.refused[0][1], errors.DeadlineError)
            await trio.sleep(10)
            assert late not in client.started

    run(scenario)


def test_cancelled_request_is_never_started(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None)), capacity=1)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            await client.send(make_request(), service_s=10)
            with trio.move_on_after(1):
                await queue.acquire(make_request())
            remaining = make_request()
            await client.send(remaining)
            await trio.sleep(9.5)
            assert client.started[1:] == [remaining]
            assert queue.in_flight == 1

    run(scenario)


def test_slot_assigned_during_cancellation_is_released(run, make_queue, make_rules, make_request):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None)), capacity=1)
        first = await queue.acquire(make_request())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(queue.acquire, make_request())
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
            queue.release(first)
        assert queue.in_flight == 0
        queue.release(first)
        assert queue.status() == ()

    run(scenario)


def test_quota_limits_the_slots_of_a_team(run, make_queue, make_rules, make_request, client_class):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 1, 2)), capacity=8)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(6):
                await client.send(make_request())
            assert queue.in_flight == 2
            await trio.sleep(2.5)
            assert (queue.in_flight, len(client.started)) == (2, 6)

    run(scenario)


def test_full_queue_of_a_team_at_its_quota_raises_quota_exceeded(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        limits = [rulesets.QueueLimit("q", NORMAL, 1, team="a")]
        queue = make_queue(make_rules(limits=limits, a=(1, 0, 1)), capacity=8)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(3):
                await client.send(make_request())
            assert [type(error) for _, error in client.refused] == [errors.QuotaExceededError]

    run(scenario)


def test_shares_of_all_entries_cover_a_guarantee_and_stay_within_a_quota(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 10, 20), b=(1, 0, 1)), capacity=90)
        queue.set_capacity(30, share_ratio=1 / 3)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(10):
                await client.send(make_request("a"))
                await client.send(make_request("b"))
            held = {status.team: (status.in_flight, status.guaranteed) for status in queue.status()}
            assert held == {"a": (6, 4), "b": (1, 0)}

    run(scenario)


def test_rules_are_applied_to_a_running_queue_and_older_revisions_are_ignored(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, 1), b=(1, 0, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(3):
                await client.send(make_request(), service_s=10)
            queue.apply(make_rules(revision=3, a=(1, 0, 3), b=(1, 0, None)))
            queue.apply(make_rules(revision=2, a=(1, 0, 1)))
            await trio.testing.wait_all_tasks_blocked()
            assert len(client.started) == 3
            for _ in range(2):
                await client.send(make_request("b"), service_s=1)
            queue.apply(make_rules(revision=4, a=(1, 0, 3)))
            await trio.sleep(0.1)
            assert [type(error) for _, error in client.refused] == [errors.UnknownTeamError]
            with pytest.raises(errors.UnknownTeamError):
                await queue.acquire(make_request("b"))

    run(scenario)


def test_guarantees_are_scaled_down_in_proportion_when_workers_are_lost(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 12, None), b=(1, 4, None)), capacity=16)
        queue.set_capacity(8)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(20):
                await client.send(make_request("a"))
                await client.send(make_request("b"))
            await trio.sleep(1.5)
            held = {status.team: status.in_flight for status in queue.status()}
            assert held == {"a": 6, "b": 2}

    run(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_random_traffic_never_exceeds_the_capacity_and_leaves_no_state(
    run, make_queue, make_rules, make_request, seed
):
    rng = random.Random(seed)

    async def send_request(queue, rules):
        await trio.sleep(rng.uniform(0, 50))
        urgency = rng.choice(list(work.Urgency))
        request = make_request(
            rng.choice(rules.teams).name,
            f"c{rng.randrange(30)}",
            urgency,
            trio.current_time() + rng.uniform(0.5, 20),
            rng.choice(["x", "y"]),
        )
        with trio.move_on_after(rng.expovariate(0.05)):
            try:
                async with queue.slot(request) as ticket:
                    assert queue.in_flight <= queue.capacity
                    assert ticket.started_s < request.deadline_s
                    await trio.sleep(rng.expovariate(1))
            except (errors.OverloadedError, errors.DeadlineError):
                return

    async def scenario():
        rules = make_rules(a=(1, 3, 5), b=(2, 2, None), c=(1, 0, None))
        queue = make_queue(rules, capacity=8)
        async with trio.open_nursery() as nursery:
            for _ in range(800):
                nursery.start_soon(send_request, queue, rules)
        assert queue.in_flight == 0
        assert queue.status() == ()

    run(scenario)
