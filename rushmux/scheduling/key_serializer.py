"""Runs the operations of one key one at a time, in order of arrival."""

from collections import deque

from rushmux.scheduling.interface import MAY_STILL_RUN
from rushmux.scheduling.records import Stage


class KeySerializer(Stage):
    """The first stage, for operations of ordered classes with a key."""

    def __init__(self, scheduler):
        super().__init__(scheduler)
        self.queues = {}  # key -> operations in order of arrival
        self.cooldowns = {}  # key -> end of its cooldown, oldest first

    def accept(self, operation, now):
        """Returns whether it is the first of its key, without a cooldown."""
        if not (operation.request_class.ordered and operation.key):
            return True
        queue = self.queues.setdefault(operation.key, deque())
        if operation not in queue:
            queue.append(operation)
        is_first, cooldown_until = queue[0] is operation, self.cooldowns.get(operation.key, 0)
        may_start = operation.attempts_started > 0 or cooldown_until <= now  # retries need not wait
        if is_first and not may_start:
            self.scheduler.schedule_check(cooldown_until, operation)
        return is_first and may_start

    def on_result(self, operation, attempt, node, result, now):
        """Starts a cooldown if the attempt may still run, and the next operation if this one ended."""
        if result in MAY_STILL_RUN and operation.request_class.ordered:
            self.cooldowns.pop(operation.key, None)
            self.cooldowns[operation.key] = now + self.settings.key_cooldown + 1
            while next(iter(self.cooldowns.values())) <= now:
                del self.cooldowns[next(iter(self.cooldowns))]
        queue = self.queues.get(operation.key, ()) if operation.request_class.ordered else ()
        if operation.ended and not operation.in_flight and operation in queue:
            had_turn = queue[0] is operation
            queue.remove(operation)
            if not queue:
                del self.queues[operation.key]
            elif had_turn:
                self.scheduler.advance(queue[0], now)
