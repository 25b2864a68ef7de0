#include "net/HttpHostListClient.h"
#include "net/HttpLogClient.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <optional>

using namespace jasminestack;

namespace {

/// Responds to every request with a fixed status and body, or closes the connection without a response.
struct FixedServer {
    event_base* base { event_base_new() };
    evhttp* http { evhttp_new(base) };
    std::uint16_t port { 0 };
    int status { 200 };
    std::string body;
    bool dropResponse { false };
    std::string lastTarget;
    std::string lastBody;

    FixedServer()
    {
        evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
        sockaddr_in address {};
        socklen_t length = sizeof(address);
        getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &length);
        port = ntohs(address.sin_port);
        evhttp_set_gencb(http, onRequest, this);
    }
    ~FixedServer()
    {
        evhttp_free(http);
        event_base_free(base);
    }
    FixedServer(const FixedServer&) = delete;
    FixedServer& operator=(const FixedServer&) = delete;

    static void onRequest(evhttp_request* request, void* argument)
    {
        auto& self = *static_cast<FixedServer*>(argument);
        self.lastTarget = evhttp_request_get_uri(request);
        evbuffer* input = evhttp_request_get_input_buffer(request);
        self.lastBody.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, self.lastBody.data(), self.lastBody.size());
        if (self.dropResponse) {
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        evbuffer* output = evbuffer_new();
        evbuffer_add(output, self.body.data(), self.body.size());
        evhttp_send_reply(request, self.status, "x", output);
        evbuffer_free(output);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    template <typename T> Result<T> waitFor(std::optional<Result<T>>& result)
    {
        while (!result)
            event_base_loop(base, EVLOOP_ONCE);
        return *result;
    }

    Result<std::int64_t> append(std::string address)
    {
        HttpClient client(*base);
        HttpLogClient log(client, std::move(address));
        std::optional<Result<std::int64_t>> result;
        log.append("config", "{\"a\":1}", [&](Result<std::int64_t> appended) { result = appended; });
        return waitFor(result);
    }
    Result<LogBatch> read()
    {
        HttpClient client(*base);
        HttpLogClient log(client, address());
        std::optional<Result<LogBatch>> result;
        log.read("config", 7, 10, Millis { 50 }, [&](Result<LogBatch> batch) { result = batch; });
        return waitFor(result);
    }
};

}

// Guards against reporting an append whose response was lost as rejected: the caller could then append the record
// twice, or treat an appended record as missing.
TEST_CASE("append errors show whether the record may have been appended", "[log]")
{
    FixedServer server;
    server.body = R"({"offset":41})";
    REQUIRE(server.append(server.address()).value() == 41);
    REQUIRE(server.lastTarget == "/streams/config/records");
    REQUIRE(server.lastBody == "{\"a\":1}");

    server.status = 503;
    REQUIRE(server.append(server.address()).error().kind == ErrorKind::LogUnavailable);
    server.status = 429;
    REQUIRE(server.append(server.address()).error().kind == ErrorKind::LogUnavailable);
    server.status = 200;
    server.body = "{}";
    REQUIRE(server.append(server.address()).error().kind == ErrorKind::EndpointLost);
    server.dropResponse = true;
    REQUIRE(server.append(server.address()).error().kind == ErrorKind::EndpointLost);

    std::string closedAddress;
    {
        FixedServer closedServer;
        closedAddress = closedServer.address();
    }
    REQUIRE(server.append(closedAddress).error().kind == ErrorKind::LogUnavailable);
}

// Guards against treating a retention gap as an outage, and against exceptions on malformed responses.
TEST_CASE("reads parse batches and gaps and reject malformed responses", "[log]")
{
    FixedServer server;
    server.body = R"({"first":3,"next":9,"records":[{"offset":7,"time":5,"payload":"p"}]})";
    auto batch = server.read().value();
    REQUIRE(server.lastTarget == "/streams/config/records?from=7&max=10&waitMs=50");
    REQUIRE(batch.firstRetainedOffset == 3);
    REQUIRE(batch.endOffset == 9);
    REQUIRE(batch.records.size() == 1);
    REQUIRE(batch.records[0].payload == "p");

    server.status = 410;
    server.body = R"({"first":8,"next":9,"records":[]})";
    batch = server.read().value();
    REQUIRE(batch.firstRetainedOffset == 8);
    REQUIRE(batch.records.empty());

    server.status = 503;
    REQUIRE(server.read().error().kind == ErrorKind::LogUnavailable);
    for (const char* malformed : { "", "[]", R"({"first":1})", R"({"first":"a","next":2})",
             R"({"first":1,"next":2,"records":[{"offset":1}]})", R"({"first":1,"next":2,"records":[3]})" })
        REQUIRE(parseLogBatch(malformed).error().kind == ErrorKind::LogUnavailable);
}

// Guards against rejecting the whole host list because of one malformed entry.
TEST_CASE("the host list is parsed without its malformed entries", "[hosts]")
{
    auto hosts = parseHostList(R"({"version":1,"hosts":[
        {"id":"d1","kind":"daemon","address":"127.0.0.1:1","availabilityZone":"a","region":"r","state":"leaving"},
        {"kind":"endpoint"}, 4,
        {"id":"e1","kind":"endpoint","address":"127.0.0.1:2","state":"live"}]})");
    REQUIRE(hosts.value().size() == 2);
    REQUIRE(hosts.value()[0].isDaemon);
    REQUIRE(hosts.value()[0].leaving);
    REQUIRE_FALSE(hosts.value()[1].isDaemon);
    REQUIRE(parseHostList("oops").error().kind == ErrorKind::EndpointUnavailable);
}
