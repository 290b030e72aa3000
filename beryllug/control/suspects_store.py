"""Stores the table of suspected requests as an object of the platform.

The object is read at startup, for the case that no peer is left to ask. Writes
are best effort and nothing waits for them: if another process overwrites the
table, the merged table is written after both have exchanged their notes.
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
        """Initialize with the platform API."""
        self._api = api
        self._written: tuple[suspects_data.SuspectNote, ...] = ()

    async def read(self) -> tuple[suspects_data.SuspectNote, ...]:
        """Return the stored notes; none if they can't be read."""
        try:
            found = await self._api.read(KEY)
        except object_data.ObjectApiError as exc:
            logging.warning('event=suspects_not_read error=%s', exc)
            return ()
        if found is None:
            return ()
        try:
            stored: suspects_data.Notes = _decode(found.value)
        except msgspec.DecodeError as exc:
            logging.warning('event=suspects_not_read error=%s', exc)
            return ()
        return stored.notes

    async def write(self, notes: tuple[suspects_data.SuspectNote, ...]) -> None:
        """Store the notes, unless they equal those last stored."""
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
