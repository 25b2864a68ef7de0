#include "net/MessagePack.h"

#include <cmath>

namespace jasminestack {

MsgpackArrayReader::MsgpackArrayReader(const msgpack::object& object)
    : m_elements(nullptr)
    , m_size(0)
{
    if (object.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    m_elements = object.via.array.ptr;
    m_size = object.via.array.size;
}

const msgpack::object& MsgpackArrayReader::nextElement()
{
    if (m_nextIndex == m_size)
        throw msgpack::type_error();
    return m_elements[m_nextIndex++];
}

std::uint64_t MsgpackArrayReader::readUnsigned() { return nextElement().as<std::uint64_t>(); }

std::uint32_t MsgpackArrayReader::readUnsigned32() { return nextElement().as<std::uint32_t>(); }

std::int64_t MsgpackArrayReader::readSigned() { return nextElement().as<std::int64_t>(); }

bool MsgpackArrayReader::readBoolean() { return nextElement().as<bool>(); }

double MsgpackArrayReader::readDouble()
{
    auto value = nextElement().as<double>();
    if (!std::isfinite(value))
        throw msgpack::type_error();
    return value;
}

std::string_view MsgpackArrayReader::readText()
{
    const msgpack::object& element = nextElement();
    if (element.type != msgpack::type::STR)
        throw msgpack::type_error();
    return { element.via.str.ptr, element.via.str.size };
}

MsgpackArrayReader MsgpackArrayReader::readArray() { return MsgpackArrayReader(nextElement()); }

void MsgpackArrayReader::requireEnd() const
{
    if (!atEnd())
        throw msgpack::type_error();
}

}
