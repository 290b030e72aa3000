"""The services that the flows of calls use together."""

from typing import NamedTuple

from beryllug.drivers import engine, http_client
from beryllug.entry import (
    admission,
    answers,
    attempts,
    bills,
    control_link,
    crashes,
    exposure,
    routing,
    sessions,
)


class Parts(NamedTuple):
    """The services that a flow of calls needs."""

    link: control_link.ControlLink
    routing: routing.Routing
    admission: admission.Admission
    attempts: attempts.Attempts
    bills: bills.Bills
    answers: answers.Answers
    sessions: sessions.Sessions
    crashes: crashes.Crashes
    exposure: exposure.Exposure
    client: http_client.HttpClient
    engine: engine.Engine
