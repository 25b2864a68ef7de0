#include "net/MessagePack.h"

#include <cmath>

namespace jasminestack {

MsgpackArrayReader::MsgpackArrayReader(const msgpack::object& object)
    : m_items(nullptr)
    , m_size(0)
{
    if (object.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    m_items = object.via.array.ptr;
    m_size = object.via.array.size;
}

const msgpack::object& MsgpackArrayReader::take()
{
    if (m_next == m_size)
        throw msgpack::type_error();
    return m_items[m_next++];
}

std::uint64_t MsgpackArrayReader::readUnsigned() { return take().as<std::uint64_t>(); }

std::uint32_t MsgpackArrayReader::readUnsigned32() { return take().as<std::uint32_t>(); }

std::int64_t MsgpackArrayReader::readSigned() { return take().as<std::int64_t>(); }

bool MsgpackArrayReader::readBoolean() { return take().as<bool>(); }

double MsgpackArrayReader::readDouble()
{
    auto value = take().as<double>();
    if (!std::isfinite(value))
        throw msgpack::type_error();
    return value;
}

std::string_view MsgpackArrayReader::readText()
{
    const msgpack::object& item = take();
    if (item.type != msgpack::type::STR)
        throw msgpack::type_error();
    return { item.via.str.ptr, item.via.str.size };
}

MsgpackArrayReader MsgpackArrayReader::readArray() { return MsgpackArrayReader(take()); }

void MsgpackArrayReader::requireEnd() const
{
    if (!atEnd())
        throw msgpack::type_error();
}

}
