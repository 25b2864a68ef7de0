#include "base/Hash.h"
#include "net/MessagePack.h"
#include "net/PeerCodec.h"
#include "router/FleetUpdateCodec.h"
#include "router/PlacementCodec.h"
#include "router/StoreConfirmationCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jasminestack;

namespace {

constexpr Millis now { 5'000 };
const std::string fleetKey = "0123456789abcdef0123456789abcdef";

// Returns the error's text, or "" if the bytes are a message.
using Decoder = std::string (*)(std::string_view);

template <typename Value> std::string errorText(const Result<Value>& result)
{
    return result ? std::string() : result.error().message;
}

std::string decodeUpdate(std::string_view bytes) { return errorText(decodeFleetUpdate(bytes, now)); }
std::string decodeRequest(std::string_view bytes) { return errorText(decodePlacementRequest(bytes, now)); }
std::string decodeReply(std::string_view bytes) { return errorText(decodePlacementReply(bytes)); }
std::string decodeConfirmation(std::string_view bytes) { return errorText(decodeStoreConfirmation(bytes)); }

std::string decodePeerMessage(std::string_view bytes)
{
    PeerCodec codec(fleetKey);
    std::string signedBytes = std::string(bytes) + hmacSha256(fleetKey, bytes).substr(0, PeerCodec::tagBytes);
    return errorText(codec.decode(signedBytes));
}

constexpr std::array<Decoder, 5> decoders { decodeUpdate, decodeRequest, decodeReply, decodeConfirmation,
    decodePeerMessage };

std::string lengthBytes(std::uint32_t length)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(length >> static_cast<unsigned>(shift));
    return bytes;
}

std::string arrayHeader(std::uint32_t length) { return "\xdd" + lengthBytes(length); }
std::string mapHeader(std::uint32_t length) { return "\xdf" + lengthBytes(length); }

std::string repeat(std::string_view text, unsigned count)
{
    std::string result;
    for (unsigned i = 0; i < count; ++i)
        result += text;
    return result;
}

PlacementRequest makeRequest()
{
    PlacementRequest request { .requester = 9, .id = 3, .shard = 77 };
    request.query.pool = PoolId("kilic-large");
    request.query.workspace = 4;
    request.query.prompt = { { .key = 1, .tokens = 20 }, { .key = 2, .tokens = 30 } };
    request.query.triedEndpoints = { 4, 5 };
    request.query.expectedOutputTokens = 200;
    return request;
}

FleetUpdate makeUpdate()
{
    return { .instanceId = 7,
        .daemonId = "router-1",
        .address = "127.0.0.1:7400",
        .isSnapshot = true,
        .endpointLoads = { { .endpoint = 9, .load = { .inFlight = 2 } }, { .endpoint = 10 } },
        .attemptReports = { { .endpoint = 9, .backlogTokens = 7 } },
        .sentPrompts = { { .endpoint = 9, .prompt = { { .key = 1, .tokens = 2 } } } },
        .workspaceRates = { { .workspace = 3, .demandTokensPerSecond = 10 } },
        .crashEvidence
        = { .losses = { { .endpoint = 9, .requests = { { .workspace = 3, .content = 2, .traits = { 1, 2 } } } } },
            .clearances = { { .trait = 1 } },
            .quarantines = { { .trait = 2, .workspace = 3, .trials = 4 } } },
        .refusals = { { .contentHash = 8, .ageMs = 20 } },
        .livePeerAddresses = { "127.0.0.2:7400" } };
}

std::string peerMessageBody()
{
    std::string bytes = PeerCodec(fleetKey).encode({ .sender = DaemonId("router-3"),
        .incarnation = 5,
        .sequence = 1,
        .payload = Probe { .nonce = 7,
            .updates = { { .id = DaemonId("a-1"), .address = "127.0.0.1:25001", .availabilityZone = "gebze" } } } });
    bytes.resize(bytes.size() - PeerCodec::tagBytes);
    return bytes;
}

// A message for each of \c decoders.
std::vector<std::string> validMessages()
{
    return { encodeFleetUpdate(makeUpdate(), now), encodePlacementRequest(makeRequest(), now),
        encodePlacementReply({ .coordinator = 8, .id = 3, .status = PlacementStatus::Refused }),
        encodeStoreConfirmation({ .reader = 7, .age = Millis { 900 } }), peerMessageBody() };
}

std::string mutate(std::string bytes)
{
    auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
        auto position = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        auto byte = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            if (position < bytes.size())
                bytes[position] = byte;
            break;
        case 1:
            bytes.insert(position, 1, byte);
            break;
        case 2:
            bytes.resize(position);
            break;
        case 3:
            bytes.insert(position, arrayHeader(*rc::gen::arbitrary<std::uint32_t>()));
            break;
        default:
            bytes.insert(position, bytes.substr(bytes.size() / 2));
        }
    }
    return bytes;
}

}

