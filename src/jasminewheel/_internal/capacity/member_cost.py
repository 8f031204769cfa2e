"""Compute the costs of members between two samples."""

from collections.abc import Mapping
from statistics import fmean

from attrs import frozen

from jasminewheel._internal.capacity.member_process import MemberSample


@frozen
class Cost:
    """Represent the mean cost per member; rates are per second."""

    messages_per_second: float
    byte_rate: float
    processor_share: float
    resident_bytes: float


def mean_cost(
    earlier: Mapping[str, MemberSample],
    later: Mapping[str, MemberSample],
) -> Cost:
    """Return the mean cost per member between two samples."""
    costs = [cost_between(earlier[name], later[name]) for name in earlier]
    return Cost(
        fmean(cost.messages_per_second for cost in costs),
        fmean(cost.byte_rate for cost in costs),
        fmean(cost.processor_share for cost in costs),
        fmean(cost.resident_bytes for cost in costs),
    )


def cost_between(earlier: MemberSample, later: MemberSample) -> Cost:
    """Return the cost of one member between two samples."""
    seconds = later.at - earlier.at
    frames = later.traffic.frames_sent - earlier.traffic.frames_sent
    processor_seconds = later.processor_seconds - earlier.processor_seconds
    byte_count = total_bytes(later) - total_bytes(earlier)
    return Cost(
        frames / seconds,
        byte_count / seconds,
        processor_seconds / seconds,
        later.resident_bytes,
    )


def total_bytes(sample: MemberSample) -> int:
    """Return the bytes of all frames sent and received."""
    return sample.traffic.bytes_sent + sample.traffic.bytes_received
