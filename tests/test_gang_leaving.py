"""A gang on a departing worker saves a checkpoint and runs again elsewhere."""

import signal

TASK_POLL_TIMEOUT_S = 40.0


def running_on(system, job_id):
    """Return the worker on which a job of one task runs, and the task id, from the runtimes."""
    for name, worker in system.workers.items():
        for run in system.get(f"http://{worker.http}/runs").json()["runs"]:
            if run["job_id"] == job_id and run["stopped_s"] is None:
                return name, run["task_id"]
    return None, None


def test_gang_saves_a_checkpoint_and_runs_elsewhere_when_its_agent_leaves(small_system):
    entry = small_system.entries[0]
    body = {"team": "batch", "kind": "retouch", "tasks": 1, "accelerators_per_task": 8}
    body |= {"run_time_s": 600, "checkpoint": True}
    url = f"http://{entry.http}/v1/jobs"
    job_id = small_system.client.post(url, json=body).json()["job_id"]
    small_system.wait_until(lambda: running_on(small_system, job_id)[0], TASK_POLL_TIMEOUT_S)
    first, task_id = running_on(small_system, job_id)
    leaving = small_system.agents[first]
    leaving.send_signal(signal.SIGTERM)
    assert leaving.process.wait(timeout=30) == 0
    status = small_system.get(f"http://{small_system.workers[first].http}/tasks/{task_id}").json()
    assert status["state"] == "stopped"
    assert status["checkpoint_s"] > 0
    small_system.wait_until(
        lambda: running_on(small_system, job_id)[0] not in (None, first), TASK_POLL_TIMEOUT_S
    )
