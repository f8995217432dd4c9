"""How many start orders may be under way at once.

Designed for a scheduler whose processor cannot keep up with its orders, such as one
with a tenth of a core and a burst of wide gangs. An order that is not sent soon after
its claim is dropped, which ends the gang of its task; claims beyond what can be sent
in time would be made again and again, and less and less would be started.
"""

import attrs

# Time within which the orders of all claims should have been sent; a part of
# `sessions.ORDER_AGE_LIMIT_SECONDS`, since orders do not settle at an even rate.
WINDOW_SECONDS = 0.7
# Time for one order until it has been measured.
FIRST_ORDER_SECONDS = 0.002
# Longest time between two orders that counts; the rest is waiting for a worker.
LONGEST_ORDER_SECONDS = 0.1
# Weight of the newest order in the smoothed time for one order.
SMOOTHING_WEIGHT = 0.1


@attrs.define(kw_only=True, eq=False)
class OrderWindow:
    """Orders under way, and the time that this process takes for each.

    ``pending_count`` is the number of orders that are queued or under way.
    """

    pending_count: int = 0
    order_seconds: float = FIRST_ORDER_SECONDS
    _counted_from_seconds: float = attrs.field(default=0.0, init=False)

    def has_room(self, orders_count, *, claimed_count=0):
        """Return whether so many more orders may be queued.

        ``claimed_count`` are orders that will be queued before them. A gang is never
        split, so that any number may be queued if there are no others.
        """
        others_count = self.pending_count + claimed_count
        total_seconds = (others_count + orders_count) * self.order_seconds
        return not others_count or total_seconds <= WINDOW_SECONDS

    def note_queued(self, now_seconds):
        """Record that an order was queued."""
        if not self.pending_count:
            self._counted_from_seconds = now_seconds
        self.pending_count += 1

    def note_settled(self, now_seconds, *, is_sent):
        """Record that a queued order was answered, dropped or left unanswered.

        ``is_sent`` tells that a worker answered it.
        """
        self.pending_count -= 1
        seconds = now_seconds - self._counted_from_seconds
        self._counted_from_seconds = now_seconds
        if is_sent:
            seconds = min(seconds, LONGEST_ORDER_SECONDS)
            self.order_seconds += SMOOTHING_WEIGHT * (seconds - self.order_seconds)
