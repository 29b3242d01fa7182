"""Tests of the admission queue: the order in which slots are given."""

import pytest
import trio
import trio.testing

from papayaspar_model import work

URGENT = work.Urgency.URGENT
NORMAL = work.Urgency.NORMAL
BATCH = work.Urgency.BATCH


def test_a_team_below_its_guarantee_gets_the_next_free_slots(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None), b=(1, 2, None)), capacity=2)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(6):
                await sent.send(make_request("a"))
            for _ in range(3):
                await sent.send(make_request("b", urgency=BATCH))
            await trio.sleep(0.5)
            assert sent.count(team="a") == 2
            await trio.sleep(1)
            assert (sent.count(team="a"), sent.count(team="b")) == (2, 2)
            await trio.sleep(1)
            assert (sent.count(team="a"), sent.count(team="b")) == (3, 3)

    run(scenario)


def test_urgent_work_goes_first_among_teams_below_their_guarantee(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 2, None), b=(1, 2, None)), capacity=0)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            await sent.send(make_request("a", urgency=BATCH))
            await sent.send(make_request("b", urgency=URGENT))
            queue.set_capacity(1)
            await trio.sleep(1.5)
            assert [request.team for request in sent.started] == ["b", "a"]

    run(scenario)


def test_borrowed_work_leaves_free_what_a_guarantee_needed_of_late(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None), b=(1, 4, None)), capacity=40)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(4):
                await sent.send(make_request("b"), service_s=1)
            await trio.sleep(2)
            for _ in range(50):
                await sent.send(make_request("a"), service_s=100)
            assert sent.count(team="a") == 36
            for _ in range(4):
                await sent.send(make_request("b"), service_s=1)
            assert sent.count(team="b") == 8
            await trio.sleep(150)
            assert sent.count(team="a") == 50

    run(scenario)


@pytest.mark.parametrize("urgency", [URGENT, NORMAL, BATCH])
def test_what_is_left_is_shared_by_weight(
    run, make_queue, make_rules, make_request, recorder, urgency
):
    async def scenario():
        rules = make_rules(a=(3, 0, None), b=(1, 0, None), c=(1, 2, None))
        queue = make_queue(rules, capacity=6)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(200):
                await sent.send(make_request("a", urgency=urgency))
                await sent.send(make_request("b", urgency=urgency))
                await sent.send(make_request("c", urgency=urgency))
            await trio.sleep(40.5)
            assert sent.count(team="c") >= 80
            assert sent.count(team="a") / sent.count(team="b") == pytest.approx(3, rel=0.25)
            nursery.cancel_scope.cancel()

    run(scenario)


def test_shares_count_slot_time_rather_than_requests(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 0, None), b=(1, 0, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(250):
                await sent.send(make_request("a", kind="long"), service_s=10)
                await sent.send(make_request("b", kind="short"), service_s=1)
            await trio.sleep(100)
            long_s = 10 * sent.count(team="a")
            short_s = sent.count(team="b")
            assert short_s / (long_s + short_s) == pytest.approx(0.5, abs=0.1)
            nursery.cancel_scope.cancel()

    run(scenario)


def test_a_flood_of_urgent_work_does_not_starve_the_rest(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 2, None), b=(1, 0, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(250):
                await sent.send(make_request("a", urgency=URGENT))
            for _ in range(20):
                await sent.send(make_request("a", urgency=BATCH))
                await sent.send(make_request("b", urgency=BATCH))
            await trio.sleep(50.5)
            assert sent.count(team="a", urgency=URGENT) > 100
            assert sent.count(team="a", urgency=BATCH) >= 5
            assert sent.count(team="b", urgency=BATCH) >= 15
            nursery.cancel_scope.cancel()

    run(scenario)


def test_a_flooding_caller_does_not_delay_the_others_of_its_team(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 2, None)), capacity=2)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(200):
                await sent.send(make_request(caller="flood"))
            await trio.sleep(5.5)
            for number in range(4):
                await sent.send(make_request(caller=f"small-{number}"))
            await trio.sleep(2)
            assert sum(request.caller != "flood" for request in sent.started) == 4
            nursery.cancel_scope.cancel()

    run(scenario)


def test_urgent_work_of_one_caller_does_not_hold_up_batch_work_of_others(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 4, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            for _ in range(200):
                await sent.send(make_request(caller="flood", urgency=URGENT))
            await trio.sleep(5.5)
            for number in range(4):
                await sent.send(make_request(caller=f"small-{number}", urgency=BATCH))
            await trio.sleep(9)
            assert sent.count(urgency=BATCH) == 4
            nursery.cancel_scope.cancel()

    run(scenario)


def test_many_urgent_callers_do_not_starve_batch_work(
    run, make_queue, make_rules, make_request, recorder
):
    async def scenario():
        queue = make_queue(make_rules(a=(1, 4, None)), capacity=4)
        async with trio.open_nursery() as nursery:
            sent = recorder(nursery, queue)
            await sent.send(make_request(caller="batch", urgency=BATCH), service_s=10)
            for number in range(240):
                await sent.send(make_request(caller=f"c-{number}", urgency=URGENT))
            for _ in range(2):
                await sent.send(make_request(caller="batch", urgency=BATCH), service_s=10)
            await trio.sleep(40)
            assert sent.count(urgency=URGENT) > 60
            assert sent.count(urgency=BATCH) >= 2
            nursery.cancel_scope.cancel()

    run(scenario)
