"""Rules over separate processes: in force everywhere, never back, one winner, log trouble."""

import concurrent.futures

import pytest


def test_racing_operators_get_one_winner_and_one_conflict(small_system, more_rules):
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent = [
            pool.submit(small_system.publish, more_rules, entry, 1, f"pub-{number}")
            for number, entry in enumerate(small_system.entries)
        ]
        responses = [future.result() for future in sent]
    assert sorted(response.status_code for response in responses) == [200, 409]
    loser = max(responses, key=lambda response: response.status_code)
    assert loser.json()["code"] == "revision_conflict"
    small_system.wait_revision(2)


def test_a_lost_acknowledgement_is_settled_by_reading_back(small_system, more_rules):
    small_system.fail_log(answer_lost=True)
    response = small_system.publish(more_rules, publish_id="pub-lost")
    assert (response.status_code, response.json()["revision"]) == (200, 2)
    again = small_system.publish(more_rules, parent=1, publish_id="pub-lost")
    assert (again.status_code, again.json()["revision"]) == (200, 2)


def test_processes_that_start_while_the_log_is_away_get_the_rules(small_system, more_rules):
    small_system.publish(more_rules)
    small_system.wait_revision(2)
    small_system.fail_log(down=True)
    late = small_system.start_entry("entry-3")
    small_system.wait_until(lambda: small_system.revision(late) == 2)
    small_system.wait_workers(3)
    assert small_system.request(late, team="nights").status_code == 200


def test_agents_give_rules_back_when_all_entries_restart_without_the_log(small_system):
    small_system.fail_log(down=True)
    old = small_system.entries.pop()
    for entry in (old, small_system.entries.pop()):
        entry.kill()
    fresh = small_system.start_entry("entry-9", place_of=old)
    small_system.wait_until(lambda: small_system.revision(fresh) == 1)
    small_system.wait_until(lambda: small_system.request(fresh).status_code == 200)


@pytest.mark.parametrize("text", ["team booths weight=4\n", "tem booths # asked by x\n"])
def test_rules_with_faults_are_refused_with_their_place(shared_system, text):
    response = shared_system.publish(text)
    assert response.status_code == 422
    assert response.json()["faults"][0]["line"] == 1
    assert shared_system.revision(shared_system.entries[0]) == 1
