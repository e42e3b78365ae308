"""The state of a connection: nothing is handled after the shutdown, and nothing open is left behind by it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from api_gateway.downstream.connection_state import (
    TRANSITIONS,
    CloseCause,
    ConnectionEvent,
    ConnectionState,
    Input,
    InvalidTransitionError,
    Phase,
)

ORDER = [Phase.OPEN, Phase.CLOSING, Phase.INPUT_ENDED, Phase.SENDING_SHUT, Phase.CLOSED]


def state_in(phase, input=Input.EMPTY):
    state = ConnectionState()
    state.phase, state.input = phase, input
    return state


def may_shut(state, *, pending=False, draining=False, unread=False):
    return state.may_shut_sending(
        has_pending_replies=pending, is_draining=draining, has_unread_bytes=lambda: unread
    )


@pytest.mark.parametrize("phase", [Phase.INPUT_ENDED, Phase.SENDING_SHUT, Phase.CLOSED])
def test_nothing_is_handled_once_input_has_ended_or_sending_is_shut(phase):
    state = state_in(phase)
    for event in (state.on_command, state.on_bytes_read):
        with pytest.raises(InvalidTransitionError) as raised:
            event()
        assert raised.value.phase is phase


def test_an_open_connection_is_not_shut_before_its_close_is_requested():
    with pytest.raises(InvalidTransitionError):
        state_in(Phase.OPEN).handle(ConnectionEvent.SENDING_SHUT)


def test_a_phase_never_goes_back():
    for phase, transitions in TRANSITIONS.items():
        assert all(ORDER.index(target) >= ORDER.index(phase) for target in transitions.values())
    assert set(TRANSITIONS) == set(Phase)


def test_the_first_cause_of_a_close_is_kept():
    state = ConnectionState()
    assert state.begin_close(CloseCause.EVICTION)
    assert not state.begin_close(CloseCause.DRAIN)
    assert state.close_cause is CloseCause.EVICTION


# Guards against a shutdown behind the first of several commands that were read together.
@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("stopped", [False, True])
def test_sending_is_not_shut_while_commands_that_were_read_are_unhandled(draining, stopped):
    for phase in (Phase.OPEN, Phase.CLOSING):
        state = state_in(phase, Input.UNHANDLED)
        state.is_reading_stopped = stopped
        assert not may_shut(state, draining=draining)


@given(
    st.sampled_from([Phase.OPEN, Phase.CLOSING, Phase.INPUT_ENDED]),
    st.sampled_from(Input),
    st.booleans(),
    st.booleans(),
    st.booleans(),
)
@settings(deadline=None, derandomize=True, database=None)
def test_a_pending_reply_always_forbids_the_shutdown(phase, input, stopped, draining, unread):
    state = state_in(phase, input)
    state.is_reading_stopped = stopped
    assert not may_shut(state, pending=True, draining=draining, unread=unread)


class ConnectionModel(RuleBasedStateMachine):
    """A connection with its requests as plain numbers, driven as the shell drives the state.

    `read` are whole commands that were read and are not answered, `has_part` tells whether the beginning of
    one was read. A shutdown with either of them open would lose a request.
    """

    def __init__(self):
        super().__init__()
        self.state = ConnectionState()
        self.unhandled = 0
        self.pending = 0
        self.has_part = False
        self.is_draining = False
        self.has_unread = False
        self.shut_with = None

    @precondition(lambda self: self.state.may_read)
    @rule(count=st.integers(0, 3), part=st.booleans())
    def read(self, count, part):
        self.state.on_bytes_read()
        self.unhandled += count
        self.has_part = part
        self.has_unread = False

    @precondition(lambda self: self.state.may_handle and self.unhandled)
    @rule(at_once=st.booleans())
    def handle_command(self, at_once):
        self.state.on_command()
        self.unhandled -= 1
        self.pending += not at_once
        self.shut_if_done()

    @precondition(lambda self: self.state.may_handle and not self.unhandled)
    @rule()
    def finish_handling(self):
        if self.state.input is Input.UNHANDLED:
            self.state.on_commands_handled(is_partial=self.has_part)
        if self.has_part and self.state.is_reading_stopped:
            self.fail_input()
        self.shut_if_done()

    @precondition(lambda self: self.pending)
    @rule()
    def answer(self):
        self.pending -= 1
        self.shut_if_done()

    @rule(cause=st.sampled_from([CloseCause.CONNECTION_LIMIT, CloseCause.LOWERED_LIMIT]))
    def request_close(self, cause):
        self.state.begin_close(cause)
        self.shut_if_done()

    @precondition(lambda self: self.state.is_at_rest(has_pending_replies=bool(self.pending)))
    @rule()
    def evict(self):
        assert not self.pending and not self.unhandled and not self.has_part
        self.state.begin_close(CloseCause.EVICTION)
        self.shut_if_done()

    @rule(on=st.booleans())
    def drain(self, on):
        self.is_draining = on
        self.state.is_reading_stopped = False
        self.shut_if_done()

    @precondition(lambda self: self.state.has_only_a_part(has_pending_replies=bool(self.pending)))
    @rule()
    def evict_with_a_rejection(self):
        assert self.has_part and not self.unhandled
        self.fail_input()
        self.shut_if_done()

    @precondition(lambda self: self.is_draining)
    @rule()
    def stop_reading(self):
        self.state.is_reading_stopped = True
        self.shut_if_done()

    @precondition(lambda self: self.state.may_handle and not self.unhandled)
    @rule()
    def fail_input(self):
        self.state.begin_close(CloseCause.ERROR)
        self.state.handle(ConnectionEvent.INPUT_FAILED)
        self.has_part = False  # the error line answers it
        self.pending += 1

    @rule()
    def receive(self):
        self.has_unread = True

    def shut_if_done(self):
        if self.state.may_shut_sending(
            has_pending_replies=bool(self.pending),
            is_draining=self.is_draining,
            has_unread_bytes=lambda: self.has_unread,
        ):
            self.state.begin_close(CloseCause.DRAIN)
            self.state.handle(ConnectionEvent.SENDING_SHUT)
            self.shut_with = (self.unhandled, self.pending, self.has_part)

    @invariant()
    def nothing_open_is_left_behind(self):
        assert self.shut_with in (None, (0, 0, False))
        assert not (self.state.is_sending_shut and self.state.may_handle)


TestConnectionModel = ConnectionModel.TestCase
TestConnectionModel.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True, database=None
)
