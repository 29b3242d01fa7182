"""Publishing of rules across processes: conflicts, outages of the log, restarts, invalid rules."""

import concurrent.futures

import pytest


def test_concurrent_publishes_have_one_winner_and_one_conflict(small_system, extended_rules):
    with concurrent.futures.ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(small_system.publish, extended_rules, entry, 1, f"pub-{number}")
            for number, entry in enumerate(small_system.entries)
        ]
        responses = [future.result() for future in futures]
    assert sorted(response.status_code for response in responses) == [200, 409]
    loser = max(responses, key=lambda response: response.status_code)
    assert loser.json()["code"] == "revision_conflict"
    small_system.wait_revision(2)


def test_lost_acknowledgement_is_resolved_by_reading_the_log(small_system, extended_rules):
    small_system.set_log_faults(answer_lost=True)
    response = small_system.publish(extended_rules, publish_id="pub-lost")
    assert (response.status_code, response.json()["revision"]) == (200, 2)
    again = small_system.publish(extended_rules, parent=1, publish_id="pub-lost")
    assert (again.status_code, again.json()["revision"]) == (200, 2)


def test_entry_started_during_a_log_outage_gets_the_rules(small_system, extended_rules):
    small_system.publish(extended_rules)
    small_system.wait_revision(2)
    small_system.set_log_faults(down=True)
    new_entry = small_system.start_entry("entry-3")
    small_system.wait_until(lambda: small_system.revision(new_entry) == 2)
    small_system.wait_workers(3)
    assert small_system.request(new_entry, team="nights").status_code == 200


def test_restarted_entries_get_the_rules_from_agents_during_a_log_outage(small_system):
    small_system.set_log_faults(down=True)
    old = small_system.entries.pop()
    for entry in (old, small_system.entries.pop()):
        entry.kill()
    restarted = small_system.start_entry("entry-9", replaced_entry=old)
    small_system.wait_until(lambda: small_system.revision(restarted) == 1)
    small_system.wait_until(lambda: small_system.request(restarted).status_code == 200)


@pytest.mark.parametrize("text", ["team booths weight=4\n", "tem booths # asked by x\n"])
def test_invalid_rules_are_refused_with_the_line_of_the_fault(shared_system, text):
    response = shared_system.publish(text)
    assert response.status_code == 422
    assert response.json()["faults"][0]["line"] == 1
    assert shared_system.revision(shared_system.entries[0]) == 1
