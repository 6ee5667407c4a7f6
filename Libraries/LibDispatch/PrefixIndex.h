#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/PrefixHolder.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// Records which server last processed each shared part of prompts, and whether
/// the KV cache store has it. A key covers the part, the cache scope of its
/// workspace and the version of the weights, so that an entry never matches
/// across these.
class prefix_index
{
public:
  /// Records that a server answered a request with the part.
  void OnServed(instant aNow, prefix_holder const& aHolder);

  /// Records that a copy of the part was sent to the KV cache store.
  void OnStored(instant aNow, std::uint64_t aKey);

  /// The server that last processed the part, as long as it likely caches it.
  [[nodiscard]] std::optional<backend_server_id> Holder(
    instant aNow,
    std::uint64_t aKey) const;

  /// The servers that processed the part last and likely cache it, the latest
  /// first.
  [[nodiscard]] std::vector<backend_server_id> Holders(
    instant aNow,
    std::uint64_t aKey) const;

  /// True when a server has processed the part so recently that another holder
  /// would be no better.
  [[nodiscard]] bool IsRecent(instant aNow, std::uint64_t aKey) const;

  /// True when the KV cache store received the part recently enough to still
  /// have it.
  [[nodiscard]] bool IsStored(instant aNow, std::uint64_t aKey) const;

  /// Removes parts that are likely evicted by now.
  void Prune(instant aNow);

private:
  struct earlier_holder
  {
    backend_server_id mServer;
    instant mServedAt{};
  };

  struct record
  {
    backend_server_id mServer;
    instant mServedAt{};
    /// Those that processed it before, the latest last.
    std::vector<earlier_holder> mEarlier;
    std::optional<instant> mStoredAt;
  };

  std::unordered_map<std::uint64_t, record> mRecords;
};

}
