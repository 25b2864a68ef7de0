#include "net/MessagePack.h"

#include <cmath>

namespace jasminestack {

namespace {

    constexpr unsigned maxNestingDepth = 8;

    // Checks the lengths that a message announces, without allocating anything for them.
    class AnnouncedSizeVisitor : public msgpack::null_visitor {
    public:
        explicit AnnouncedSizeVisitor(std::size_t messageBytes)
            : m_remainingElements(messageBytes)
        {
        }

        bool start_array(std::uint32_t size)
        {
            if (m_depth == maxNestingDepth)
                throw msgpack::depth_size_overflow("the message is nested too deeply");
            if (size >= m_remainingElements)
                throw msgpack::array_size_overflow("the message announces more elements than it has bytes");
            m_remainingElements -= size;
            ++m_depth;
            return true;
        }

        bool end_array()
        {
            --m_depth;
            return true;
        }

        // No message has maps.
        bool start_map(std::uint32_t) { throw msgpack::type_error(); }

    private:
        std::size_t m_remainingElements;
        unsigned m_depth { 0 };
    };

}

msgpack::object_handle unpackMessage(std::string_view bytes)
{
    AnnouncedSizeVisitor visitor(bytes.size());
    std::size_t parsedBytes = 0;
    if (!msgpack::parse(bytes.data(), bytes.size(), parsedBytes, visitor))
        throw msgpack::insufficient_bytes("the message is incomplete or malformed");
    if (parsedBytes != bytes.size())
        throw msgpack::parse_error("bytes follow the message");
    return msgpack::unpack(bytes.data(), bytes.size());
}

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
