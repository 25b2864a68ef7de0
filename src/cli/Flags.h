#pragma once

#include <absl/flags/declare.h>
#include <cstdint>
#include <string>

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(bool, json);
