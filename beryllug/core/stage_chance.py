"""The probability that the answer of a cascade's stage is good.

Combines the learnt distribution of the stage's true ratings with the ratings
of the answer, corrected for the measured bias and noise of the rating service.
"""

from beryllug.core import cascade_data, rating_health, rating_model

CascadeRequest = cascade_data.CascadeRequest


def rating_key(
    question: CascadeRequest, stage: int, escalated: bool
) -> rating_model.RatingKey:
    """Return the attributes that select the distribution of a stage."""
    return rating_model.RatingKey(
        question.offers[stage].model,
        escalated,
        question.kind,
        question.account_id,
        last=stage == len(question.offers) - 1,
    )


def reading(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> rating_model.RatingParameters:
    """Return the current rating noise and the cascade's minimum rating."""
    return rating_model.RatingParameters(
        rating_health.noise(state.judge), question.cascade.min_rating
    )


def after_rating(
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    place: rating_model.RatingKey,
    answer: cascade_data.Answer,
) -> rating_model.Belief:
    """Return the estimate for one answer, given its ratings."""
    known = rating_model.belief(state, place)
    if answer.rating is None:
        return known
    corrected = rating_health.corrected(state.judge, place.model, answer.rating)
    noise = rating_health.noise(state.judge) / answer.ratings
    return rating_model.after_rating(known, corrected, noise)


def of_answer(
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    place: rating_model.RatingKey,
    answer: cascade_data.Answer,
) -> float:
    """Return the probability that an answer is good, given any ratings."""
    known = after_rating(state, question, place, answer)
    return rating_model.chance(known, reading(state, question))


def of_last(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> float:
    """Return the probability for the last stage after an escalation."""
    last = len(question.offers) - 1
    place = rating_key(question, last, escalated=True)
    return of_answer(state, question, place, cascade_data.Answer(last, None))
