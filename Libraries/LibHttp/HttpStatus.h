#pragma once

#include <cstdint>

/// \file The HTTP status codes of RFC 9110 that the code compares with.

namespace lycheeseam {

constexpr std::uint32_t kHttpOk = 200;
constexpr std::uint32_t kHttpAccepted = 202;
constexpr std::uint32_t kHttpNotFound = 404;
constexpr std::uint32_t kHttpConflict = 409;
constexpr std::uint32_t kHttpGone = 410;
constexpr std::uint32_t kHttpPreconditionFailed = 412;
constexpr std::uint32_t kHttpMisdirected = 421;
constexpr std::uint32_t kHttpUnavailable = 503;

}
