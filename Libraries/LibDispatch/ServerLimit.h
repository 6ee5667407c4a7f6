#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <optional>

namespace lycheeseam {

/// The rate limit of one backend server over all instances, and the share of it
/// that this instance has.
///
/// A few instances, the holders, have equal shares; all others send nothing.
/// They are the first in an order of the ready instances that is the server's
/// own, so that instances agree on them without communication. While no answer
/// shows the limit, the instances after them take over by turns.
class server_limit
{
public:
  /// Records an observation, in requests per second, unless a newer one is
  /// known; empty means that the server names no limit. Returns true when the
  /// limit has changed.
  bool Apply(instant aNow,
             std::optional<double> aRequestsPerSecond,
             instant aObservedAt);

  /// aPosition of aInstances come before this one in the order of instances.
  void SetPosition(instant aNow, std::size_t aPosition, std::size_t aInstances);

  /// Requests per second; empty without a limit.
  [[nodiscard]] std::optional<double> RequestsPerSecond() const noexcept
  {
    return mRequestsPerSecond;
  }

  /// When the limit was last observed, here or elsewhere.
  [[nodiscard]] instant ObservedAt() const noexcept { return mObservedAt; }

  /// The requests per second that this instance may send.
  [[nodiscard]] double Share(instant aNow) const;

  /// When the server may get the next request from this instance; the past when
  /// it may now. For an instance without a share, when a holder may send one.
  [[nodiscard]] instant NextSendAt(instant aNow) const;

  /// This instance sends the server a request.
  void OnSend(instant aNow);

private:
  [[nodiscard]] std::size_t HolderCount() const;
  [[nodiscard]] bool IsHolder(instant aNow) const;
  // Between two requests of one holder.
  [[nodiscard]] duration Interval() const;
  // How far ahead of its share a holder may send.
  [[nodiscard]] duration Burst() const;

  std::optional<double> mRequestsPerSecond;
  instant mObservedAt{};
  std::size_t mPosition = 0;
  std::size_t mInstances = 1;
  /// Until when the requests that this instance has sent use its share.
  instant mShareUsedUntil{};
};

}
