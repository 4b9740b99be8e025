from __future__ import annotations

import math

import pytest

from lycheelug.admission import QUEUES, QueueSettings, RequestClass, Ticket

URGENT = RequestClass.URGENT
SHORT = RequestClass.SHORT
LONG = RequestClass.LONG


def make_ticket(
    number: int,
    kind: RequestClass = SHORT,
    deadline: float = math.inf,
    tenant: str = "shop",
    at: float = 0.0,
) -> Ticket:
    return Ticket(number, "quotes", tenant, kind, at, deadline)


@pytest.mark.parametrize(
    ("offered", "taken"),
    [
        pytest.param(
            [(1, SHORT, 9.0), (2, SHORT, 4.0)], [2, 1], id="by-deadline"
        ),
        pytest.param(
            [
                (1, LONG, math.inf),
                (2, LONG, math.inf),
                (3, SHORT, 9.0),
                (4, URGENT, 9.0),
            ],
            [1, 4, 3, 2],
            id="by-class-after-the-share-of-long",
        ),
    ],
)
def test_order_of_deadline_queue(
    offered: list[tuple[int, RequestClass, float]], taken: list[int]
) -> None:
    queue = QUEUES.get("deadline")("quotes", QueueSettings())
    for number, kind, deadline in offered:
        assert queue.offer(make_ticket(number, kind, deadline), 0.0, 8) is None
    order = []
    while (ticket := queue.take(0.1)) is not None:
        queue.on_started(ticket, 0.1)
        order.append(ticket.ticket_id)
    assert order == taken
    assert len(queue) == 0
