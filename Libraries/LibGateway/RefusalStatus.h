#pragma once

#include <cstdint>

namespace lycheeseam {

/// HTTP statuses of the refusals that the gateway itself sends. NotReady and
/// OverQuota promise that the request has not run and never will.
enum class refusal_status : std::uint16_t
{
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  RequestTimeout = 408,
  BodyTooLarge = 413,
  OverQuota = 429,
  HeadTooLarge = 431,
  BadGateway = 502,
  NotReady = 503,
  Timeout = 504,
};

}
