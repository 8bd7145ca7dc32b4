"""A client's request, independent of the protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as the entry VM received it.

    :ivar key: the client's API key, or an empty string.
    :ivar query: query string without the question mark.
    :ivar headers: pairs of a lower-case name and a value.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    key: str
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None."""
        for found, value in self.headers:
            if found == name:
                return value
        return None
