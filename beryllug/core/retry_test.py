"""Tests of retries and their budgets."""

import unittest

from beryllug.core import retry

ATTEMPT = retry.Attempt(
    pool='engines',
    failure=retry.Failure.BROKEN,
    number=1,
    repeatable=True,
    answer_begun=False,
    needs_s=1,
    complete_by=100,
)


class RetryTest(unittest.TestCase):
    """A retry must be permitted and needs time and budget."""

    def test_denials(self) -> None:
        """A hold whose connection broke once it was sent is not retried.

        The server may have reserved the slot although its answer was lost. A
        second attempt would hold a second slot for the same guest, so only a
        failure that proves that the request did not run permits one.
        """
        not_sent = retry.Failure.NOT_SENT
        declined = retry.Failure.DECLINED
        cases = (
            (ATTEMPT, None),
            (ATTEMPT._replace(repeatable=False), retry.Denial.MAY_HAVE_RUN),
            (
                ATTEMPT._replace(
                    repeatable=False, failure=retry.Failure.TIMED_OUT
                ),
                retry.Denial.MAY_HAVE_RUN,
            ),
            (ATTEMPT._replace(repeatable=False, failure=not_sent), None),
            (ATTEMPT._replace(repeatable=False, failure=declined), None),
            (ATTEMPT._replace(answer_begun=True), retry.Denial.ANSWER_BEGUN),
            (ATTEMPT._replace(number=3), retry.Denial.ATTEMPTS),
            (ATTEMPT._replace(complete_by=0.5), retry.Denial.TIME),
        )
        for attempt, denial in cases:
            with self.subTest(attempt=attempt):
                state = retry.RetryState()
                decision = retry.may_retry(state, attempt, 0, 0.5)
                if denial is None:
                    self.assertIsInstance(decision, retry.RetryAfter)
                else:
                    self.assertIs(decision, denial)

    def test_outage(self) -> None:
        """An outage of a pool does not cause a retry storm.

        Each of a thousand requests fails and asks for a retry. Without a
        budget the pool would get two to three thousand attempts just as it
        recovers; with one to which failed attempts add, still 1100.
        """
        state = retry.RetryState()
        self.assertEqual(_granted(state, 1000, failure_interval=1), 2)

    def test_crashed(self) -> None:
        """Requests of a lost server are retried regardless of the budget.

        Dozens of harmless requests ran on a server that one request crashed.
        With the budget for single failures all but two of them would get no
        answer. The number of their attempts remains bounded.
        """
        state = retry.RetryState()
        _granted(state, 100, failure_interval=1)
        for number, granted in ((1, True), (5, True), (6, False)):
            lost = ATTEMPT._replace(number=number, crashed=True)
            decision = retry.may_retry(state, lost, 0, 0.5)
            self.assertEqual(isinstance(decision, retry.RetryAfter), granted)
        self.assertIs(
            retry.may_retry(state, ATTEMPT, 0, 0.5), retry.Denial.BUDGET
        )

    def test_single_failures(self) -> None:
        """While one attempt in twenty fails, each of them is retried."""
        state = retry.RetryState()
        self.assertEqual(_granted(state, 1000, failure_interval=20), 50)

    def test_burst_after_quiet(self) -> None:
        """Many successful attempts do not permit a burst of retries."""
        state = retry.RetryState()
        _granted(state, 1000, failure_interval=1001)
        granted = _granted(state, 100, failure_interval=1)
        self.assertLessEqual(granted, retry.MOST_TOKENS)


def _granted(state: retry.RetryState, tries: int, failure_interval: int) -> int:
    """Count the retries granted when every n-th first attempt fails."""
    granted = 0
    for number in range(1, tries + 1):
        retry.record_first_attempt(state, 'engines')
        if number % failure_interval == 0:
            decision = retry.may_retry(state, ATTEMPT, 0, 0.5)
            granted += isinstance(decision, retry.RetryAfter)
    return granted


if __name__ == '__main__':
    unittest.main()
