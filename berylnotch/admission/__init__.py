"""Admission control: fair queueing between organisations, and load shedding."""

from __future__ import annotations

from berylnotch.admission.errors import AdmissionError
from berylnotch.admission.queue import FairQueue
from berylnotch.admission.settings import AdmissionSettings
from berylnotch.admission.ticket import Fit, Refusal, RefusalReason, Ticket

__all__ = [
    "AdmissionError",
    "AdmissionSettings",
    "FairQueue",
    "Fit",
    "Refusal",
    "RefusalReason",
    "Ticket",
]
