"""Weights and limits of planning."""

import attrs

from .features import NO_FEATURES, Features
from .ordering import order_key
from .shares import rank_by_share


@attrs.frozen(kw_only=True)
class PlanRules:
    """Weights and limits of planning; experiments compare other values with them."""

    # Returns the sort key of a waiting unit; see `ordering.order_key`.
    order: object = order_key
    # Ranks organisations with weights by their usage divided by their fair share.
    share_rank: object = rank_by_share
    # Fraction of the expected run time that a task waits for a worker in its preferred
    # rack, since elsewhere it takes `remote_factor` times as long.
    near_wait_factor: float = 1.0
    # Longest such wait of guaranteed work; must stay below its start deadline.
    guaranteed_near_wait_seconds: float = 1.5
    # Longest time that guaranteed work waits for running work to end; must leave time
    # to stop other work before its start deadline.
    guaranteed_room_wait_seconds: float = 1.2
    # Gangs with a reservation at a time; each reservation keeps other work waiting.
    reservations_count: int = 2
    # Limit of the work lost by stopping runs for urgent work beyond its guarantee, or
    # for a unit that starves, as a fraction of the work of the unit that needs the
    # room.
    borrowed_loss_factor: float = 1.0
    # Lost work, as a fraction of the work of an urgent unit, up to which other runs are
    # stopped for the unit without first waiting for running work to end.
    cheap_loss_factor: float = 0.1
    # Fractions of the accelerators that work without urgency may occupy: while it can
    # still wait, and when it cannot. The rest stays free for urgent work, which comes
    # in bursts and is worth several times as much for its size.
    patient_share: float = 0.65
    hurried_share: float = 0.85
    # Work whose slack is below this fraction of its expected run time cannot wait.
    hurry_factor: float = 1.0
    # Time after which a job of which nothing runs is no longer held back for the sake
    # of others, and the fraction of its service's capacity that may be in use then. The
    # users' limit is 3 s, in which the plan has to be stored and the start ordered.
    starvation_seconds: float = 2.0
    idle_share: float = 0.5
    # Time without a new job after which no capacity is kept for jobs to come.
    arrival_pause_seconds: float = 5.0
    # Whether other work is stopped for urgent work. Must be off for orders that ignore
    # urgency: the freed room would go to older work and be reclaimed again endlessly.
    is_reclaiming: bool = True
    # Optional parts that are on.
    features: Features = NO_FEATURES


DEFAULT_RULES = PlanRules()
