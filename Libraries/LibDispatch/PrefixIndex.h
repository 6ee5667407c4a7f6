#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/PrefixHolder.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lycheeseam {

/// Where this instance last sent each shared prompt part. A key covers the
/// part, its workspace's isolation and the weights' version, so an entry never
/// leads across any of them.
class prefix_index
{
public:
  /// A request with the part was answered by a server.
  void OnServed(instant aNow, prefix_holder const& aHolder);

  /// The part was handed to the store of KV cache.
  void OnSaved(instant aNow, std::uint64_t aKey);

  /// The server that had the part last, while it likely has it still.
  [[nodiscard]] std::optional<backend_server_id> Holder(
    instant aNow,
    std::uint64_t aKey) const;

  /// True when the store got the part lately.
  [[nodiscard]] bool IsSaved(instant aNow, std::uint64_t aKey) const;

  /// Forgets parts that are likely evicted by now.
  void Prune(instant aNow);

private:
  struct record
  {
    backend_server_id mServer;
    instant mServedAt{};
    std::optional<instant> mSavedAt;
  };

  std::unordered_map<std::uint64_t, record> mRecords;
};

}
