"""Identifier and unit types used throughout the package."""

from typing import NewType

ServiceName = NewType('ServiceName', str)
TargetName = NewType('TargetName', str)
CustomerName = NewType('CustomerName', str)
ClassName = NewType('ClassName', str)
RangeName = NewType('RangeName', str)
DataCentre = NewType('DataCentre', str)
Region = NewType('Region', str)
DaemonName = NewType('DaemonName', str)

RequestId = NewType('RequestId', str)
TicketId = NewType('TicketId', str)
ChangeId = NewType('ChangeId', str)

# A daemon chooses a new incarnation at each start; a higher one is newer.
Incarnation = NewType('Incarnation', int)
# The fencing token of a lease manager; a higher one is newer.
Term = NewType('Term', int)
# Orders the grants of one term; a higher one is newer.
Sequence = NewType('Sequence', int)
# The version of a published configuration or of an assignment.
Version = NewType('Version', int)
# The hash of a key, from 0 to HASH_SPACE - 1.
KeyHash = NewType('KeyHash', int)

# A duration or a boot-time clock reading, in seconds.
Seconds = NewType('Seconds', float)

# Identifies a target, not its process: a restarted target may reuse it.
TargetId = NewType('TargetId', str)
# A numeric request key, from 0 to MAX_SHARD_KEY.
ShardKey = NewType('ShardKey', int)
# Orders the grants of a shard key; a higher one is newer.
FencingToken = NewType('FencingToken', int)
RouteName = NewType('RouteName', str)
AttemptId = NewType('AttemptId', str)
