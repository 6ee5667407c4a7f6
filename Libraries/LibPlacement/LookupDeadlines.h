#pragma once

#include <LibAdmission/Ticket.h>
#include <LibCore/Instant.h>
#include <LibPlacement/LookupNumber.h>

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Requests that wait for a shard's answer, until their deadline.
class lookup_deadlines
{
public:
  /// How long a request waits before hashing decides.
  static constexpr duration kPatience = std::chrono::milliseconds{ 8 };

  /// A request starts to wait; the number goes into its block_lookup.
  lookup_number Begin(ticket aTicket, instant aNow);

  /// The request that an answer is for; none when it came too late.
  std::optional<ticket> End(lookup_number aNumber);

  /// Takes out the requests whose time is up.
  std::vector<ticket> Expire(instant aNow);

  /// When the next request's time is up.
  [[nodiscard]] std::optional<instant> NextDeadline() const;

private:
  struct waiting
  {
    ticket mTicket;
    instant mDeadline;
  };

  /// Numbers grow with their deadlines, so the first one is due first.
  std::map<lookup_number, waiting> mWaiting;
  lookup_number mLast;
};

}
