#pragma once

#include <LibDispatch/PartCrashes.h>
#include <LibDispatch/QuarantinedPart.h>

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// Finds parts of prompts that crash every server that begins to answer them,
/// whatever else the prompts contain, and puts them in quarantine.
///
/// A crash breaks all requests on its server, nearly all of them sound. So it
/// counts once for all requests that were sent before it was known, and an
/// answer to a request that was sent later clears the parts of that request:
/// the parts of sound requests are cleared before the next crash. As long as
/// several parts were in all crashed requests, any of them may be the cause,
/// and only requests with all of them are in quarantine.
///
/// The evidence of several instances may be merged in any order and repeatedly.
class suspect_parts
{
public:
  /// The evidence on parts at this moment, to be kept with a request that is
  /// sent now.
  [[nodiscard]] std::vector<part_crashes> Evidence(
    std::span<std::uint64_t const> aParts) const;

  /// A server crashed before it answered a request; aWhenSent is the evidence
  /// that was kept with it. Returns the evidence that is new.
  std::vector<part_crashes> OnCrash(instant aNow,
                                    std::span<part_crashes const> aWhenSent);

  /// A server answers such a request. Returns the evidence that is new.
  std::vector<part_crashes> OnAnswer(instant aNow,
                                     std::span<part_crashes const> aWhenSent);

  /// Applies evidence; true when it is new.
  bool Merge(instant aNow, part_crashes const& aEvidence);

  /// Applies evidence on several parts; returns what is new.
  std::vector<part_crashes> Merge(instant aNow,
                                  std::span<part_crashes const> aEvidence);

  /// Of the parts of a prompt the one whose quarantine lasts longest; nothing
  /// when the prompt isn't in quarantine. A quarantine goes on after the moment
  /// of its trial until the part is cleared.
  [[nodiscard]] std::optional<quarantined_part> FindQuarantined(
    instant aNow,
    std::span<std::uint64_t const> aParts) const;

  /// A request with these parts is sent as a trial: the next one is due after
  /// another quarantine period.
  void OnTrial(instant aNow, std::span<std::uint64_t const> aParts);

  /// The evidence on all parts that are, or will soon be, in quarantine.
  [[nodiscard]] std::vector<part_crashes> Quarantined() const;

  /// Removes evidence that is too old to matter.
  void Prune(instant aNow);

private:
  struct record
  {
    part_crashes mEvidence;
    instant mChangedAt{};
    /// When the first crash since the last clearance became known.
    instant mSuspectedAt{};
    /// When the next trial is due; only used in quarantine.
    instant mTrialAt{};
  };

  // True when a prompt with these parts has all that the crashed requests had
  // in common, but for parts that were cleared since.
  [[nodiscard]] bool HasCommonParts(std::span<std::uint64_t const> aParts,
                                    part_crashes const& aEvidence) const;
  [[nodiscard]] bool IsCleared(std::uint64_t aPart) const;

  std::unordered_map<std::uint64_t, record> mRecords;
};

}
