#pragma once

#include <string_view>

namespace jasminestack {

/// \brief Logs the ends of the process that it does not choose, each by one line at level error after the lines that
/// are still buffered:
/// - `process_terminated` for std::terminate, with the type and the message of the exception, if there is one;
/// - `fatal_signal` for SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT, SIGQUIT, SIGXCPU and SIGALRM, with a stack trace. The
///   signal then has its default action, so that the parent process still learns its number;
/// - `event_loop_error` for errors after which libevent cannot go on.
///
/// Libevent's warnings become `event_loop_message` lines. With AddressSanitizer the signals keep its handlers, whose
/// reports tell more.
///
/// Signals that end a process by default although nothing is wrong with it are ignored: SIGPIPE and SIGXFSZ (the write
/// fails instead), SIGUSR1 and SIGUSR2 (which have no meaning here, but tools for log rotation send them). Call it
/// once, after logging was started.
void observeProcessEnd();

/// \brief Logs `process_exit` and writes the buffered lines.
/// \param message Text for people; empty if the reason or an earlier line says all.
/// \returns \p code, for the return statement of the caller.
[[nodiscard]] int logExit(int code, std::string_view reason, std::string_view message = {});

}
