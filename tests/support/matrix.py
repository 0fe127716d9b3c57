"""The rows and columns of the fault matrix."""

from enum import Enum
from types import MappingProxyType

# Names the environment variable that names the file for proved cells.
CELLS_FILE = 'LABURNUMYARD_CELLS'


class Step(Enum):
    """A step of the product's work that a fault may hit."""

    ISSUE_TICKET = 'issue-ticket'
    ADMIT = 'admit'
    QUEUE = 'queue'
    SEND = 'send'
    ANSWER = 'answer'
    CANCEL = 'cancel'
    RETRY = 'retry'
    RENEW = 'renew'
    MOVE = 'move'
    SEAL = 'seal'
    PUBLISH = 'publish'
    DISSEMINATE = 'disseminate'
    TAKE_OVER = 'take-over'
    JOIN = 'join'
    LEAVE = 'leave'
    DRAIN = 'drain'


class Fault(Enum):
    """A fault of the brief."""

    CUT = 'cut'
    ONE_WAY_CUT = 'one-way-cut'
    PAUSE = 'pause'
    KILL = 'kill'
    TARGET_FREEZE = 'target-freeze'
    STORE_DOWN = 'store-down'
    STORE_SLOW = 'store-slow'
    WRITE_ANSWER_LOST = 'write-answer-lost'
    LEASE_LAPSED = 'lease-lapsed'
    RACING_OPERATORS = 'racing-operators'
    POISON_REQUEST = 'poison-request'
    SILENT_CONNECTION = 'silent-connection'


_NO_STORE = 'the step makes no call to the store'
_NO_OPERATOR = 'operators do not take part in the step'
_NO_WRITE = 'the step writes nothing to the store'
_NO_LEASE = 'a publication is one compare-and-swap; no lease takes part'
_NO_TARGET = 'the step does not reach a target'

NOT_POSSIBLE = MappingProxyType(
    {
        **{
            (step, fault): reason
            for step in (
                Step.ISSUE_TICKET,
                Step.ADMIT,
                Step.QUEUE,
                Step.SEND,
                Step.ANSWER,
                Step.CANCEL,
                Step.RETRY,
            )
            for fault, reason in (
                (Fault.STORE_SLOW, _NO_STORE),
                (Fault.WRITE_ANSWER_LOST, _NO_WRITE),
                (Fault.RACING_OPERATORS, _NO_OPERATOR),
            )
        },
        (Step.RENEW, Fault.RACING_OPERATORS): _NO_OPERATOR,
        (Step.RENEW, Fault.WRITE_ANSWER_LOST): _NO_WRITE,
        (Step.SEAL, Fault.RACING_OPERATORS): _NO_OPERATOR,
        (Step.SEAL, Fault.POISON_REQUEST): 'a seal carries no request',
        (Step.RENEW, Fault.POISON_REQUEST): 'a renewal carries no request',
        (Step.TAKE_OVER, Fault.POISON_REQUEST): 'no request takes part',
        (Step.PUBLISH, Fault.POISON_REQUEST): 'no request takes part',
        (Step.PUBLISH, Fault.LEASE_LAPSED): _NO_LEASE,
        (Step.PUBLISH, Fault.TARGET_FREEZE): _NO_TARGET,
        (Step.DISSEMINATE, Fault.POISON_REQUEST): 'no request takes part',
        (Step.DISSEMINATE, Fault.TARGET_FREEZE): _NO_TARGET,
    }
)
