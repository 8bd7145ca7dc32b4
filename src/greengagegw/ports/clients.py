"""What a caller asks, without the way in which it was asked."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as it came to the entry.

    :ivar key: what the caller presented, or an empty text.
    :ivar query: the query string without the question mark.
    :ivar headers: names in lower case.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    key: str
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first value of a header."""
        for found, value in self.headers:
            if found == name:
                return value
        return None
