"""The RPC wire format: msgspec structs encoded as MessagePack.

grpclib accepts any codec.  With msgspec the message classes are the schema, so
no code has to be generated.
"""

import functools

from grpclib.encoding import base
import msgspec


@functools.cache
def _get_decoder(message_type):
    return msgspec.msgpack.Decoder(message_type)


class MsgpackCodec(base.CodecBase):
    """Encodes structs as MessagePack, and validates types when decoding."""

    __content_subtype__ = 'msgpack'

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message, message_type):
        return self._encoder.encode(message)

    def decode(self, data, message_type):
        return _get_decoder(message_type).decode(data)
