"""Connections that go silent without closing are detected, and their requests run elsewhere."""

import contextlib
import selectors
import socket
import threading

import pytest

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.05
SHORT_DEADLINE_MS = 300
RELEASE_S = 0.5
RETRY_RULES = """\
team booths weight=4 # asked by the booths' manager
retry default share=100% floor=100/s # asked by the test
"""


class Relay:
    """A TCP relay to one address that can silence single connections or hold all caller data."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.upstream = (host, int(port))
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        self.connection_count = 0
        self.silenced = set()
        # While set, data from callers stays unread.
        self.caller_data_held = threading.Event()
        self.closed = threading.Event()
        self.threads = [threading.Thread(target=self.accept, daemon=True)]
        self.threads[0].start()

    def accept(self):
        """Serve each connection in its own thread."""
        self.listening.settimeout(POLL_INTERVAL_S)
        while not self.closed.is_set():
            with contextlib.suppress(TimeoutError):
                caller, _ = self.listening.accept()
                self.connection_count += 1
                arguments = (caller, self.connection_count)
                server_thread = threading.Thread(target=self.serve, args=arguments, daemon=True)
                self.threads.append(server_thread)
                server_thread.start()

    def silence_newest(self):
        """Discard all further data of the newest connection, in both directions."""
        self.silenced.add(self.connection_count)

    def serve(self, caller, number):
        """Relay data in both directions, except held data and that of silenced connections."""
        with caller, socket.create_connection(self.upstream) as upstream:
            other = {caller: upstream, upstream: caller}
            while not self.closed.is_set():
                for end in readable([upstream] if self.caller_data_held.is_set() else other):
                    try:
                        data = end.recv(CHUNK_BYTES)
                    except OSError:
                        return
                    if not data:
                        return
                    if number not in self.silenced:
                        other[end].sendall(data)

    def close(self):
        """Stop all threads and close the listener."""
        self.closed.set()
        for thread in self.threads:
            thread.join()
        self.listening.close()


def readable(sockets):
    """Wait briefly for data and return the sockets that are readable."""
    with selectors.DefaultSelector() as selector:
        for end in sockets:
            selector.register(end, selectors.EVENT_READ)
        return [key.fileobj for key, _ in selector.select(POLL_INTERVAL_S)]


@pytest.fixture
def relay(small_system):
    """Return a relay that carries the only stream from worker-1's agent to the only entry."""
    small_system.entries.pop().kill()
    replaced_entry = small_system.entries.pop()
    replaced_entry.kill()
    new_relay = Relay(replaced_entry.streams)
    entry = small_system.start_entry(
        "entry-9", "--advertise", new_relay.address, replaced_entry=replaced_entry
    )
    small_system.wait_workers(3)
    small_system.agents["worker-1"].kill()
    small_system.wait_workers(2)
    small_system.start_agent("worker-1", "rack-1", "--entries", new_relay.address)
    small_system.wait_workers(3)
    small_system.publish(RETRY_RULES, entry)
    small_system.wait_revision(2)
    yield new_relay
    new_relay.close()


def test_requests_on_a_silent_stream_run_elsewhere_and_the_agent_reconnects(small_system, relay):
    entry = small_system.entries[0]
    relay.silence_newest()
    requests = [(entry, {"payload": {"n": number}, "deadline_ms": 12_000}) for number in range(30)]
    responses = small_system.request_all(requests)
    for number, response in enumerate(responses):
        assert response.status_code == 200, response.text
        assert response.json()["result"]["payload"]["n"] == number
        assert response.json()["worker"] != "worker-1"
    small_system.wait_until(lambda: worker_of_request(small_system, entry) == "worker-1")


def test_late_answers_are_not_delivered_to_other_requests(small_system, relay):
    entry = small_system.entries[0]
    late = [
        (entry, {"payload": {"n": f"late-{n}"}, "deadline_ms": SHORT_DEADLINE_MS})
        for n in range(24)
    ]
    fresh = [(entry, {"payload": {"n": f"fresh-{n}"}}) for n in range(24)]
    relay.caller_data_held.set()
    late_responses = small_system.request_all(late)
    assert {response.json()["ran"] for response in late_responses} == {"unknown"}
    threading.Timer(RELEASE_S, relay.caller_data_held.clear).start()
    for (_, fields), response in zip(fresh, small_system.request_all(fresh), strict=True):
        assert response.status_code == 200, response.text
        assert response.json()["result"]["payload"] == fields["payload"]


def worker_of_request(system, entry):
    """Send a request and return the worker on which it ran."""
    return system.request(entry).json().get("worker")
