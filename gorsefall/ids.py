"""Typed identifiers used across gorsefall."""

import typing

RequestId = typing.NewType('RequestId', str)
CustomerId = typing.NewType('CustomerId', str)
ClassName = typing.NewType('ClassName', str)
ReplicaName = typing.NewType('ReplicaName', str)
ZoneName = typing.NewType('ZoneName', str)
Offset = typing.NewType('Offset', int)
Fence = typing.NewType('Fence', int)
