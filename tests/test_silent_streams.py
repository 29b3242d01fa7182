"""Connections that go silent without closing are noticed, and work moves on."""

import contextlib
import selectors
import socket
import threading

import pytest

CHUNK_BYTES = 65_536
STEP_S = 0.05
LATE_MS = 300
RELEASE_S = 0.5
RETRY_RULES = """\
team booths weight=4 # asked by the booths' manager
retry default share=100% floor=100/s # asked by the test
"""


class Relay:
    """Passes bytes between callers and one address; connections can go silent one by one."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.upstream = (host, int(port))
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        self.count = 0
        self.silent = set()
        self.held = threading.Event()
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.accept, daemon=True)]
        self.threads[0].start()

    def accept(self):
        """Serve each connection in a thread of its own."""
        self.listening.settimeout(STEP_S)
        while not self.ended.is_set():
            with contextlib.suppress(TimeoutError):
                caller, _ = self.listening.accept()
                self.count += 1
                arguments = (caller, self.count)
                served = threading.Thread(target=self.serve, args=arguments, daemon=True)
                self.threads.append(served)
                served.start()

    def silence_newest(self):
        """Take in the bytes of the newest connection from now on and pass none of them."""
        self.silent.add(self.count)

    def serve(self, caller, number):
        """Pass bytes both ways, unless the connection is silent."""
        with caller, socket.create_connection(self.upstream) as upstream:
            other = {caller: upstream, upstream: caller}
            while not self.ended.is_set():
                for end in ready([upstream] if self.held.is_set() else other):
                    try:
                        data = end.recv(CHUNK_BYTES)
                    except OSError:
                        return
                    if not data:
                        return
                    if number not in self.silent:
                        other[end].sendall(data)

    def close(self):
        """End all threads."""
        self.ended.set()
        for thread in self.threads:
            thread.join()
        self.listening.close()


def ready(ends):
    """Return the sockets that have something to read, after a short wait."""
    with selectors.DefaultSelector() as selector:
        for end in ends:
            selector.register(end, selectors.EVENT_READ)
        return [key.fileobj for key, _ in selector.select(STEP_S)]


@pytest.fixture
def relay(small_system):
    """Return a relay that is the only way from worker-1's agent to the only entry."""
    small_system.entries.pop().kill()
    old = small_system.entries.pop()
    old.kill()
    made = Relay(old.streams)
    entry = small_system.start_entry("entry-9", "--advertise", made.address, place_of=old)
    small_system.wait_workers(3)
    small_system.agents["worker-1"].kill()
    small_system.wait_workers(2)
    small_system.start_agent("worker-1", "rack-1", "--entries", made.address)
    small_system.wait_workers(3)
    small_system.publish(RETRY_RULES, entry)
    small_system.wait_revision(2)
    yield made
    made.close()


def test_a_silent_stream_is_noticed_its_work_moves_on_and_the_agent_returns(small_system, relay):
    entry = small_system.entries[0]
    relay.silence_newest()
    asked = [(entry, {"payload": {"n": number}, "deadline_ms": 12_000}) for number in range(30)]
    responses = small_system.ask_all(asked)
    for number, response in enumerate(responses):
        assert response.status_code == 200, response.text
        assert response.json()["result"]["payload"]["n"] == number
        assert response.json()["worker"] != "worker-1"
    small_system.wait_until(lambda: worker_of(small_system, entry) == "worker-1")


def test_late_answers_reach_no_other_request(small_system, relay):
    entry = small_system.entries[0]
    late = [(entry, {"payload": {"n": f"late-{n}"}, "deadline_ms": LATE_MS}) for n in range(24)]
    fresh = [(entry, {"payload": {"n": f"fresh-{n}"}}) for n in range(24)]
    relay.held.set()
    missed = small_system.ask_all(late)
    assert {response.json()["ran"] for response in missed} == {"unknown"}
    threading.Timer(RELEASE_S, relay.held.clear).start()
    for (_, fields), response in zip(fresh, small_system.ask_all(fresh), strict=True):
        assert response.status_code == 200, response.text
        assert response.json()["result"]["payload"] == fields["payload"]


def worker_of(system, entry):
    """Return which worker a request runs on."""
    return system.request(entry).json().get("worker")
