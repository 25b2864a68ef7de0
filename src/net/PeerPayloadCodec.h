#pragma once

#include "core/Messages.h"
#include "net/MessagePack.h"

/// \file
/// \brief msgpack form of each payload. Only PeerCodec's implementation includes this header.

namespace jasminestack {

void packPayload(msgpack::packer<MsgpackBuffer>&, const PeerPayload&);

/// \brief Reads a payload.
/// \param type Index of the payload's type in PeerPayload.
/// \throws msgpack::type_error if the payload does not have the form of \p type.
[[nodiscard]] PeerPayload unpackPayload(std::uint64_t type, MsgpackArrayReader);

}
