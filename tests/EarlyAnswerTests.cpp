#include "RouterHarness.h"

#include <catch2/catch.hpp>

using namespace jasminestack;
using namespace jasminestack::test;

namespace {

constexpr std::size_t uploadBytes = 2'000'000;

// Far below the length of the upload, so that the endpoint has not received all of it when it answers.
constexpr int receiveBufferBytes = 128 << 10;

/// \brief Header fields by which an answer tells where its body ends.
struct Framing {
    const char* name;
    std::string fields;
    bool isChunked { false };
};

enum class Ending : std::uint8_t { Reset, Close, HalfClose };

/// \brief An answer that an endpoint begins before it has read the whole request, and does not finish.
struct EarlyAnswer {
    Framing framing;
    std::size_t bytesRead { 0 }; ///< Bytes of the request's body that the endpoint reads first.
    Ending ending { Ending::Reset };
};

std::vector<EarlyAnswer> earlyAnswers()
{
    const std::vector<Framing> framings {
        { "no length", "" },
        { "Connection: close", "Connection: close\r\n" },
        { "chunked", "Transfer-Encoding: chunked\r\n", true },
        { "length", "Content-Length: 60\r\n" },
    };
    std::vector<EarlyAnswer> answers;
    for (const Framing& framing : framings) {
        for (std::size_t bytesRead : { std::size_t { 0 }, std::size_t { 20'000 }, uploadBytes / 2 }) {
            for (Ending ending : { Ending::Reset, Ending::Close, Ending::HalfClose })
                answers.push_back({ .framing = framing, .bytesRead = bytesRead, .ending = ending });
        }
    }
    return answers;
}

const char* toString(Ending ending)
{
    switch (ending) {
    case Ending::Reset:
        return "reset";
    case Ending::Close:
        return "close";
    case Ending::HalfClose:
        return "half-close";
    }
    return "";
}

std::string uploadBody() { return std::string(uploadBytes - 1, 'u') + "."; }

/// \brief Reads the head and at least \p bytes of the body of a request.
/// \returns The head.
std::string readPart(BlockingSocket& endpoint, std::size_t bytes)
{
    setsockopt(endpoint.descriptor(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    std::string head = endpoint.readUntil("\r\n\r\n");
    if (bytes != 0)
        static_cast<void>(endpoint.readUntil(std::string(bytes, 'u')));
    return head;
}

void end(BlockingSocket& endpoint, Ending ending)
{
    switch (ending) {
    case Ending::Reset:
        endpoint.closeWithReset();
        break;
    case Ending::Close:
        endpoint.close();
        break;
    case Ending::HalfClose:
        shutdown(endpoint.descriptor(), SHUT_WR);
        break;
    }
}

std::string partOfBody(const Framing& framing)
{
    const std::string part = "part of a body";
    return framing.isChunked ? LoopbackDaemon::encodeChunk(part) : part;
}

/// \brief Sends the head and a part of the body of an answer, and ends the connection.
void answerInPart(BlockingSocket& endpoint, const EarlyAnswer& answer, const std::string& echoedFields)
{
    endpoint.write("HTTP/1.1 200 OK\r\n" + echoedFields + answer.framing.fields + "\r\n" + partOfBody(answer.framing));
    end(endpoint, answer.ending);
}

std::string signedFields(const std::string& id)
{
    return "X-Jasminestack-Attempt-Id: " + id + "\r\nX-Jasminestack-Server-Signature: sig\r\n";
}

}

// Guards against a part of an answer that is passed on as the whole of it: an endpoint that ends its connection before
// it has read the request has not finished its answer, although an answer without a length may end with its connection.
TEST_CASE("an answer that is broken off during a long upload is not taken for a complete one", "[router][early]")
{
    EarlyAnswer answer = GENERATE(from_range(earlyAnswers()));
    LoopbackRouter router; // A new one each time, since failures in a row exclude the endpoint.
    CAPTURE(answer.framing.name, answer.bytesRead, toString(answer.ending));
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", uploadBody()));
    BlockingSocket endpoint = router.serviceListener.accept();
    static_cast<void>(readPart(endpoint, answer.bytesRead));
    answerInPart(endpoint, answer, signedFields("id-1"));
    std::string head = caller.readUntil("\r\n\r\n");
    CHECK(head.starts_with("HTTP/1.1 502 "));
    CHECK(head.find("Server-Signature") == std::string::npos);
    if (head.starts_with("HTTP/1.1 502 "))
        CHECK(caller.readUntil("\"}}\n").find("part of a body") == std::string::npos);
    CHECK(!router.serviceListener.hasPendingConnection(10)); // A booking is not repeated.
}

// Guards against a failure of an upload that may be repeated and that another engine answers.
TEST_CASE("an upload that may be repeated is sent to another engine after a broken answer", "[router][early]")
{
    LoopbackRouter router;
    EarlyAnswer answer { .framing = { "no length", "" }, .bytesRead = 20'000 };
    answer.ending = GENERATE(Ending::Reset, Ending::Close, Ending::HalfClose);
    CAPTURE(toString(answer.ending));
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/check/x", "id-1", uploadBody()));
    auto [firstEngine, firstListener] = router.acceptEngineConnection();
    static_cast<void>(readPart(firstEngine, answer.bytesRead));
    answerInPart(firstEngine, answer, signedFields("id-1"));
    BlockingSocket secondEngine = (firstListener == &router.engine1 ? router.engine2 : router.engine1).accept();
    static_cast<void>(secondEngine.readUntil("u."));
    secondEngine.write(LoopbackRouter::response("id-1", "looked up"));
    CHECK(caller.readUntil("looked up").starts_with("HTTP/1.1 200 "));
}

// Guards against sound answers that are refused because their end is that of their connection.
TEST_CASE("an answer without a length to a whole upload is passed on whole", "[router][early]")
{
    LoopbackRouter router;
    std::string fields = GENERATE(as<std::string> {}, "", "Connection: close\r\n");
    Ending ending = GENERATE(Ending::Close, Ending::HalfClose);
    CAPTURE(fields, toString(ending));
    BlockingSocket caller = router.connectCaller();
    caller.write(LoopbackRouter::request("POST", "/book/x", "id-1", uploadBody()));
    BlockingSocket endpoint = router.serviceListener.accept();
    static_cast<void>(endpoint.readUntil("u."));
    endpoint.write("HTTP/1.1 200 OK\r\n" + signedFields("id-1") + fields + "\r\nbooked");
    end(endpoint, ending);
    CHECK(caller.readUntil("booked").starts_with("HTTP/1.1 200 "));
}

// Guards against the same in the `daemon` command, which passes on bytes as it receives them: the caller must be able
// to see that the answer was broken off.
TEST_CASE("the daemon does not complete an answer that is broken off during a long upload", "[loopback][early]")
{
    EarlyAnswer answer = GENERATE(from_range(earlyAnswers()));
    LoopbackDaemon daemon; // A new one each time, since failures in a row exclude the endpoint.
    CAPTURE(answer.framing.name, answer.bytesRead, toString(answer.ending));
    BlockingSocket caller = daemon.connectCaller();
    caller.write(LoopbackDaemon::request("POST", "/booking/slot", uploadBody()));
    BlockingSocket endpoint = daemon.serviceListener.accept();
    std::string head = readPart(endpoint, answer.bytesRead);
    answerInPart(endpoint, answer, "X-Request-Id: " + headerValue(head, "X-Request-Id") + "\r\n");
    std::string responseHead = caller.readUntil("\r\n\r\n");
    if (responseHead.starts_with("HTTP/1.1 200 ")) {
        CHECK(headerValue(responseHead, "Content-Length").empty());
        CHECK(!caller.readToEnd().ends_with("0\r\n\r\n"));
    } else {
        CHECK(responseHead.starts_with("HTTP/1.1 502 "));
    }
}
