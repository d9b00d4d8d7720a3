"""Types of identifiers used across gorsefall."""

import typing

RequestId = typing.NewType('RequestId', str)
CustomerId = typing.NewType('CustomerId', str)
ReplicaName = typing.NewType('ReplicaName', str)
ZoneName = typing.NewType('ZoneName', str)
Fence = typing.NewType('Fence', int)
ServiceName = typing.NewType('ServiceName', str)
RequestDigest = typing.NewType('RequestDigest', bytes)
PartDigest = typing.NewType('PartDigest', bytes)
AccountName = typing.NewType('AccountName', str)
SoftwareVersion = typing.NewType('SoftwareVersion', str)
StreamDigest = typing.NewType('StreamDigest', bytes)
Era = typing.NewType('Era', int)

NO_ERA = Era(0)
"""Era of a store that names none: all of its offsets belong to one history."""
