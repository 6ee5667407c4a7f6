#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/StreamOrigin.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// Remembers which software began each stream that callers may resume, for as
/// long as they may.
class stream_origins
{
public:
  /// Longer than callers wait for a stream, with all their tries.
  static constexpr std::chrono::seconds kLifetime{ 20 };

  static std::uint64_t Key(request_id const& aStream);

  /// This instance sends the request that begins a stream, or resumes it, to a
  /// server.
  void OnSent(instant aNow, stream_origin const& aOrigin);

  /// Another instance reports what it sent. Returns what is new.
  std::vector<stream_origin> Merge(instant aNow,
                                   std::span<stream_origin const> aReported);

  /// The software that began the stream; empty when that is unknown, or when
  /// the request was sent to servers with different ones.
  [[nodiscard]] std::optional<software_version> Find(
    instant aNow,
    std::uint64_t aStream) const;

  /// The streams of this instance that haven't been taken before.
  [[nodiscard]] std::vector<stream_origin> TakeUnreported(instant aNow);

  /// All streams whose software is known.
  [[nodiscard]] std::vector<stream_origin> List(instant aNow) const;

  void Prune(instant aNow);

private:
  struct record
  {
    software_version mSoftware;
    instant mSentAt{};
    /// Reports name different software.
    bool mIsAmbiguous = false;
    bool mIsUnreported = false;
  };

  static bool IsUsable(instant aNow, record const& aRecord);

  using records = std::unordered_map<std::uint64_t, record>;

  records mRecords;
};

}
