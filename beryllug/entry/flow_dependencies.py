"""The services that the request flows share."""

from typing import NamedTuple

from beryllug.core import cascade_data
from beryllug.drivers import engine, plain_service
from beryllug.entry import (
    admission,
    answers,
    attempts,
    bills,
    control_link,
    crashes,
    exposure,
    outbox,
    ratings,
    routing,
    sessions,
)


class FlowDependencies(NamedTuple):
    """Services of an entry process used by the request flows."""

    link: control_link.ControlLink
    routing: routing.Routing
    admission: admission.Admission
    attempts: attempts.Attempts
    bills: bills.Bills
    outbox: outbox.Outbox
    answers: answers.Answers
    sessions: sessions.Sessions
    crashes: crashes.Crashes
    exposure: exposure.Exposure
    ratings: ratings.Ratings
    cascades: cascade_data.CascadeState
    engine: engine.Engine
    plain: plain_service.PlainService
