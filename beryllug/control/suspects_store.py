"""The table of suspected requests as an object of the platform.

It is for the case that no peer is left to ask. Best effort: a table that is
written over by another process's is written again with what both know, once
they have told each other. Nothing waits for it.
"""

import msgspec
from absl import logging

from beryllug.core import suspects_data
from beryllug.drivers import object_api, object_data, wire

KEY = 'beryllug/suspects/table'

_decode = wire.decoder(suspects_data.Notes)


class SuspectsStore:
    """Reads and writes the table."""

    def __init__(self, api: object_api.ObjectApi) -> None:
        """Bind the platform."""
        self._api = api
        self._written: tuple[suspects_data.Note, ...] = ()

    async def read(self) -> tuple[suspects_data.Note, ...]:
        """Return the notes that are kept; none where they can't be read."""
        try:
            found = await self._api.read(KEY)
        except object_data.ObjectApiError as exc:
            logging.warning('event=suspects_not_read error=%s', exc)
            return ()
        if found is None:
            return ()
        try:
            kept: suspects_data.Notes = _decode(found.value)
        except msgspec.DecodeError as exc:
            logging.warning('event=suspects_not_read error=%s', exc)
            return ()
        return kept.notes

    async def write(self, notes: tuple[suspects_data.Note, ...]) -> None:
        """Keep the notes, unless they are those that were kept last."""
        if notes == self._written:
            return
        try:
            await self._api.write(
                KEY, wire.encode(suspects_data.Notes(notes)), None
            )
        except object_data.ObjectApiError as exc:
            logging.warning('event=suspects_not_kept error=%s', exc)
            return
        self._written = notes
