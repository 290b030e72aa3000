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
    """A retry needs a right, time and budget."""

    def test_denials(self) -> None:
        """A hold broken after its first byte ends as unknown.

        The server may have taken the slot although its answer was lost. A
        second try would hold a second slot for the same guest, so only a
        failure that proves the request did not run allows one.
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
                    self.assertIsInstance(decision, retry.Again)
                else:
                    self.assertIs(decision, denial)

    def test_outage(self) -> None:
        """An outage of a pool does not become a retry storm.

        Every one of a thousand requests fails and asks for a retry. Without
        a budget the pool would get two to three thousand attempts just as it
        comes back. A budget that failed tries fill would still give it 1100.
        """
        state = retry.RetryState()
        self.assertEqual(_granted(state, 1000, fails_each=1), 2)

    def test_crashed(self) -> None:
        """A lost server's requests are tried again, whatever the budget.

        Dozens of innocent requests ran on a server that one of them crashed.
        On the budget for single failures all but two would get no answer.
        The number of their attempts stays bounded.
        """
        state = retry.RetryState()
        _granted(state, 100, fails_each=1)
        for number, granted in ((1, True), (5, True), (6, False)):
            lost = ATTEMPT._replace(number=number, crashed=True)
            decision = retry.may_retry(state, lost, 0, 0.5)
            self.assertEqual(isinstance(decision, retry.Again), granted)
        self.assertIs(
            retry.may_retry(state, ATTEMPT, 0, 0.5), retry.Denial.BUDGET
        )

    def test_single_failures(self) -> None:
        """While one try in twenty fails, each of them is tried again."""
        state = retry.RetryState()
        self.assertEqual(_granted(state, 1000, fails_each=20), 50)

    def test_burst_after_quiet(self) -> None:
        """A long quiet time does not save up a burst of retries."""
        state = retry.RetryState()
        _granted(state, 1000, fails_each=1001)
        granted = _granted(state, 100, fails_each=1)
        self.assertLessEqual(granted, retry.MOST_TOKENS)


def _granted(state: retry.RetryState, tries: int, fails_each: int) -> int:
    """Count the retries granted when each so-manieth try fails."""
    granted = 0
    for number in range(1, tries + 1):
        retry.first_try(state, 'engines')
        if number % fails_each == 0:
            decision = retry.may_retry(state, ATTEMPT, 0, 0.5)
            granted += isinstance(decision, retry.Again)
    return granted


if __name__ == '__main__':
    unittest.main()
