"""The chance that the answer of a cascade's stage is good.

Joins the learnt distribution of true ratings at the stage's place with the
ratings that an answer has had, read as far as the rating service can be relied
on.
"""

from beryllug.core import cascade_data, rating_health, rating_model

Question = cascade_data.Question


def place_of(
    question: Question, stage: int, escalated: bool
) -> rating_model.Place:
    """Return the place of a stage's answer, where ratings are alike."""
    return rating_model.Place(
        question.offers[stage].model,
        escalated,
        question.kind,
        question.account_id,
        last=stage == len(question.offers) - 1,
    )


def reading(
    state: cascade_data.CascadeState, question: Question
) -> rating_model.Reading:
    """Return how ratings are read now for a question's cascade."""
    return rating_model.Reading(
        rating_health.noise(state.judge), question.cascade.min_rating
    )


def after_rating(
    state: cascade_data.CascadeState,
    question: Question,
    place: rating_model.Place,
    answer: cascade_data.Answer,
) -> rating_model.Belief:
    """Return what is believed of one answer, its ratings known."""
    known = rating_model.belief(state, place)
    if answer.rating is None:
        return known
    corrected = rating_health.corrected(state.judge, place.model, answer.rating)
    noise = rating_health.noise(state.judge) / answer.ratings
    return rating_model.after_rating(known, corrected, noise)


def of_answer(
    state: cascade_data.CascadeState,
    question: Question,
    place: rating_model.Place,
    answer: cascade_data.Answer,
) -> float:
    """Return the chance that an answer is good, by its ratings if any."""
    known = after_rating(state, question, place, answer)
    return rating_model.chance(known, reading(state, question))


def of_last(state: cascade_data.CascadeState, question: Question) -> float:
    """Return the chance of the last stage after an earlier one failed."""
    last = len(question.offers) - 1
    place = place_of(question, last, escalated=True)
    return of_answer(state, question, place, cascade_data.Answer(last, None))
