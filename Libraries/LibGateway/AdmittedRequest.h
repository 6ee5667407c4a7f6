#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/DispatchConfig.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lycheeseam {

/// The configuration rows that apply to a request, and what the request was
/// charged.
struct admitted_request
{
  /// Owns the rows below: a newer configuration may no longer contain them.
  std::shared_ptr<dispatch_config const> mConfig;
  /// Null when no route matches the request's host and path.
  dispatch_route const* mRoute = nullptr;
  /// Null on public routes, for an unknown key, and when no workspace is
  /// configured.
  dispatch_workspace const* mWorkspace = nullptr;
  pool_name mPool;
  /// The software that began the stream that the request resumes; empty for
  /// other requests.
  std::optional<software_version> mSoftware;
  /// The charge, in the workspace's quota unit.
  double mUnits = 0;
  /// The result of RequestFingerprint, by which a request that crashes servers
  /// is recognized when it is sent again.
  std::uint64_t mFingerprint = 0;
  /// Keys of the prompt's parts that other requests may share, by which a part
  /// that crashes servers is recognized.
  std::vector<std::uint64_t> mParts;
  /// True for the request that tries whether a part in quarantine still crashes
  /// servers.
  bool mIsTrial = false;
  instant mDeadline{};
};

}
