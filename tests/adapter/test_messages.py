"""Decoding of the platform's messages into the project's types."""

import json

import pytest

from papayaspar_adapter import (
    fields,
    heartbeats,
    job_bodies,
    operators,
    settings,
    settings_file,
)
from papayaspar_jobs import specs
from papayaspar_model import errors
from papayaspar_runs import workers


def test_job_body_is_decoded():
    body = {
        "spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 2, "est_ms": 900, "gang": True},
            {"count": 2, "after": [0], "saves_progress": True, "affinity": "r1-3", "may_miss": 0},
        ],
        "times": 3,
        "start_ms": 1000,
        "interval_ms": 500,
    }
    job = job_bodies.parse("0123456789abcdef", "queue", "team", json.dumps(body).encode())
    first, second = job.steps
    assert first.room == specs.Resources(500, 256, 2)
    assert (first.task_count, first.estimate_ms, first.is_gang) == (4, 900, True)
    assert (second.after, second.is_checkpointed, second.data_rack) == ((0,), True, "r1-3")
    assert second.unavailable_max == 0
    assert first.unavailable_max is None
    assert job.schedule.due_ms(2) == 2000
    specs.validate(job)


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"not json", "body"),
        (b"[]", "body"),
        (b'{"steps": 3}', "steps"),
        (b'{"steps": [1]}', "steps"),
        (b'{"steps": [{"count": "4"}]}', "count"),
        (b'{"steps": [{"count": true}]}', "count"),
        (b'{"steps": [{"gang": 1}]}', "gang"),
    ],
)
def test_invalid_job_body_is_rejected_with_its_field(body, field):
    with pytest.raises(fields.MessageError) as caught:
        job_bodies.parse("0123456789abcdef", "queue", "team", body)
    assert caught.value.field == field


HEARTBEAT = {
    "service": "pool", "zone": "z", "state": "draining", "seq": 4, "born": 17,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8}, "labels": ["a", "r1-3"],
    "remaining_ms": 900, "clock_ms": 5,
}  # fmt: skip


def test_heartbeat_is_decoded():
    heartbeat = heartbeats.parse("i-1", json.dumps(HEARTBEAT).encode())
    assert heartbeat.condition is workers.Condition.DRAINING
    assert (heartbeat.rack, heartbeat.born_ms, heartbeat.remaining_ms) == ("r1-3", 17, 900)
    assert heartbeat.capacity == specs.Resources(16000, 32768, 8)


# Guards against a check-in of another writer that takes the place of the worker's: without "born"
# it named another incarnation, without "capacity" a worker that no task fits (issue 32).
@pytest.mark.parametrize("field", ["service", "state", "seq", "born", "capacity", "labels"])
def test_heartbeat_without_a_field_is_rejected(field):
    body = {name: value for name, value in HEARTBEAT.items() if name != field}
    with pytest.raises(fields.MessageError) as caught:
        heartbeats.parse("i-1", json.dumps(body).encode())
    assert caught.value.field == field


@pytest.mark.parametrize("state", ["gone", 3, None])
def test_heartbeat_with_an_unknown_state_is_rejected(state):
    with pytest.raises(errors.InvalidRequestError):
        heartbeats.parse("i-1", json.dumps({**HEARTBEAT, "state": state}).encode())


# Guards against an agent that ends at a check-in of another writer: the id went into a header of
# the next poll, which holds only ASCII; without an id the poll named no worker at all (issue 32).
@pytest.mark.parametrize("worker", ["w-\u00e9", "w\r\nx", " w", ""])
def test_heartbeat_under_an_id_that_no_worker_has_is_rejected(worker):
    with pytest.raises(fields.MessageError):
        heartbeats.parse(worker, json.dumps(HEARTBEAT).encode())


def test_heartbeat_paths_are_parsed():
    path = heartbeats.parse_path("/api/instances/i-1/heartbeat")
    assert path == heartbeats.WorkerPath("i-1", heartbeats.WorkerCall.HEARTBEAT)
    assert heartbeats.parse_path("/api/instances/i-1/other") is None
    assert heartbeats.parse_path("/") is None


def test_configuration_is_decoded():
    value = {
        "version": 7,
        "routes": [
            {"name": "r", "host": "h", "prefix": "/p/", "service": "s", "prio": 2, "slo_ms": 250,
             "attempts": 3, "stretch": 1.5, "timeout_ms": 3000, "public": False}
        ],
        "tenants": [{"name": "t", "keys": ["k1", "k2"], "guaranteed": {"gpu": 24}}],
    }  # fmt: skip
    configuration = operators.parse(json.dumps(value).encode())
    assert configuration.version == 7
    assert configuration.match_queue("h", "/p/1").objective_ms == 250
    assert configuration.find_team("k2").name == "t"
    assert configuration.guaranteed_accelerators("t") == 24
    assert configuration.guaranteed_accelerators("nobody") == 0


def test_settings_file_is_decoded(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(
        'node = "edge-1"\nip = "127.0.0.1"\ninternal_ports = [7000, 7015]\nunknown = 1\n'
        '[listen]\nfront = "127.0.0.1:1"\n[bounds]\nhold_max_ms = 6000\n'
        '[platform]\naddr = "127.0.0.1:2"\n'
    )
    node_settings = settings.load(str(path))
    assert (node_settings.node, node_settings.internal_ports, node_settings.lease_max_s) == (
        "edge-1",
        (7000, 7015),
        6.0,
    )


SETTINGS = (
    'node = "edge-1"\nip = "127.0.0.1"\ninternal_ports = [7000, 7015]\n'
    '[platform]\naddr = "127.0.0.1:2"\n'
)


@pytest.mark.parametrize("value, is_learning", [("learned", True), ("declared", False)])
def test_run_times_are_learned_or_declared(tmp_path, monkeypatch, value, is_learning):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    assert settings.load(str(path)).is_learning
    monkeypatch.setenv(settings_file.RUN_TIMES_VARIABLE, value)
    assert settings.load(str(path)).is_learning is is_learning


def test_error_names_the_variable_of_the_run_times(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv(settings_file.RUN_TIMES_VARIABLE, "guessed")
    with pytest.raises(errors.SettingsError, match=settings_file.RUN_TIMES_VARIABLE):
        settings.load(str(path))


@pytest.mark.parametrize("text", ["", "node = 3", "not toml ["])
def test_invalid_settings_file_is_rejected(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(errors.SettingsError):
        settings.load(str(path))
