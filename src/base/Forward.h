#pragma once

/// \file
/// \brief Forward declarations of the types that cross module boundaries.

namespace jasminestack {

struct Millis;
class Clock;
class Random;
struct Error;

struct Configuration;
struct DaemonSettings;

struct Allocation;
struct CellReport;
struct DemandReport;
struct PeerMessage;

struct EndpointTable;
struct MemberTable;
struct QueuedRequest;
struct SelfState;

class EndpointTransport;
class HostListClient;
class LogClient;
class PeerTransport;

class Logger;
class Metrics;
class Tracer;

}
