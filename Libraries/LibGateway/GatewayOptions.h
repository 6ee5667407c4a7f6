#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibDispatch/QuotaParameters.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// What the traffic thread is told at its start.
struct gateway_options
{
  instance_id mInstance;
  failure_domain mDomain;
  endpoint mCallers;
  /// Where readiness is asked for.
  endpoint mReadiness;
  /// Where callers ask for addresses.
  endpoint mAddresses;
  quota_parameters mQuota;
  /// Repeats for each first attempt, over all instances.
  double mRetryRatio = 0.2;
  /// Repeats allowed besides, in a window, over all instances.
  double mRetrySlack = 50;
  std::chrono::seconds mRetryWindow{ 10 };
  /// How long after newer weights were named older ones may still be used.
  std::chrono::milliseconds mOutdatedAfter{ 7'000 };
  /// How long callers keep the answer to their question for addresses.
  std::chrono::seconds mAddressLifetime{ 2 };
};

}
