"""Tests of the admission queue: the order in which slots are assigned."""

import pytest
import trio
import trio.testing

from papayaspar_model import work

URGENT = work.Urgency.URGENT
NORMAL = work.Urgency.NORMAL
BATCH = work.Urgency.BATCH


def test_team_below_its_guarantee_gets_the_next_free_slots(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None), b=(1, 2, None)), capacity=2)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(6):
                await client.send(make_request("a"))
            for _ in range(3):
                await client.send(make_request("b", urgency=BATCH))
            await trio.sleep(0.5)
            assert client.count(team="a") == 2
            await trio.sleep(1)
            assert (client.count(team="a"), client.count(team="b")) == (2, 2)
            await trio.sleep(1)
            assert (client.count(team="a"), client.count(team="b")) == (3, 3)

    run(scenario)


def test_urgent_work_goes_first_among_teams_below_their_guarantee(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 2, None), b=(1, 2, None)), capacity=0)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            await client.send(make_request("a", urgency=BATCH))
            await client.send(make_request("b", urgency=URGENT))
            queue.set_capacity(1)
            await trio.sleep(1.5)
            assert [request.team for request in client.started] == ["b", "a"]

    run(scenario)


def test_borrowed_work_leaves_recently_needed_guaranteed_slots_free(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None), b=(1, 4, None)), capacity=40)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(4):
                await client.send(make_request("b"), service_s=1)
            await trio.sleep(2)
            for _ in range(50):
                await client.send(make_request("a"), service_s=100)
            assert client.count(team="a") == 36
            for _ in range(4):
                await client.send(make_request("b"), service_s=1)
            assert client.count(team="b") == 8
            await trio.sleep(150)
            assert client.count(team="a") == 50

    run(scenario)


@pytest.mark.parametrize("urgency", [URGENT, NORMAL, BATCH])
def test_slots_beyond_guarantees_are_shared_by_weight(
    run, make_queue, make_rules, make_request, client_class, urgency
):
    async def scenario():
        rules = make_rules(a=(3, 0, None), b=(1, 0, None), c=(1, 2, None))
        queue = make_queue(rules, capacity=6)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(200):
                await client.send(make_request("a", urgency=urgency))
                await client.send(make_request("b", urgency=urgency))
                await client.send(make_request("c", urgency=urgency))
            await trio.sleep(40.5)
            assert client.count(team="c") >= 80
            assert client.count(team="a") / client.count(team="b") == pytest.approx(3, rel=0.25)
            nursery.cancel_scope.cancel()

    run(scenario)


def test_shares_are_of_slot_time_rather_than_requests(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None), b=(1, 0, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(250):
                await client.send(make_request("a", kind="long"), service_s=10)
                await client.send(make_request("b", kind="short"), service_s=1)
            await trio.sleep(100)
            long_s = 10 * client.count(team="a")
            short_s = client.count(team="b")
            assert short_s / (long_s + short_s) == pytest.approx(0.5, abs=0.1)
            nursery.cancel_scope.cancel()

    run(scenario)


def test_urgent_overload_does_not_starve_other_work(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 2, None), b=(1, 0, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(250):
                await client.send(make_request("a", urgency=URGENT))
            for _ in range(20):
                await client.send(make_request("a", urgency=BATCH))
                await client.send(make_request("b", urgency=BATCH))
            await trio.sleep(50.5)
            assert client.count(team="a", urgency=URGENT) > 100
            assert client.count(team="a", urgency=BATCH) >= 5
            assert client.count(team="b", urgency=BATCH) >= 15
            nursery.cancel_scope.cancel()

    run(scenario)


def test_overload_by_one_caller_does_not_delay_other_callers_of_its_team(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 2, None)), capacity=2)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(200):
                await client.send(make_request(caller="flood"))
            await trio.sleep(5.5)
            for number in range(4):
                await client.send(make_request(caller=f"small-{number}"))
            await trio.sleep(2)
            assert sum(request.caller != "flood" for request in client.started) == 4
            nursery.cancel_scope.cancel()

    run(scenario)


def test_urgent_overload_by_one_caller_does_not_delay_batch_work_of_others(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 4, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            for _ in range(200):
                await client.send(make_request(caller="flood", urgency=URGENT))
            await trio.sleep(5.5)
            for number in range(4):
                await client.send(make_request(caller=f"small-{number}", urgency=BATCH))
            await trio.sleep(9)
            assert client.count(urgency=BATCH) == 4
            nursery.cancel_scope.cancel()

    run(scenario)


def test_many_urgent_callers_do_not_starve_batch_work(
    run, make_queue, make_rules, make_request, client_class
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 4, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            client = client_class(nursery, queue)
            await client.send(make_request(caller="batch", urgency=BATCH), service_s=10)
            for number in range(240):
                await client.send(make_request(caller=f"c-{number}", urgency=URGENT))
            for _ in range(2):
                await client.send(make_request(caller="batch", urgency=BATCH), service_s=10)
            await trio.sleep(40)
            assert client.count(urgency=URGENT) > 60
            assert client.count(urgency=BATCH) >= 2
            nursery.cancel_scope.cancel()

    run(scenario)
