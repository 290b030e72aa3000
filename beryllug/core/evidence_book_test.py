"""Tests of an entry host's buffer of unreported evidence."""

import unittest

from beryllug.core import config_data, evidence_book

REF = config_data.VersionRef('desk', 'v2')
SUBJECT = evidence_book.Subject(REF, 'kutch')


class EvidenceBookTest(unittest.TestCase):
    """Each answer is counted once, even if a report is resent."""

    def test_lost_acknowledgement(self) -> None:
        """A report whose acknowledgement was lost is resent.

        It is unchanged and has the same sequence number; further answers are
        counted for the next report.
        """
        book = evidence_book.EvidenceBuffer('entry-1/boot')
        self._answer(book, failed=True)
        first = evidence_book.report(book, ())
        self._answer(book, failed=False)
        self.assertEqual(evidence_book.report(book, ()), first)
        evidence_book.acknowledge(book, first.sequence - 1)
        self.assertEqual(evidence_book.report(book, ()), first)
        evidence_book.acknowledge(book, first.sequence)
        second = evidence_book.report(book, ())
        self.assertEqual(second.sequence, first.sequence + 1)
        sent = [report.counts[0] for report in (first, second)]
        self.assertEqual([counts.answers for counts in sent], [1, 1])
        self.assertEqual([counts.errors for counts in sent], [1, 0])

    def test_running(self) -> None:
        """Requests in flight are part of each report until they end."""
        book = evidence_book.EvidenceBuffer('entry-1/boot')
        evidence_book.start(book, SUBJECT)
        evidence_book.start(book, SUBJECT)
        self.assertEqual(self._running(book), [2])
        evidence_book.drop(book, SUBJECT)
        self.assertEqual(self._running(book), [1])
        evidence_book.end(book, SUBJECT, evidence_book.Answer())
        self.assertEqual(self._running(book), [0])
        self.assertEqual(self._running(book), [])

    def test_ratings(self) -> None:
        """Ratings, skipped ratings and moved sessions are counted."""
        book = evidence_book.EvidenceBuffer('entry-1/boot')
        for rating in (0.25, 0.75):
            evidence_book.rate(book, SUBJECT, rating, min_rating=0.5)
        evidence_book.skip_rating(book, SUBJECT)
        evidence_book.move(book, SUBJECT)
        counts = evidence_book.report(book, (REF,)).counts[0]
        self.assertEqual((counts.rated, counts.rating_sum), (2, 1.0))
        self.assertEqual((counts.low_ratings, counts.unrated), (1, 1))
        self.assertEqual((counts.moved, counts.answers), (1, 0))

    def _answer(
        self, book: evidence_book.EvidenceBuffer, *, failed: bool
    ) -> None:
        evidence_book.start(book, SUBJECT)
        evidence_book.end(book, SUBJECT, evidence_book.Answer(failed=failed))

    def _running(self, book: evidence_book.EvidenceBuffer) -> list[int]:
        report = evidence_book.report(book, ())
        evidence_book.acknowledge(book, report.sequence)
        return [counts.running for counts in report.counts]


if __name__ == '__main__':
    unittest.main()
