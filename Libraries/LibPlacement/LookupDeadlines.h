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

/// The requests that wait for the answer to a block_lookup, with their
/// deadlines.
class lookup_deadlines
{
public:
  /// How long a request waits for the answer before rendezvous hashing decides.
  static constexpr duration kAnswerTimeout = std::chrono::milliseconds{ 8 };

  /// Adds a request; the returned number goes into its block_lookup.
  lookup_number Begin(ticket aTicket, instant aNow);

  /// Removes the request that an answer belongs to; nothing if it has expired.
  std::optional<ticket> End(lookup_number aNumber);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<ticket> Expire(instant aNow);

  /// The earliest deadline; nothing when no request waits.
  [[nodiscard]] std::optional<instant> NextDeadline() const;

private:
  struct waiting
  {
    ticket mTicket;
    instant mDeadline;
  };

  /// Numbers increase with deadlines, so the first entry expires first.
  std::map<lookup_number, waiting> mWaiting;
  lookup_number mLast;
};

}
