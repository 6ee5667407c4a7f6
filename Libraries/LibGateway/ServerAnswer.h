#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/ReportedLoad.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What the gateway reads from the head of a server's answer.
struct server_answer
{
  /// The request that the answer belongs to, when the head states it.
  std::optional<request_id> mRequest;
  /// The server states that it did not run the request and never will.
  bool mIsNotRun = false;
  /// It did not run the request for want of room.
  bool mHasNoRoom = false;
  /// The server is not the one that the request was meant for, or lacks the
  /// requested weights, and did not run the request.
  bool mIsMisdirected = false;
  /// The server takes no new requests and exits soon.
  bool mIsLeaving = false;
  /// The rate of requests that the server takes from all instances together;
  /// empty when it names no limit.
  std::optional<double> mRequestsPerSecond;
  /// The rejections a second, of requests of all instances together, that each
  /// server of the pool bears; empty when they aren't brittle.
  std::optional<double> mRejectionsPerSecond;
  /// How long the server wants no requests from this instance.
  std::chrono::milliseconds mPause{};
  /// The server that answered, when the head states it.
  std::optional<backend_server_id> mServer;
  /// The head has the stamp that servers put on the answers that they make.
  bool mHasServerStamp = false;
  std::optional<reported_load> mLoad;
  /// The version of the weights that produced the answer.
  std::optional<std::uint64_t> mVersion;
};

}
