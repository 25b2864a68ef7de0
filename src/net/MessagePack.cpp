#include "net/MessagePack.h"

#include <cmath>

namespace jasminestack {

ArrayReader::ArrayReader(const msgpack::object& object)
    : m_items(nullptr)
    , m_size(0)
{
    if (object.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    m_items = object.via.array.ptr;
    m_size = object.via.array.size;
}

const msgpack::object& ArrayReader::take()
{
    if (m_next == m_size)
        throw msgpack::type_error();
    return m_items[m_next++];
}

std::uint64_t ArrayReader::unsignedValue() { return take().as<std::uint64_t>(); }

std::uint32_t ArrayReader::smallValue() { return take().as<std::uint32_t>(); }

std::int64_t ArrayReader::signedValue() { return take().as<std::int64_t>(); }

bool ArrayReader::boolean() { return take().as<bool>(); }

double ArrayReader::number()
{
    auto value = take().as<double>();
    if (!std::isfinite(value))
        throw msgpack::type_error();
    return value;
}

std::string_view ArrayReader::text()
{
    const msgpack::object& item = take();
    if (item.type != msgpack::type::STR)
        throw msgpack::type_error();
    return { item.via.str.ptr, item.via.str.size };
}

ArrayReader ArrayReader::nested() { return ArrayReader(take()); }

void ArrayReader::finish() const
{
    if (!atEnd())
        throw msgpack::type_error();
}

}
