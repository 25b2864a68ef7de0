#pragma once

#include "core/Messages.h"
#include "net/MessagePack.h"

/// \file
/// \brief msgpack form of each payload. Only PeerCodec's implementation includes this header.

namespace jasminestack {

void packPayload(msgpack::packer<MsgpackBuffer>&, const PeerPayload&);

/// \brief Throws msgpack::type_error if the payload has another form than \p type says.
[[nodiscard]] PeerPayload unpackPayload(std::uint64_t type, MsgpackArrayReader);

}
