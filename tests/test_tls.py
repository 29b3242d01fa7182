"""TLS on the HTTP listeners, and mutual TLS on the streams."""

import ssl

import httpx
import pytest
import trustme


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def tls_arguments(tmp_path, authority):
    """Return the TLS arguments of a program; the certificates are in files."""
    issued = authority.issue_cert("127.0.0.1")
    certificate, key, root = (tmp_path / name for name in ("cert.pem", "key.pem", "ca.pem"))
    issued.cert_chain_pems[0].write_to_path(certificate)
    issued.private_key_pem.write_to_path(key)
    authority.cert_pem.write_to_path(root)
    return (
        *("--tls-certificate", str(certificate), "--tls-key", str(key)),
        *("--tls-authority", str(root)),
    )


def test_streams_and_listeners_use_tls(system, authority, tls_arguments):
    system.start_log()
    http = ("--http-certificate", tls_arguments[1], "--http-key", tls_arguments[3])
    entry = system.start_entry("entry-1", *tls_arguments, *http, wait=False)
    system.start_worker("worker-1")
    system.start_agent("worker-1", "rack-1", *tls_arguments)
    system.start_worker("worker-2")
    system.start_agent("worker-2")
    context = ssl.create_default_context()
    authority.configure_trust(context)
    with httpx.Client(verify=context, trust_env=False) as client:
        status = f"https://{entry.operators}/v1/status"
        system.wait_until(lambda: client.get(status).json()["workers"])
        rows = client.get(status).json()["workers"]
        assert [row["worker"] for row in rows] == ["worker-1"]
        assert client.get(f"https://{entry.http}/healthz").status_code == 200
    with pytest.raises(httpx.TransportError):
        system.get(f"http://{entry.http}/healthz")
