"""Tests of reports on suspected requests between processes."""

from typing import NamedTuple
from unittest import TestCase, main, mock

from beryllug.core import suspects, suspects_data
from beryllug.core.peering import (
    peering_data,
    segment_reports,
    suspect_reports,
)
from beryllug.core.placement import (
    poison_requests,
    segment_losses,
    suspect_keys,
)
from beryllug.drivers import datagrams, wire
from beryllug.router import suspect_notes

# The longest instances: a name and the millisecond of a start.
INSTANCE = 'i-0123456789@1700000000000'
TRIAL = 'trial-01'
# What a signature and the other fields of a note take at most, and what is
# left in a probe.
FIXED_BYTES = 300
PROBE_BYTES = 350
SENT_AT = 1000.0
RECEIVED_AT = 5.0
LOSSES = tuple(
    suspects_data.Loss(f'{INSTANCE}{number}', '', SENT_AT - number)
    for number in range(suspects.MAX_LOSSES)
)
TRIALS = tuple(
    suspects_data.Trial(f'{TRIAL}{number}', INSTANCE, SENT_AT + 15)
    for number in range(suspects.MAX_TRIALS)
)


# Keys of the greatest length that a lost trial accuses.
KEYS = tuple(
    suspect_keys.segment_keys(
        f'{number:0{suspect_keys.MAX_PLAIN_ID}}'
        for number in range(suspect_keys.MAX_TOGETHER)
    )
)


def _shared_note(key: str) -> suspects_data.SuspectNote:
    """Return a note of a key under which all trials were lost."""
    losses = tuple(
        loss._replace(trial_id=TRIAL, together=KEYS, lost_servers=9)
        for loss in LOSSES
    )
    return suspects_data.SuspectNote(key, losses, TRIALS)


def _note(number: int) -> suspects_data.SuspectNote:
    return suspects_data.SuspectNote(f'{number:016}', LOSSES, TRIALS)


class _OlderLoss(NamedTuple):
    """A loss as the release before tells it."""

    instance: str
    ago_s: float
    trial_id: str = ''
    is_cleared: bool = False


class _OlderReport(NamedTuple):
    """A report as the release before tells it."""

    fingerprint: str
    losses: tuple[_OlderLoss, ...] = ()
    trials: tuple[peering_data.TrialReport, ...] = ()


