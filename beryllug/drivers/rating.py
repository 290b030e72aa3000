"""Adapter of the rating service.

A response must not be delayed for long by its rating: each call has a timeout,
and all failures raise one error, on which the caller uses its fallback.
"""

from http import HTTPStatus
from typing import NamedTuple, Protocol, TypedDict

import msgspec

from beryllug.core import config_data
from beryllug.drivers import http_client, http_data

PATH = '/v1/ratings'


class RatingError(Exception):
    """No rating was returned."""


class RatingRequest(NamedTuple):
    """A response to be rated."""

    request_id: str
    version: config_data.VersionRef
    answer: str


class RatingService(Protocol):
    """The interface to the rating service."""

    async def rate(self, ask: RatingRequest, timeout_s: float) -> float:
        """Rate a response, from 0 to 1.

        Raises:
            RatingError: No rating was returned in time.
        """


class _Rating(TypedDict):
    rating: float


class HttpRater:
    """The rating service over HTTP."""

    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        """Keep the client and the service's address."""
        self._client = client
        self._address = address

    async def rate(self, ask: RatingRequest, timeout_s: float) -> float:
        """Rate a response; see `RatingService`."""
        fields = {
            'request_id': ask.request_id,
            'answer': ask.answer,
            **ask.version._asdict(),
        }
        headers = {'content-type': 'application/json'}
        outgoing = http_data.Outgoing(
            'POST', PATH, headers, http_data.to_json(fields)
        )
        try:
            incoming, body = await self._client.call(
                self._address, outgoing, timeout_s
            )
        except (http_data.NotSentError, http_data.BrokenError) as exc:
            raise RatingError(str(exc)) from exc
        if incoming.status != HTTPStatus.OK:
            raise RatingError(f'status {incoming.status}')
        return _decode(body)


def _decode(body: bytes) -> float:
    try:
        rating = msgspec.json.decode(body, type=_Rating)['rating']
    except msgspec.DecodeError as exc:
        raise RatingError(f'answer unreadable: {exc}') from exc
    if 0 <= rating <= 1:
        return rating
    raise RatingError(f'rating {rating} is not between 0 and 1')
