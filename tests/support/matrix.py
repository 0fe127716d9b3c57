"""The rows and columns of the fault matrix."""

from enum import Enum


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