class ReportsTest(TestCase):
    """What a process receives of what another one knows."""

    def test_times(self) -> None:
        """Two processes count seconds from different moments."""
        note = _note(1)
        report = suspect_reports.report_of(note, SENT_AT)
        received = suspect_reports.note_of(report, RECEIVED_AT)
        shift_s = RECEIVED_AT - SENT_AT
        self.assertEqual(
            [loss.at for loss in received.losses],
            [loss.at + shift_s for loss in note.losses],
        )
        self.assertEqual(
            [trial.until for trial in received.trials],
            [trial.until + shift_s for trial in note.trials],
        )

    def test_large(self) -> None:
        """A note that is too large for a datagram is sent to nobody."""
        reports = [
            suspect_reports.report_of(_note(number), SENT_AT)
            for number in range(40)
        ]
        small = [report._replace(trials=()) for report in reports]
        groups = list(suspect_reports.split(reports + small))
        self.assertEqual(sum(map(len, groups)), len(reports) + len(small))
        for group in groups:
            note = peering_data.PeerNote(
                'edge-ahd-a-1',
                '10.1.64.18:10000',
                suspects=group,
                losses=suspect_reports.losses_of(group),
            )
            encoded = len(wire.encode(note))
            self.assertLess(encoded + FIXED_BYTES, datagrams.MAX_DATAGRAM_BYTES)

    def test_large_shared(self) -> None:
        """Accused segments take more than a datagram holds."""
        for key in (KEYS[0], f'{1:016}'):
            parts = tuple(suspect_reports.told_parts(_shared_note(key)))
            self.assertEqual(len(parts), 1)
            report = suspect_reports.report_of(parts[0], SENT_AT)
            self._assert_small(report)
            received = suspect_reports.note_of(report, RECEIVED_AT)
            self.assertTrue(suspects.lost_trials(received, RECEIVED_AT))

    def test_large_segments(self) -> None:
        """The segments of a long prompt do not fit into a datagram."""
        for segments in (
            [f'a{each:03x}' for each in range(1700)],
            [f'{each:0400x}' for each in range(40)],
        ):
            keys = suspect_keys.segment_keys(segments)
            lost = segment_losses.LostServer(INSTANCE, SENT_AT, keys)
            for report in segment_reports.of_lost(lost, SENT_AT):
                note = peering_data.PeerNote('', '', segments=(report,))
                size = len(wire.encode(note)) + FIXED_BYTES
                self.assertLess(size, datagrams.MAX_DATAGRAM_BYTES)

    def test_cleared_elsewhere(self) -> None:
        """An answered segment with many losses remains a suspect elsewhere."""
        tried = tuple(
            loss._replace(trial_id=f'{TRIAL}{number}')
            for number, loss in enumerate(_shared_note(KEYS[0]).losses)
        )
        for losses in (tried, (*LOSSES[:5], *tried[5:])):
            note = suspects_data.SuspectNote(KEYS[0], losses)
            table = suspects_data.Table({note.fingerprint: note})
            cleared = tuple(loss._replace(cleared=True) for loss in losses)
            for part in suspect_reports.told_parts(
                note._replace(losses=cleared)
            ):
                report = suspect_reports.report_of(part, SENT_AT)
                self._assert_small(report)
                received = suspect_reports.note_of(report, SENT_AT)
                suspects.merge(table, (received,), SENT_AT)
            known = table.notes[note.fingerprint]
            self.assertFalse(suspects.is_suspect(known, SENT_AT, 1))
            self.assertFalse(suspects.lost_trials(known, SENT_AT))

    def test_older_release(self) -> None:
        """A release that knows no segments can't read what is told."""
        told = next(suspect_reports.told_parts(_shared_note(KEYS[0])))
        report = suspect_reports.report_of(told, SENT_AT)
        older = wire.decoder(_OlderReport)(wire.encode(report))
        self.assertEqual(older.fingerprint, KEYS[0])
        self.assertEqual(len(older.losses), len(report.losses))
        returned = wire.decoder(peering_data.SuspectReport)(wire.encode(older))
        self.assertEqual(returned.losses[0].instance, older.losses[0].instance)
        self.assertEqual(returned.losses[0].together, ())
        self.assertEqual(suspect_reports.losses_of((report,)), ())

    def test_probe_shared(self) -> None:
        """What binds of two segments does not fit into a probe."""
        reports = []
        for key in KEYS[:2]:
            part = suspect_reports.binding_part(_shared_note(key), SENT_AT)
            assert part is not None
            reports.append(suspect_reports.report_of(part, SENT_AT))
        self.assertLess(len(wire.encode(tuple(reports))), PROBE_BYTES)

    def test_probe(self) -> None:
        """What binds of two requests fits into a probe beside the rest."""
        refused = _note(1)._replace(
            losses=(*LOSSES, LOSSES[0]._replace(trial_id=TRIAL))
        )
        parts = [
            suspect_reports.binding_part(note, SENT_AT)
            for note in (_note(0), refused)
        ]
        reports = tuple(
            suspect_reports.report_of(part, SENT_AT) for part in parts if part
        )
        self.assertEqual(len(reports), len(parts))
        self.assertLess(len(wire.encode(reports)), PROBE_BYTES)
        received = [
            suspect_reports.note_of(report, RECEIVED_AT) for report in reports
        ]
        self.assertTrue(suspects.is_suspect(received[0], RECEIVED_AT, 2))
        self.assertTrue(suspects.is_refused(received[1], RECEIVED_AT))

    def test_free(self) -> None:
        """What runs freely is not repeated."""
        cleared = tuple(loss._replace(cleared=True) for loss in LOSSES)
        for losses in ((), LOSSES[:1], cleared):
            note = _note(1)._replace(losses=losses)
            self.assertIsNone(suspect_reports.binding_part(note, SENT_AT))

    def _assert_small(self, report: peering_data.SuspectReport) -> None:
        """Check that a report fits into a datagram."""
        note = peering_data.PeerNote(
            'edge-ahd-a-1',
            '10.1.64.18:10000',
            suspects=(report,),
            losses=suspect_reports.losses_of((report,)),
        )
        encoded = len(wire.encode(note))
        self.assertLess(encoded + FIXED_BYTES, datagrams.MAX_DATAGRAM_BYTES)


class SuspectNotesTest(TestCase):
    """What a process tells of very many suspects, one of them a segment."""

    def setUp(self) -> None:
        """Know the segment first, and of many requests since."""
        self.state = poison_requests.Crashers()
        crashes = mock.Mock()
        crashes.suspects.state = self.state
        self.notes = suspect_notes.SuspectNotes(
            crashes, mock.Mock(), mock.Mock(), mock.Mock()
        )
        requests = [_note(number) for number in range(100)]
        segment = _shared_note(KEYS[0])
        for note in (segment, *requests):
            self.state.table.notes[note.fingerprint] = note

    def test_recent(self) -> None:
        """A process that starts is not told of the segment."""
        told = self.notes.recent(SENT_AT)
        self.assertEqual(len(told), suspect_notes.MAX_IN_ANSWER)
        self.assertIn(KEYS[0], {report.fingerprint for report in told})

    def test_sample(self) -> None:
        """A datagram on the segment is lost, and repeated after minutes."""
        told = self.notes.sample(SENT_AT)
        self.assertEqual(len(told), suspect_notes.MAX_IN_PROBE)
        self.assertIn(KEYS[0], {report.fingerprint for report in told})


if __name__ == '__main__':
    main()
