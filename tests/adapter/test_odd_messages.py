"""Messages of another writer: every field with values of other types, sizes and depths."""

import json

import pytest

from papayaspar_adapter import fields, heartbeats, job_bodies, operators
from papayaspar_jobs import specs
from papayaspar_runs import messages
from papayaspar_store import records
from papayaspar_wire import codecs

JOB_ID = "0" * 16
HEARTBEAT = {
    "service": "pool", "zone": "z", "state": "ready", "seq": 4, "born": 17, "slots": 8,
    "addr": "10.0.0.1:8080", "version": "v1", "cold_left_ms": 0, "remaining_ms": 900,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8}, "labels": ["a", "r1-3"], "clock_ms": 5,
}  # fmt: skip
JOB = {
    "spec": "text", "times": 2, "start_ms": 1000, "interval_ms": 500,
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 2, "est_ms": 900, "gang": True},
        {"count": 2, "after": [0], "saves_progress": True, "affinity": "r1-3", "may_miss": 0,
         "requires": "a", "max_per_server": 2, "target_ms": 5, "image": "i"},
    ],
}  # fmt: skip
CONFIGURATION = {
    "version": 3, "limits": {"max_header_bytes": 1, "max_body_bytes": 1},
    "routes": [{"name": "q", "host": "h", "prefix": "/q/", "service": "pool", "timeout_ms": 1,
                "prio": 1, "attempts": 2, "stretch": 1.5, "slo_ms": 10, "public": False}],
    "tenants": [{"name": "t", "keys": ["k"], "guaranteed": {"gpu": 8}}],
}  # fmt: skip
# Texts of JSON values; they replace one field each.
ODD_VALUES = {
    "null": "null",
    "nested": "[" * 100_000 + "]" * 100_000,
    "many-digits": "9" * 5000,
    "large-integer": "9" * 400,
    "too-large-for-messages": str(2**64),
    "negative": "-" + "9" * 30,
    "large-float": "1e300",
    "infinity": "1e999",
    "named-infinity": "-Infinity",
    "not-a-number": "NaN",
    "lone-surrogate": r'"\ud800"',
    "port-out-of-range": '"10.0.0.1:99999"',
    "map": '{"a":[{}]}',
    "list": "[[],{}]",
}
MARK = "@odd@"


def _paths(value, path=()):
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, element in items:
        yield (*path, name)
        if isinstance(element, dict | list):
            yield from _paths(element, (*path, name))


def _replaced(value, path):
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = MARK if len(path) == 1 else _replaced(copy[path[0]], path[1:])
    return copy


def _body(message, path, odd_name):
    return json.dumps(_replaced(message, path)).replace(f'"{MARK}"', ODD_VALUES[odd_name]).encode()


def _check_heartbeat(body):
    heartbeat = heartbeats.parse("i-1", body)
    frame = codecs.Frame(codecs.FrameKind.NOTICE, 0, 0, messages.AgentState("n", heartbeat))
    messages.codec().pack(frame)


def _check_job(body):
    spec = job_bodies.parse(JOB_ID, "queue", "team", body)
    try:
        specs.validate(spec)
    except specs.InvalidJobError:
        return
    queue = operators.parse(json.dumps(CONFIGURATION).encode()).queues[0]
    records.encode(records.JOB_PREFIX + JOB_ID, records.JobRecord(spec, queue, 1, "entry"))


def _check_configuration(body):
    for queue in operators.parse(body).queues:
        records.encode("queue", queue)


CHECKS = {
    "heartbeat": (HEARTBEAT, _check_heartbeat),
    "job": (JOB, _check_job),
    "configuration": (CONFIGURATION, _check_configuration),
}


def _cases():
    for name, (message, _) in CHECKS.items():
        for path in _paths(message):
            yield pytest.param(name, path, id=".".join(map(str, (name, *path))))


# Guards against processes that end at one odd entry: a number that no message can hold, a lone
# surrogate, NaN or deep nesting in a field.
@pytest.mark.parametrize("odd_name", ODD_VALUES)
@pytest.mark.parametrize(("name", "path"), list(_cases()))
def test_message_with_an_odd_field_is_refused_or_can_be_passed_on(name, path, odd_name):
    message, check = CHECKS[name]
    try:
        check(_body(message, path, odd_name))
    except fields.MessageError:
        pass


def test_valid_messages_are_accepted():
    for message, check in CHECKS.values():
        check(json.dumps(message).encode())
