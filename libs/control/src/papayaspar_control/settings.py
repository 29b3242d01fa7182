"""Settings of ``papayaspar-ctl``, as flags and environment variables."""

import pathlib
import ssl

import attrs

from papayaspar_control import client
from papayaspar_settings import fields, kinds, loading


@attrs.frozen(kw_only=True)
class ControlSettings(fields.Settings):
    """Settings of ``papayaspar-ctl``."""

    entry: str = fields.default(
        kinds.Address(), "127.0.0.1:7801", "address of the operators' listener of an entry"
    )
    timeout_s: float = fields.default(
        kinds.Seconds(minimum=0.1, maximum=600.0), "10", "timeout of one request"
    )
    author: str | None = fields.optional(
        kinds.Text(), "name of the publisher; required for rules publish"
    )
    http_authority: pathlib.Path | None = fields.optional(
        kinds.File(), "CA certificates for the entry's HTTP certificate, PEM; enables TLS"
    )

    def client(self) -> client.Client:
        """Return a client of the entry."""
        if self.http_authority is None:
            return client.Client(f"http://{self.entry}", self.timeout_s)
        context = ssl.create_default_context(cafile=str(self.http_authority))
        return client.Client(f"https://{self.entry}", self.timeout_s, tls=context)

    def required_author(self) -> str:
        """Return the name of the publisher.

        :raises InvalidSettingsError: if it is not given.
        """
        if self.author is not None:
            return self.author
        raise loading.InvalidSettingsError(
            (fields.Fault("author", "missing", "must be given to publish"),)
        )