// Guards against memory for elements that a message announces and does not have, which an allocator may refuse to give.
TEST_CASE("a message that announces more elements than it has bytes is rejected unread", "[peers][limits]")
{
    auto length = GENERATE(2'147'483'648U, 4'294'967'295U, 10'000'000U, 200U);
    std::array<std::string, 5> messages { arrayHeader(length), "\x93\x01" + arrayHeader(length),
        "\x94\x01\x01\x01" + arrayHeader(length) + repeat("\x01", 100), "\x97\x02" + arrayHeader(length),
        repeat(arrayHeader(length), 5) };
    for (Decoder decode : decoders) {
        for (const std::string& message : messages)
            CHECK_THAT(decode(message),
                Catch::Equals("the message announces more elements than it has bytes")
                    || Catch::Equals("peer message: malformed"));
    }
    for (const std::string& message : messages)
        CHECK_THROWS_AS(unpackMessage(message), msgpack::array_size_overflow);
}

// Guards against many arrays of which each announces as many elements as the message has bytes.
TEST_CASE("arrays that are nested share the limit of elements", "[peers][limits]")
{
    std::string elements = repeat("\x01", 1'000);
    CHECK_NOTHROW(unpackMessage(arrayHeader(1'000) + elements));
    CHECK_THROWS_AS(unpackMessage(arrayHeader(600) + arrayHeader(600) + elements), msgpack::array_size_overflow);
    CHECK_THROWS_AS(unpackMessage(repeat(arrayHeader(400), 3) + elements), msgpack::array_size_overflow);
}

TEST_CASE("a message with a map is rejected before the map's elements are allocated", "[peers][limits]")
{
    auto length = GENERATE(2'147'483'648U, 10'000'000U, 1U);
    for (Decoder decode : decoders) {
        CHECK_THAT(decode(mapHeader(length)),
            Catch::Equals(msgpack::type_error().what()) || Catch::Equals("peer message: malformed"));
        CHECK_FALSE(decode("\x93\x01" + mapHeader(length)).empty());
    }
    CHECK_THROWS_AS(unpackMessage(mapHeader(length) + "\x01\x01"), msgpack::type_error);
}

// Guards against a stack of the unpacker, or of a reader, that grows with the levels of a message.
TEST_CASE("a message with 60,000 levels is rejected at the ninth", "[peers][limits]")
{
    constexpr unsigned levels = 60'000;
    for (Decoder decode : decoders)
        CHECK_THAT(decode(std::string(levels, '\x91')),
            Catch::Equals("the message is nested too deeply") || Catch::Equals("peer message: malformed"));
    CHECK_THROWS_AS(unpackMessage(std::string(levels, '\x91')), msgpack::depth_size_overflow);
    CHECK_THROWS_AS(unpackMessage(std::string(8, '\x91') + "\x90"), msgpack::depth_size_overflow);
    CHECK_NOTHROW(unpackMessage(std::string(8, '\x91') + "\x01"));
}

TEST_CASE("bytes after a message make it malformed", "[peers][limits]")
{
    std::vector<std::string> messages = validMessages();
    for (std::size_t i = 0; i < decoders.size(); ++i) {
        CHECK(decoders.at(i)(messages[i]).empty());
        CHECK_FALSE(decoders.at(i)(messages[i] + '\x01').empty());
    }
}

// Guards against an exception that leaves a decoder; it would leave a callback of the event loop and end the process.
TEST_CASE("random bytes never make a decoder throw", "[peers][limits][property]")
{
    CHECK(rc::check("random bytes", [] {
        std::string bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        for (Decoder decode : decoders)
            static_cast<void>(decode(bytes));
    }));
}

// Guards against the same exception from a message that is nearly valid.
TEST_CASE("changed messages never make a decoder throw", "[peers][limits][property]")
{
    CHECK(rc::check("changed messages", [] {
        std::string bytes = mutate(*rc::gen::elementOf(validMessages()));
        for (Decoder decode : decoders)
            static_cast<void>(decode(bytes));
    }));
}
