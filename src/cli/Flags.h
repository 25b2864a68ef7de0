#pragma once

#include <absl/flags/declare.h>
#include <cstdint>
#include <string>

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(bool, summary);
ABSL_DECLARE_FLAG(std::string, admin);
ABSL_DECLARE_FLAG(std::string, token_file);
ABSL_DECLARE_FLAG(std::string, author);
ABSL_DECLARE_FLAG(std::int64_t, timeout_ms);
ABSL_DECLARE_FLAG(double, share);
ABSL_DECLARE_FLAG(std::string, preset);
ABSL_DECLARE_FLAG(std::int64_t, queue_requests);
ABSL_DECLARE_FLAG(std::int64_t, queue_bytes);
ABSL_DECLARE_FLAG(bool, add_key);
ABSL_DECLARE_FLAG(std::string, remove_key);
ABSL_DECLARE_FLAG(std::string, key_hash);
ABSL_DECLARE_FLAG(std::int64_t, base);
ABSL_DECLARE_FLAG(std::string, id);
ABSL_DECLARE_FLAG(std::int64_t, limit);
