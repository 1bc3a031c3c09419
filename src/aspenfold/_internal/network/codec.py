"""Converts between aspenfold's types and protobuf messages."""

import datetime

import orjson

from aspenfold._internal import exceptions
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.kernel import clock
from aspenfold._internal.kernel import frames
from aspenfold._internal.rpc import aspenfold_pb2 as pb


def request_to_pb(request: frames.AttemptRequest) -> pb.ExecuteRequest:
    """Encode the request of an attempt."""
    return pb.ExecuteRequest(
        attempt_id=request.attempt_id,
        incarnation=request.incarnation,
        mode=pb.ExecuteMode.Name(request.mode.value),
        call_id=request.call_id,
        organisation=request.organisation,
        operation=request.operation,
        priority=request.priority,
        body=request.body,
        digest=request.digest,
        repeatable=request.repeatable,
        streamed=request.streamed,
        deadline_unix_ms=clock.to_unix_ms(request.deadline),
        next_item=request.next_item,
        resume_from=request.resume_from,
        join_wait_ms=clock.to_ms(request.join_timeout),
    )


def request_from_pb(message: pb.ExecuteRequest) -> frames.AttemptRequest:
    """Decode the request of an attempt."""
    return frames.AttemptRequest(
        attempt_id=message.attempt_id,
        incarnation=message.incarnation,
        mode=frames.Mode(message.mode),
        call_id=message.call_id,
        organisation=message.organisation,
        operation=message.operation,
        priority=message.priority,
        body=message.body,
        digest=message.digest,
        repeatable=message.repeatable,
        streamed=message.streamed,
        deadline=clock.from_unix_ms(message.deadline_unix_ms),
        next_item=message.next_item,
        resume_from=message.resume_from,
        join_timeout=message.join_wait_ms * clock.MILLISECOND,
    )


def load_to_pb(load: frames.Load) -> pb.Load:
    """Encode an agent's load."""
    return pb.Load(
        running=load.running,
        waiting=load.waiting,
        capacity=load.capacity,
        draining=load.draining,
    )


def load_from_pb(message: pb.Load) -> frames.Load:
    """Decode an agent's load."""
    return frames.Load(
        running=message.running,
        waiting=message.waiting,
        capacity=message.capacity,
        draining=message.draining,
    )


def frame_to_pb(frame: frames.Frame) -> pb.Frame:
    """Encode a frame of an answer stream."""
    message = pb.Frame(
        attempt_id=frame.attempt_id, load=load_to_pb(frame.load)
    )
    match frame.body:
        case frames.Head(status=status, content_type=content_type):
            message.head.status = status
            message.head.content_type = content_type
        case frames.Items(first=first, items=items):
            message.items.first = first
            message.items.items.extend(items)
        case frames.End(total=total, digest=digest):
            message.end.total = total
            message.end.digest = digest
        case frames.Failed(failure=failure):
            message.refused.code = int(failure.code)
            message.refused.detail = failure.detail
            if failure.retry_after is not None:
                wait = clock.to_ms(failure.retry_after)
                message.refused.retry_after_ms = wait
    return message


def frame_from_pb(message: pb.Frame) -> frames.Frame:
    """Decode a frame of an answer stream."""
    return frames.Frame(
        attempt_id=message.attempt_id,
        load=load_from_pb(message.load),
        body=_body_from_pb(message),
    )


def _body_from_pb(message: pb.Frame) -> frames.Body:
    kind = message.WhichOneof('kind')
    if kind == 'head':
        return frames.Head(
            status=message.head.status,
            content_type=message.head.content_type,
        )
    if kind == 'items':
        return frames.Items(
            first=message.items.first, items=tuple(message.items.items)
        )
    if kind == 'end':
        return frames.End(total=message.end.total, digest=message.end.digest)
    refused = message.refused
    wait: datetime.timedelta | None = None
    if refused.retry_after_ms:
        wait = refused.retry_after_ms * clock.MILLISECOND
    return frames.Failed(
        failure=exceptions.Failure(
            code=exceptions.Code(refused.code),
            detail=refused.detail,
            retry_after=wait,
        )
    )


def group_to_pb(message: messages.Message) -> pb.GroupMessage:
    """Encode a message of the expert map protocol."""
    return pb.GroupMessage(
        group=message.group,
        sender=message.sender,
        target=message.target,
        kind=message.kind.value,
        ballot=message.ballot,
        incarnation=message.incarnation,
        version=message.version,
        runs=[
            pb.Run(first=r.first, last=r.last, version=r.version)
            for r in message.runs
        ],
        prepared=message.prepared,
        granted_to=message.last_granted_step,
        step=message.step,
        placement=placement_to_bytes(message.placement),
    )


def group_from_pb(message: pb.GroupMessage) -> messages.Message:
    """Decode a message of the expert map protocol."""
    return messages.Message(
        group=message.group,
        sender=message.sender,
        target=message.target,
        kind=messages.Kind(message.kind),
        ballot=message.ballot,
        incarnation=message.incarnation,
        version=message.version,
        runs=tuple(
            messages.StepRun(first=r.first, last=r.last, version=r.version)
            for r in message.runs
        ),
        prepared=tuple(message.prepared),
        last_granted_step=message.granted_to,
        step=message.step,
        placement=placement_from_bytes(message.placement),
    )


def placement_to_bytes(placement: tuple[tuple[int, ...], ...]) -> bytes:
    """Encode each rank's experts; an empty placement as empty bytes."""
    return orjson.dumps(placement) if placement else b''


def placement_from_bytes(data: bytes) -> tuple[tuple[int, ...], ...]:
    """Decode each rank's experts; empty bytes as an empty placement."""
    if not data:
        return ()
    return tuple(tuple(experts) for experts in orjson.loads(data))
